// Package ctrl is the control state that the replicated log carries: contracts, instances, leases, claims, spending, quarantine and orders.
//
// It is a deterministic state machine: each command brings the time at which its
// proposer made it, and nothing here reads a clock.
package ctrl
