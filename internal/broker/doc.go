// Package broker asks the scheduler of a cell for grants, wherever it runs, and reports to it what runs here.
package broker
