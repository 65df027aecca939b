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

	// Slope is a line fitted to measurements: Y = Base + Per*X. Residual is the largest residual as a fraction of the largest
	// absolute Y.
	Slope struct {
		Name     string
		Unit     string
		Points   []Point
		Base     float64
		Per      float64
		Residual float64
	}
)

// Fit returns the least-squares line through the points; unit is the unit of Y.
func Fit(name, unit string, pts []Point) Slope {
	s := Slope{Name: name, Unit: unit, Points: pts}
	n := float64(len(pts))
	var sumX, sumY, sumXX, sumXY, maxAbsY float64
	for _, p := range pts {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
		maxAbsY = max(maxAbsY, math.Abs(p.Y))
	}
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		s.Per = (n*sumXY - sumX*sumY) / denominator
	}
	s.Base = (sumY - s.Per*sumX) / n
	for _, p := range pts {
		if maxAbsY > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.Base-s.Per*p.X)/maxAbsY)
		}
	}
	return s
}

// Print writes the points and the fitted line in one row.
func (s Slope) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-52s", s.Name)
	for _, p := range s.Points {
		_, _ = fmt.Fprintf(w, " %g:%.4g", p.X, p.Y)
	}
	_, _ = fmt.Fprintf(w, "  => %.4g + %.4g per unit %s (residual %.0f%%)\n", s.Base, s.Per, s.Unit, 100*s.Residual)
}

// durationQuantile returns the q-quantile of durations, 0 if there are none. It sorts durations in place.
func durationQuantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(int(q*float64(len(durations))), len(durations)-1)]
}
