// Package route chooses the endpoint for a request and judges endpoints against their cohort.
package route
