// Package memb spreads the configuration and the proof that it is current from instance to instance.
//
// Each instance pulls from one parent in a tree that follows from the list of
// instances: the first instances of each zone pull from the replicas of the log,
// the others from an instance of their zone.
package memb
