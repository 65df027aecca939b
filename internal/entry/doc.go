// Package entry serves the API to callers: it authenticates requests, asks the schedulers for grants, and relays streams and calls.
// Every error response says whether the request ran.
package entry
