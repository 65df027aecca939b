// Package live tests the whole system as separate processes on loopback addresses.
package live
