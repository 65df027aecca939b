package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDownPause plays a service of which all endpoints are down for 4 s, before callers who come back once.
func TestDownPause(t *testing.T) {
	const outage = 4 * time.Second
	served := func(deadline time.Duration, pause func(time.Duration) time.Duration) (n int) {
		for at := time.Duration(0); at < outage; at += 10 * time.Millisecond {
			if at+pause(deadline) >= outage {
				n++
			}
		}
		return n
	}
	Convey("callers who wait for long enough are mostly served when they come back", t, func() {
		pause := func(deadline time.Duration) time.Duration { return downPause(0, deadline) }
		soon := func(time.Duration) time.Duration { return retrySoon }
		So(served(12*time.Second, pause), ShouldEqual, 300)
		So(served(6*time.Second, pause), ShouldEqual, 200)
		So(served(3*time.Second, pause), ShouldEqual, 100)
		So(served(12*time.Second, soon), ShouldEqual, 30)
	})
	Convey("no caller is sent away for longer than it waits, nor told to come back at once", t, func() {
		So(downPause(3*time.Second, 6*time.Second), ShouldEqual, time.Second)
		So(downPause(5*time.Second, 5*time.Second), ShouldEqual, retrySoon)
		So(downPause(0, 0), ShouldEqual, retryDown)
	})
	Convey("a caller of a service whose endpoints are all down is refused as not run", t, func() {
		b := newBench(t, ok, ok)
		for _, e := range b.pick.all {
			e.addr = closedAddr(t)
		}
		s := b.ask(http.MethodPost, "/once/", "x", "Deadline", "6000")
		So(s.status, ShouldEqual, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(s.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(after, ShouldBeBetween, 1, 2.001)
	})
}
