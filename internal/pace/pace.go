package pace

import (
	"context"
	"time"
)

// Every calls fn at each interval, for the first time after one interval, and returns when the context is done.
func Every(ctx context.Context, interval time.Duration, fn func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn()
		}
	}
}

// Sleep waits for a time span or until the context is done; it returns false in the latter case.
func Sleep(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}
