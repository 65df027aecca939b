package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWindow checks the limit over every window that starts at a retry. Counters that are reset at fixed times would allow up to
// twice as many retries in a window that spans a reset.
func TestWindow(t *testing.T) {
	limit := Allowance{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	Convey("retries in any window are limited to a fifth of the requests plus the slack", t, func() {
		w := NewWindow()
		var retried []time.Time
		var arrived []time.Time
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 25 * time.Millisecond)
			if i%4 == 0 && i < 2000 {
				w.AddRequest(now, limit)
				arrived = append(arrived, now)
			}
			if w.AllowRetry(now, limit) {
				retried = append(retried, now)
			}
		}
		for _, from := range retried {
			retries, requests := 0, 0
			for _, at := range retried {
				if !at.Before(from) && at.Sub(from) < limit.Window {
					retries++
				}
			}
			for _, at := range arrived {
				if at.After(from.Add(-limit.Window)) && at.Sub(from) < limit.Window {
					requests++
				}
			}
			So(float64(retries), ShouldBeLessThanOrEqualTo, limit.Ratio*float64(requests)+limit.Slack)
		}
		So(len(retried), ShouldBeGreaterThan, 100)
	})
	Convey("after a long pause the window is empty", t, func() {
		w := NewWindow()
		for range 3 {
			So(w.AllowRetry(start, limit), ShouldBeTrue)
		}
		So(w.AllowRetry(start, limit), ShouldBeFalse)
		So(w.AllowRetry(start.Add(time.Hour), limit), ShouldBeTrue)
	})
}
