// Package once runs a call that may not be repeated at most once, under a claim that a quorum has committed.
package once
