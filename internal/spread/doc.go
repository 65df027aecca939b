// Package spread keeps this instance's copy of the configuration, the proof that it is current, and passes both on.
package spread
