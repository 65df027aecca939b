package place

import (
	"math"
	"time"
)

const (
	// maxSlowFactor bounds the slow factor of an endpoint, the ratio of measured to expected latency.
	maxSlowFactor = 16
	// slowFactorWeight is the weight of the newest sample in the moving average of the slow factor.
	slowFactorWeight = 0.5
	// slowFactorHalfLife is the half-life of the slow factor's excess over 1 while no answers arrive.
	slowFactorHalfLife = 4 * time.Second
)

// slowness tells how much slower than expected an endpoint answers. A sound endpoint may be silent for a second and then answer all that it
// has at once: that is one sample, and one sample alone does not count.
type slowness struct {
	// factor is the moving average of the ratio of measured to expected latency as of at, at least 1.
	factor float64
	at     time.Time
	// newest is the ratio of the newest sample.
	newest float64
}

func newSlowness() slowness {
	return slowness{factor: 1, newest: 1}
}

// add adds the ratio of measured to expected latency of an attempt that has its first answer now. Attempts that started before the last
// sample add nothing, as they ran beside it; of two samples in a row the lower one counts.
func (s *slowness) add(now, startedAt time.Time, ratio float64) {
	if startedAt.Before(s.at) {
		return
	}
	ratio = min(max(ratio, 1), maxSlowFactor)
	s.factor = s.recent(now)*(1-slowFactorWeight) + min(ratio, s.newest)*slowFactorWeight
	s.at, s.newest = now, ratio
}

// recent returns the factor, decayed to the present.
func (s *slowness) recent(now time.Time) float64 {
	return 1 + (s.factor-1)*math.Exp2(-now.Sub(s.at).Seconds()/slowFactorHalfLife.Seconds())
}
