// Package rig runs instances and simulated endpoints as separate processes on loopback addresses, for tests and measurements.
package rig
