package duty

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// rateShare is the part of the platform's rate that is used steadily; the rest may be used at once after a pause, so that no
	// second has more calls than the rate.
	rateShare = 0.9
	// maxCallDelay is the longest wait for the rate to allow a call; beyond it the call fails with ErrBusy.
	maxCallDelay = time.Second
	// busyPause is the time without calls after the platform has answered that it had too many.
	busyPause = 250 * time.Millisecond
)

// limiter spaces calls out. It is safe for concurrent use.
type limiter struct {
	interval time.Duration
	// burst is the time by which calls may be ahead of an even spacing.
	burst time.Duration
	mu    sync.Mutex
	// next is the time at which the next call would be due if all were spaced evenly.
	next time.Time
}

// newLimiter returns a limiter for a number of calls a second. A fraction is cut off above 1, as it would allow one call too many in some
// seconds.
func newLimiter(rate float64) *limiter {
	if rate > 1 {
		rate = math.Floor(rate)
	}
	interval := time.Duration(float64(time.Second) / (rate * rateShare))
	callsAhead := max(0, math.Round(rate*(1-rateShare))-1)
	return &limiter{interval: interval, burst: time.Duration(callsAhead) * interval}
}

// reserve reserves the time of a call and returns how long to wait for it. It returns false, and reserves nothing, if that is longer
// than maxCallDelay.
func (l *limiter) reserve(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.next
	if next.Before(now) {
		next = now
	}
	delay := max(0, next.Add(-l.burst).Sub(now))
	if delay > maxCallDelay {
		return delay, false
	}
	l.next = next.Add(l.interval)
	return delay, true
}

// pause allows no call for busyPause.
func (l *limiter) pause(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until := now.Add(busyPause + l.burst); until.After(l.next) {
		l.next = until
	}
}

// wait waits until a call may be made.
func (l *limiter) wait(ctx context.Context, now func() time.Time) error {
	delay, ok := l.reserve(now())
	if !ok {
		return ErrBusy
	}
	if delay == 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
