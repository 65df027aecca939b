// Package egress manages connections to the endpoints behind routes. It sends each request exactly once, on a new or a
// pooled connection, and reads the response that belongs to it.
package egress
