// Package repl holds the rules of the replicated log: elections, replication, membership and reads by quorum.
//
// The rules are pure: time, messages and stored state come in as arguments, and
// Output tells what to store, send and apply, in this order. See Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), for
// the protocol that they follow.
package repl
