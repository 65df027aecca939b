// Package order holds the orders that the router gives to engines, and the rules that keep a stale one from winning.
package order
