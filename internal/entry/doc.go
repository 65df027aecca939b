// Package entry serves callers: it authenticates them, asks for grants, relays streams and calls, and tells of each refusal whether the request ran.
package entry
