// Package rig starts instances and stand-ins as separate processes on loopback addresses, for tests and measurements.
package rig
