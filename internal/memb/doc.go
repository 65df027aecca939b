// Package memb defines how the configuration, and the proof that it is current, are distributed from instance to instance.
//
// Each instance pulls from one parent in a tree that is computed from the list of
// instances: the root of each zone's tree pulls from the replicas of the log, the
// other instances from one of their zone.
package memb
