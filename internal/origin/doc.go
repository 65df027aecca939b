// Package origin remembers at which software version streams began, so that they go on at that version only.
package origin
