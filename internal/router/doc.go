// Package router assembles an instance that routes by a routing table, and starts and stops its parts in order.
package router
