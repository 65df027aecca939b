// Package repl implements the consensus protocol of the replicated log: elections, replication, membership changes and
// quorum reads.
//
// The implementation does no I/O and reads no clock: time, messages and stored
// state are passed in, and Output lists what to store, send and apply, in this
// order. The protocol is Raft; see Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014).
package repl
