package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// silence is how long a sound endpoint is silent in these tests, longer than the proxy waits while it may try another one.
const silence = 1500 * time.Millisecond

// silentStream streams events with a silence in the middle.
func silentStream(req receivedRequest, c net.Conn) bool {
	writeStreamHeader(c, req)
	for i := 1; i <= 20; i++ {
		if i == 10 {
			time.Sleep(silence)
		}
		writeChunk(c, event(i))
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	return true
}

// TestSilentEndpointLosesItsRequests guards against requests that are broken off, or reported as crashes, because a sound endpoint is
// silent for a short time.
func TestSilentEndpointLosesItsRequests(t *testing.T) {
	slowEcho := func(req receivedRequest, c net.Conn) bool {
		time.Sleep(silence)
		return echo(req, c)
	}
	spend := func(h *harness) {
		h.proxy.opt.RetryAllowance = func() retry.Allowance { return retry.Allowance{Window: time.Second} }
	}
	Convey("without retries left, streams and calls wait for the endpoint to go on", t, func() {
		h := newHarness(t, silentStream, streamUpTo(20, 0))
		spend(h)
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		h = newHarness(t, slowEcho, echo)
		spend(h)
		So(h.send(http.MethodPost, "/repeat/", "x").status, ShouldEqual, http.StatusOK)
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	Convey("with one retry left, one of several streams goes on elsewhere, and all are whole", t, func() {
		const streams = 6
		h := newHarness(t, silentStream, streamUpTo(20, 0))
		h.proxy.opt.RetryAllowance = func() retry.Allowance { return retry.Allowance{Slack: 1, Window: 10 * time.Second} }
		results := make(chan callerResponse, streams)
		for range streams {
			h.chooser.next.Store(0)
			go func() { results <- h.send(http.MethodPost, "/resume/", "x") }()
			time.Sleep(20 * time.Millisecond)
		}
		for range streams {
			resp := <-results
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 20))
		}
		So(h.chooser.endpoints[1].requests(), ShouldHaveLength, 1)
	})
	Convey("streams that may not be resumed and calls that may not be repeated wait in any case, and no crash is reported", t, func() {
		h := newHarness(t, silentStream)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c").body, ShouldEqual, eventRange(1, 20))
		h2 := newHarness(t, slowEcho)
		So(h2.send(http.MethodPost, "/once/", "x", "Parts", "a b c").status, ShouldEqual, http.StatusOK)
		So(len(h.crashes)+len(h2.crashes), ShouldEqual, 0)
	})
}
