// Package clock tells the time by a clock that goes on while the machine is suspended and that no operator can set.
package clock
