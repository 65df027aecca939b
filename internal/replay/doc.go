// Package replay sends recorded requests to running instances and reports target attainment, goodput and wasted work by class.
package replay
