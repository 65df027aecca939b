package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// TestRetryAllowanceAcrossRestarts simulates instances that retry as much as their allowance permits while a service fails, and
// that all restart halfway. Retries counted before the restart are lost and must not be spent again.
func TestRetryAllowanceAcrossRestarts(t *testing.T) {
	const instances, perSecond = 9, 20
	c := &conf.Retry{Ratio: 0.2, Slack: 58}
	c.Window = conf.Duration(10 * time.Second)
	Convey("all instances together stay within the limit in every window, across a restart of all of them", t, func() {
		start := time.Unix(1000, 0)
		startedAt := start.Add(-time.Minute)
		var windows [instances]*retry.Window
		resetWindows := func() {
			for i := range windows {
				windows[i] = retry.NewWindow()
			}
		}
		resetWindows()
		var arrived, retried []time.Time
		for n := range 40 * perSecond {
			now := start.Add(time.Duration(n) * time.Second / perSecond)
			if n == 20*perSecond {
				resetWindows()
				startedAt = now
			}
			window, allowance := windows[n%instances], retryAllowance(c, instances, now.Sub(startedAt))
			window.AddRequest(now, allowance)
			arrived = append(arrived, now)
			for range 3 {
				if window.AllowRetry(now, allowance) {
					retried = append(retried, now)
				}
			}
		}
		within := func(times []time.Time, from time.Time) (n int) {
			for _, at := range times {
				if !at.Before(from) && at.Sub(from) < c.Window.Std() {
					n++
				}
			}
			return n
		}
		for _, from := range retried {
			if n := within(retried, from); float64(n) > c.Ratio*float64(within(arrived, from))+c.Slack {
				So(n, ShouldEqual, 0)
			}
		}
		So(len(retried), ShouldBeGreaterThan, 100)
	})
}
