// Package meter counts and times what happens, by customer and class, with a bound on the number of series.
package meter
