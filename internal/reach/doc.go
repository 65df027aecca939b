// Package reach decides whether an instance reaches the endpoints itself.
package reach
