// Package meter records metrics by customer and class, and bounds the number of series.
package meter
