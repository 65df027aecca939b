// Package quorum lets every instance commit commands to the replicated log, wherever its leader is.
package quorum
