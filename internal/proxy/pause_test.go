package proxy

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPausedEndpointGetsRequests guards against requests to an endpoint that asked for a pause, against callers who wait for nothing
// while all endpoints pause, and against a burst at the end of a pause.
func TestPausedEndpointGetsRequests(t *testing.T) {
	// pauseFirst asks for a pause at the first request and echoes the others.
	pauseFirst := func(pause time.Duration, header ...string) responder {
		return func(req receivedRequest, c net.Conn) bool {
			if req.index > 0 {
				return echo(req, c)
			}
			writeResponse(c, req, http.StatusServiceUnavailable, "", append(header, "Pause", pause.String())...)
			return true
		}
	}
	Convey("an endpoint gets nothing until the end of the pause that it asked for, and then again", t, func() {
		const pause = 400 * time.Millisecond
		h := newHarness(t, pauseFirst(pause, "Not-Run", "1"), echo)
		start := time.Now()
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		for time.Since(start) < pause-100*time.Millisecond {
			So(h.send(http.MethodGet, "/repeat/", "").status, ShouldEqual, http.StatusOK)
		}
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
		time.Sleep(pause)
		for range 10 {
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
		So(len(h.chooser.endpoints[0].requests()), ShouldBeGreaterThan, 1)
	})
	Convey("a pause holds too if the endpoint does not say that it has not run the request", t, func() {
		h := newHarness(t, pauseFirst(time.Minute), echo)
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
		for range 10 {
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
	Convey("while all endpoints pause, callers are told at once when to come back", t, func() {
		const pause = 2 * time.Second
		h := newHarness(t, pauseFirst(pause, "Not-Run", "1"), pauseFirst(pause+time.Second, "Not-Run", "1"))
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		for range 3 {
			start := time.Now()
			resp := h.send(http.MethodPost, "/once/", "x")
			So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
			So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(seconds, ShouldBeBetween, 1, (pause+returnSpread).Seconds()+0.01)
		}
		for _, endpoint := range h.chooser.endpoints {
			So(endpoint.requests(), ShouldHaveLength, 1)
		}
	})
	Convey("at the end of a pause, one request at a time is sent until the endpoint has answered", t, func() {
		const pause, callers = 100 * time.Millisecond, 40
		release := make(chan struct{})
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			if req.index == 0 {
				return pauseFirst(pause, "Not-Run", "1")(req, c)
			}
			<-release
			return echo(req, c)
		}, echo)
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		time.Sleep(pause)
		var wg sync.WaitGroup
		start := time.Now()
		for range callers {
			wg.Go(func() {
				resp, err := http.DefaultTransport.RoundTrip(h.newRequest(http.MethodPost, "/once/", "x"))
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		sent := len(h.chooser.endpoints[0].requests()) - 1
		allowed := 1 + int(time.Since(start)/(100*time.Millisecond))
		close(release)
		wg.Wait()
		So(sent, ShouldBeLessThanOrEqualTo, allowed)
	})
}
