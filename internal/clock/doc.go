// Package clock provides a clock that keeps counting while the machine is suspended and that nobody can set.
package clock
