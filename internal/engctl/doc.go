// Package engctl sends orders to the engines. The instance that does so holds a lease from the replicated log.
package engctl
