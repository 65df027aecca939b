// Package proxy serves callers by routes: it finds the route and the organisation of a request, has an endpoint chosen, sends
// the request there as it came, and relays the answer that belongs to it.
package proxy
