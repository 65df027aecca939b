// Package chat holds the OpenAI-compatible wire types of callers, the router and engines.
package chat
