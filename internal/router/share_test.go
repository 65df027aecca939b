package router

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// TestShareOverRestarts plays a failing service before entries that repeat whatever they may, and are all killed amid.
func TestShareOverRestarts(t *testing.T) {
	const entries, perSecond = 9, 20
	c := &conf.Retry{Ratio: 0.2, Slack: 58}
	c.Window = conf.Duration(10 * time.Second)
	Convey("all entries together keep to the budget in every window, over a restart of all", t, func() {
		start := time.Unix(1000, 0)
		born := start.Add(-time.Minute)
		var windows [entries]*retry.Window
		renew := func() {
			for i := range windows {
				windows[i] = retry.NewWindow()
			}
		}
		renew()
		var arrived, repeated []time.Time
		for n := range 40 * perSecond {
			now := start.Add(time.Duration(n) * time.Second / perSecond)
			if n == 20*perSecond {
				renew()
				born = now
			}
			w, s := windows[n%entries], shareOf(c, entries, now.Sub(born))
			w.AddRequest(now, s)
			arrived = append(arrived, now)
			for range 3 {
				if w.AllowRetry(now, s) {
					repeated = append(repeated, now)
				}
			}
		}
		within := func(all []time.Time, from time.Time) (n int) {
			for _, at := range all {
				if !at.Before(from) && at.Sub(from) < c.Window.Std() {
					n++
				}
			}
			return n
		}
		for _, from := range repeated {
			if n := within(repeated, from); float64(n) > c.Ratio*float64(within(arrived, from))+c.Slack {
				So(n, ShouldEqual, 0)
			}
		}
		So(len(repeated), ShouldBeGreaterThan, 100)
	})
}
