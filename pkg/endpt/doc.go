// Package endpt holds the announcement with which an endpoint registers with the router.
package endpt
