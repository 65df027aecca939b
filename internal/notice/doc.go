// Package notice keeps what endpoints tell this instance of themselves in their responses.
package notice
