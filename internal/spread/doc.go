// Package spread maintains this instance's copy of the configuration and the proof that it is current, and serves both to others.
package spread
