// Package live holds end-to-end tests that run the whole system as separate processes on loopback addresses.
package live
