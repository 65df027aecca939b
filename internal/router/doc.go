// Package router puts the parts of an instance together that routes by a routing table, and starts and stops them in order.
package router
