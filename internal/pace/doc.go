// Package pace runs work at regular times.
package pace
