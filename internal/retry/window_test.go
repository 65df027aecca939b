package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWindow(t *testing.T) {
	s := Share{Ratio: 0.2, Slack: 3, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	Convey("a fifth of the requests and the slack may be repeated, and no more in any window", t, func() {
		w := NewWindow()
		var repeats []time.Time
		var arrived []time.Time
		for i := range 4000 {
			now := start.Add(time.Duration(i) * 25 * time.Millisecond)
			if i%4 == 0 && i < 2000 {
				w.Arrived(now, s)
				arrived = append(arrived, now)
			}
			if w.Repeat(now, s) {
				repeats = append(repeats, now)
			}
		}
		for _, from := range repeats {
			n, m := 0, 0
			for _, at := range repeats {
				if !at.Before(from) && at.Sub(from) < s.Window {
					n++
				}
			}
			for _, at := range arrived {
				if at.After(from.Add(-s.Window)) && at.Sub(from) < s.Window {
					m++
				}
			}
			So(float64(n), ShouldBeLessThanOrEqualTo, s.Ratio*float64(m)+s.Slack)
		}
		So(len(repeats), ShouldBeGreaterThan, 100)
	})
	Convey("after a long pause the window is empty", t, func() {
		w := NewWindow()
		for range 3 {
			So(w.Repeat(start, s), ShouldBeTrue)
		}
		So(w.Repeat(start, s), ShouldBeFalse)
		So(w.Repeat(start.Add(time.Hour), s), ShouldBeTrue)
	})
}
