// Package roster maintains the set of endpoints that may be used, based on their own announcements.
//
// The package does no input or output and reads no clock. It detects late and outdated announcements, and those for an address
// that another endpoint has taken over, only by the start time of the endpoint.
package roster
