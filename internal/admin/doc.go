// Package admin is the HTTP interface for operators: contracts, state of the system, orders to endpoints, readiness and metrics.
package admin
