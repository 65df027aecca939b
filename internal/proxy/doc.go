// Package proxy forwards callers' requests according to the routing table. It matches the route and authenticates the
// organisation, has an endpoint selected, forwards the request unchanged and returns the response that belongs to it.
package proxy
