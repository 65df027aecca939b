// Package node assembles the components of one instance, and starts and stops them in order.
package node
