package quota

import "time"

// Bucket is a token bucket. A rate of 0 means no limit. It is not safe for concurrent use.
type Bucket struct {
	rate     float64
	burst    float64
	level    float64
	filledAt time.Time
}

// NewBucket returns a full bucket that is filled by rate units per second up to burst units. A burst of 0 stands for the units of
// one second, at least 1.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	if burst == 0 {
		burst = max(rate, 1)
	}
	return Bucket{rate: rate, burst: burst, level: burst, filledAt: now}
}

// SetRate changes the rate, in units per second, and the burst, and keeps the level up to the new burst.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	if burst == 0 {
		burst = max(rate, 1)
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (b *Bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		b.level = min(b.burst, b.level+b.rate*elapsed.Seconds())
		b.filledAt = now
	}
}

// Take takes n units and returns true if at least min(n, 1) units are available. A large n may make the level negative.
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

// Adjust returns n units to the bucket, up to its burst, or takes units if n is negative.
func (b *Bucket) Adjust(now time.Time, n float64) {
	if b.rate == 0 {
		return
	}
	b.fill(now)
	b.level = min(b.burst, b.level+n)
}

// Wait returns the time until one unit is available.
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
