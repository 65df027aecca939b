// Package quorum lets every instance commit commands to the replicated log and read the control state, whichever replica leads.
package quorum
