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

	// Slope is a straight line through measurements: Y = Base + Per*X, with the largest residual in parts of the largest Y.
	Slope struct {
		Name     string
		Unit     string
		Points   []Point
		Base     float64
		Per      float64
		Residual float64
	}
)

// Fit returns the least-squares line through the points.
func Fit(name, unit string, pts []Point) Slope {
	s := Slope{Name: name, Unit: unit, Points: pts}
	n := float64(len(pts))
	var sx, sy, sxx, sxy, top float64
	for _, p := range pts {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		top = max(top, math.Abs(p.Y))
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Per = (n*sxy - sx*sy) / d
	}
	s.Base = (sy - s.Per*sx) / n
	for _, p := range pts {
		if top > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.Base-s.Per*p.X)/top)
		}
	}
	return s
}

// Print writes the points and the line.
func (s Slope) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%-52s", s.Name)
	for _, p := range s.Points {
		_, _ = fmt.Fprintf(w, " %g:%.4g", p.X, p.Y)
	}
	_, _ = fmt.Fprintf(w, "  => %.4g + %.4g per unit %s (residual %.0f%%)\n", s.Base, s.Per, s.Unit, 100*s.Residual)
}

// spanQuantile returns a quantile of spans.
func spanQuantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sort.Slice(ds, func(i, j int) bool { return ds[i] < ds[j] })
	return ds[min(int(q*float64(len(ds))), len(ds)-1)]
}
