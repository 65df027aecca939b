// Package chat holds the OpenAI-compatible wire types that callers, the router and engines exchange.
package chat
