package quota

import "time"

// Bucket is a token bucket; a rate of 0 means that there is no limit.
type Bucket struct {
	rate  float64
	burst float64
	level float64
	at    time.Time
}

// NewBucket returns a full bucket that gains rate units a second up to burst; a burst of 0 means one second's worth, and at least one.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	if burst == 0 {
		burst = max(rate, 1)
	}
	return Bucket{rate: rate, burst: burst, level: burst, at: now}
}

// Tune changes the rate and the burst and keeps the level.
func (b *Bucket) Tune(rate, burst float64, now time.Time) {
	b.fill(now)
	if burst == 0 {
		burst = max(rate, 1)
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.burst, b.level+b.rate*d.Seconds())
		b.at = now
	}
}

// Take takes n units if at least one, or n where n is smaller, is there; the level may fall below zero for a large n.
func (b *Bucket) Take(now time.Time, n float64) bool {
	if b.rate == 0 {
		return true
	}
	b.fill(now)
	if b.level < min(n, 1) {
		return false
	}
	b.level -= n
	return true
}

// Settle gives back n units, or takes more for a negative n.
func (b *Bucket) Settle(now time.Time, n float64) {
	if b.rate == 0 {
		return
	}
	b.fill(now)
	b.level = min(b.burst, b.level+n)
}

// Wait returns how long it takes until one unit is there.
func (b *Bucket) Wait(now time.Time) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.fill(now)
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}
