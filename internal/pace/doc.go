// Package pace runs periodic work and waits until a context is done.
package pace
