// Package fault annotates errors with the step that failed and the peer involved.
package fault
