// Package conns manages HTTP connections to peers and replaces those that stop responding.
package conns
