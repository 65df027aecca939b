package bench

import (
	"fmt"
	"io"
	"math"
	"sort"
	"time"
)

type (
	// Point is one measurement.
	Point struct {
		X, Y float64
	}

	// Line is a line fitted to measurements: Y = Intercept + Slope*X, with Y in Unit. Residual is the largest residual as a
	// fraction of the largest absolute Y.
	Line struct {
		Name      string
		Unit      string
		Points    []Point
		Intercept float64
		Slope     float64
		Residual  float64
	}
)

// FitLine returns the least-squares line through the points; unit is the unit of Y.
func FitLine(name, unit string, points []Point) Line {
	line := Line{Name: name, Unit: unit, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY, maxAbsY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxAbsY = max(maxAbsY, math.Abs(p.Y))
	}
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		line.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	line.Intercept = (sumY - line.Slope*sumX) / n
	for _, p := range points {
		if maxAbsY > 0 {
			line.Residual = max(line.Residual, math.Abs(p.Y-line.Intercept-line.Slope*p.X)/maxAbsY)
		}
	}
	return line
}

// Print writes the points and the fitted line in one row.
func (l Line) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-52s", l.Name)
	for _, p := range l.Points {
		_, _ = fmt.Fprintf(w, " %g:%.4g", p.X, p.Y)
	}
	_, _ = fmt.Fprintf(w, "  => %.4g + %.4g per unit %s (residual %.0f%%)\n", l.Intercept, l.Slope, l.Unit, 100*l.Residual)
}

// durationQuantile returns the q-quantile of durations, 0 if there are none. It sorts durations in place.
func durationQuantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(q*float64(len(durations))), len(durations)-1)]
}
