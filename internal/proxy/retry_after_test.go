package proxy

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestUnreachableRetryAfter simulates callers that retry once while all endpoints of a service are down for 4 s. With a short,
// fixed Retry-After, most of them would retry before the endpoints are back and fail for good.
func TestUnreachableRetryAfter(t *testing.T) {
	const outage = 4 * time.Second
	countServed := func(deadline time.Duration, pause func(time.Duration) time.Duration) (n int) {
		for arrival := time.Duration(0); arrival < outage; arrival += 10 * time.Millisecond {
			if arrival+pause(deadline) >= outage {
				n++
			}
		}
		return n
	}
	Convey("most callers with a long enough deadline are served on their retry", t, func() {
		adaptive := func(deadline time.Duration) time.Duration { return unreachableRetryAfter(0, deadline) }
		fixed := func(time.Duration) time.Duration { return defaultRetryAfter }
		So(countServed(12*time.Second, adaptive), ShouldEqual, 300)
		So(countServed(6*time.Second, adaptive), ShouldEqual, 200)
		So(countServed(3*time.Second, adaptive), ShouldEqual, 100)
		So(countServed(12*time.Second, fixed), ShouldEqual, 30)
	})
	Convey("the delay stays within the caller's deadline and is never zero", t, func() {
		So(unreachableRetryAfter(3*time.Second, 6*time.Second), ShouldEqual, time.Second)
		So(unreachableRetryAfter(5*time.Second, 5*time.Second), ShouldEqual, defaultRetryAfter)
		So(unreachableRetryAfter(0, 0), ShouldEqual, unreachableMaxRetryAfter)
	})
	Convey("a request for a service with no reachable endpoint is rejected as not run", t, func() {
		h := newHarness(t, echo, echo)
		for _, e := range h.chooser.endpoints {
			e.addr = closedAddr(t)
		}
		resp := h.send(http.MethodPost, "/once/", "x", "Deadline", "6000")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		retryAfter, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(retryAfter, ShouldBeBetween, 1, 2.001)
	})
}
