// Package usage counts for each organisation the requests that endpoints began in each window of time, on all instances together, and
// reports them once.
package usage
