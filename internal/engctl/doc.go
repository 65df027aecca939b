// Package engctl carries orders out at the engines, under a lease from the log.
package engctl
