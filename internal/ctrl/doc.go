// Package ctrl implements the control state that is replicated through the log: contracts, instances, leases, claims, spending,
// quarantined requests, engine orders, the routing table, endpoints and the holders of duties.
//
// State is a deterministic state machine: every command carries the time at which it was proposed, and State never reads a
// clock. Machine adds a lock and the expiry of leases, which follows the local clock and isn't replicated.
package ctrl
