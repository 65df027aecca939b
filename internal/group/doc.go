// Package group runs one replica of a replicated log: it joins the rules to a disk, to peers and to a state machine.
package group
