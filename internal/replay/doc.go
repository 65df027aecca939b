// Package replay drives recorded requests against running instances and reports attainment, goodput and wasted work by class.
package replay
