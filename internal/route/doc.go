// Package route chooses the endpoint for a request granted by a scheduler. It adapts the concurrency limit of each endpoint and
// detects stragglers, endpoints that are much slower than the others.
package route
