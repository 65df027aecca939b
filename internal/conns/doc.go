// Package conns manages HTTP connections to other instances and to endpoints, and replaces those that stop responding.
package conns
