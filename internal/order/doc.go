// Package order defines the orders that change the configuration of an engine, and the fencing rules that keep a stale order from
// overriding a newer one.
package order
