// Package conns keeps HTTP connections to one peer and replaces them when they go silent.
package conns
