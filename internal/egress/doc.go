// Package egress holds the connections to endpoints behind routes: it sends each request once on a connection of its own or a
// kept one, and reads the answer that belongs to it.
package egress
