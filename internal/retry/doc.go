// Package retry bounds how much work is tried again.
package retry
