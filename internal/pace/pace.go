package pace

import (
	"context"
	"time"
)

// Every calls f each interval, for the first time after one, until the context ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// Pause waits for a span or until the context ends, and reports whether the context still holds.
func Pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
