// Package fault attaches the step and the peer at which an error arose.
package fault
