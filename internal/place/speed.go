package place

import "time"

const (
	// prefillRate is the number of prompt tokens that an engine reads in a second, until its service's answers tell.
	prefillRate = 45_000
	// leastRate and mostRate bound that rate.
	leastRate = 5_000
	mostRate  = 1_000_000
	// baseDelay is the time to the first answer of an empty engine for an empty prompt, until answers tell.
	baseDelay = 100 * time.Millisecond
	// mostBase bounds that time.
	mostBase = time.Second
	// memory is the weight that past answers keep at each new one.
	memory = 0.98
	// leastRatio keeps a service that is faster than expected from making each of its endpoints look slow.
	leastRatio = 0.5
	// enough is the weight of answers from which on they are believed.
	enough = 8
	// leastSpread is the variance of the prompts' lengths, in tokens squared, below which they tell nothing of the rate.
	leastSpread = 1e6
)

// speed learns how long the engines of a service take to their first answer by the tokens that they must read: a straight line
// through the answers of engines that had nothing else to read.
type speed struct {
	n, x, y, xx, xy float64
	base            time.Duration
	rate            float64
	// ratio is the mean of how late answers come against what was expected.
	ratio float64
}

func newSpeed() *speed {
	return &speed{base: baseDelay, rate: prefillRate, ratio: 1}
}

// reading returns the time that reading so many tokens takes.
func (s *speed) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.rate * float64(time.Second))
}

// relative returns how late an answer came against the expectation, by what is usual for the service.
func (s *speed) relative(after, expected time.Duration) float64 {
	ratio := min(after.Seconds()/expected.Seconds(), slowMost)
	s.ratio += (ratio - s.ratio) * (1 - memory)
	return ratio / max(s.ratio, leastRatio)
}

// observe takes in an answer that came after a time.
func (s *speed) observe(tokens int, after time.Duration) {
	x, y := float64(tokens), after.Seconds()
	s.n, s.x, s.y = s.n*memory+1, s.x*memory+x, s.y*memory+y
	s.xx, s.xy = s.xx*memory+x*x, s.xy*memory+x*y
	if s.n < enough {
		return
	}
	mx, my := s.x/s.n, s.y/s.n
	spread := s.xx/s.n - mx*mx
	if spread < leastSpread {
		return
	}
	slope := (s.xy/s.n - mx*my) / spread
	s.rate = min(max(1/max(slope, 1/float64(mostRate)), leastRate), mostRate)
	base := time.Duration((my - mx/s.rate) * float64(time.Second))
	s.base = min(max(base, 0), mostBase)
}
