// Package relay sends requests to endpoints: streams, which are resumed if they break, and calls, which are sent once.
package relay
