// Package cell runs the schedulers of the cells whose leases this instance holds. Unless it is configured to keep a lease that
// cannot be renewed, an instance stops scheduling a cell as soon as it can no longer be sure that it holds the lease.
package cell
