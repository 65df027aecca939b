// Package endpt holds the announcement by which an endpoint makes itself known to the router.
package endpt
