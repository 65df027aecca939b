// Package group runs one replica of a replicated log: it connects the consensus core to storage, peers and a state machine.
package group
