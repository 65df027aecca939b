// Package node puts the parts of one instance together, and starts and stops them in order.
package node
