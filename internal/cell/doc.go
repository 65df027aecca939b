// Package cell runs the schedulers of the cells whose leases this instance holds.
package cell
