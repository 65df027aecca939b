// Package admin serves operators: contracts, views of the system, readiness and metrics.
package admin
