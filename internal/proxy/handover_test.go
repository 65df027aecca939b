package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// full refuses each request as not run.
func full(req receivedRequest, c net.Conn) bool {
	writeResponse(c, req, http.StatusServiceUnavailable, "full", "Not-Run", "1")
	return true
}

// mute takes requests and sends nothing until the connection ends.
func mute(receivedRequest, net.Conn) bool {
	return true
}

// silentFor is silent for a time and then does the same as next.
func silentFor(length time.Duration, next responder) responder {
	return func(req receivedRequest, c net.Conn) bool {
		time.Sleep(length)
		return next(req, c)
	}
}

// firstTo makes the chooser choose the first endpoint for the first attempt of the next request, and others thereafter.
func (h *harness) firstTo() {
	h.chooser.next.Store(0)
}

// outcomesOf returns how many attempts have ended in a way.
func (h *harness) outcomesOf(outcome place.Outcome) (n int) {
	h.chooser.mu.Lock()
	defer h.chooser.mu.Unlock()
	for _, o := range h.chooser.outcomes {
		if o == outcome {
			n++
		}
	}
	return n
}

// TestSilentEndpointIsLeftForNobody guards against requests that fail because a sound endpoint is silent for a second and no other
// endpoint takes them.
func TestSilentEndpointIsLeftForNobody(t *testing.T) {
	others := map[string][]responder{
		"are full":                      {full, full},
		"take the request and are mute": {mute, mute},
		"break off":                     {func(receivedRequest, net.Conn) bool { return false }},
		"answer with a failure": {func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusInternalServerError, "failure")
			return true
		}},
	}
	for name, responders := range others {
		Convey("a stream goes on at its endpoint if the others "+name, t, func() {
			h := newHarness(t, append([]responder{silentStream}, responders...)...)
			h.firstTo()
			resp := h.send(http.MethodPost, "/resume/", "x")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 20))
			So(len(h.chooser.endpoints[1].requests()), ShouldEqual, 1)
			So(h.outcomesOf(place.Completed), ShouldEqual, 1)
			So(h.outcomesOf(place.TimedOut), ShouldEqual, 0)
		})
		Convey("so do streams that have not begun and calls, if the others "+name, t, func() {
			first := silentFor(silence+500*time.Millisecond, streamUpTo(20, 0))
			h := newHarness(t, append([]responder{first}, responders...)...)
			h.chooser.alternatives = 1
			h.firstTo()
			resp := h.send(http.MethodPost, "/resume/", "x")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 20))
			h = newHarness(t, append([]responder{silentFor(silence, echo)}, responders...)...)
			h.chooser.alternatives = 1
			h.firstTo()
			resp = h.send(http.MethodPost, "/repeat/", "x")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, "echo x")
		})
	}
	Convey("a request that another endpoint holds is withdrawn there as soon as the silent one goes on", t, func() {
		h := newHarness(t, silentStream, mute)
		h.firstTo()
		So(h.send(http.MethodPost, "/resume/", "x").complete, ShouldBeTrue)
		select {
		case <-h.chooser.endpoints[1].disconnected:
		case <-time.After(time.Second):
			So("the connection to the other endpoint", ShouldEqual, "closed")
		}
		So(h.outcomesOf(place.CallerLeft), ShouldEqual, 1)
	})
	Convey("by way of another instance too", t, func() {
		p := newPair(t, silentStream, full)
		p.cut(linksRefused)
		p.firstTo()
		resp := p.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(p.proxy.DetoursMade(), ShouldBeGreaterThan, 0)
	})
}

// TestSilentEndpointKeepsItsRequests guards against requests that wait for a silent endpoint while another one would take them.
func TestSilentEndpointKeepsItsRequests(t *testing.T) {
	// dead streams events up to the ninth and then nothing until the connection ends.
	var closed atomic.Int64
	dead := func(req receivedRequest, c net.Conn) bool {
		writeStreamHeader(c, req)
		for i := 1; i < 10; i++ {
			writeChunk(c, event(i))
		}
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			closed.Add(1)
		}
		return false
	}
	goesOn := func(h *harness, target, body string) {
		h.firstTo()
		began := time.Now()
		resp := h.send(http.MethodPost, target, "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, body)
		So(time.Since(began), ShouldBeLessThan, 2*minGapTimeout)
	}
	Convey("a stream goes on at the next endpoint that takes it, and the silent one is left", t, func() {
		h := newHarness(t, dead, full, streamUpTo(20, 0))
		goesOn(h, "/resume/", eventRange(1, 20))
		last := h.chooser.endpoints[2].requests()
		So(last, ShouldHaveLength, 1)
		So(last[0].Header.Get("After"), ShouldEqual, "9")
		So(h.outcomesOf(place.TimedOut), ShouldEqual, 1)
		time.Sleep(50 * time.Millisecond)
		So(closed.Load(), ShouldEqual, 1)
	})
	Convey("so do a stream that has not begun and a call", t, func() {
		for target, next := range map[string]responder{"/resume/": streamUpTo(20, 0), "/repeat/": echo} {
			h := newHarness(t, mute, next)
			h.chooser.alternatives = 1
			goesOn(h, target, map[string]string{"/resume/": eventRange(1, 20), "/repeat/": "echo x"}[target])
		}
	})
	Convey("by way of another instance too", t, func() {
		p := newPair(t, dead, streamUpTo(20, 0))
		p.cut(linksRefused)
		goesOn(p.harness, "/resume/", eventRange(1, 20))
	})
	Convey("if its endpoint breaks off while another one is asked, that one's answer counts", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			writeChunk(c, event(1))
			time.Sleep(silence)
			return false
		}, silentFor(silence, streamUpTo(20, 0)))
		h.firstTo()
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(h.chooser.endpoints[1].requests(), ShouldHaveLength, 1)
	})
	Convey("a caller who leaves meanwhile leaves both", t, func() {
		h := newHarness(t, dead, mute)
		closed.Store(0)
		h.firstTo()
		conn, err := net.Dial("tcp", h.addr)
		So(err, ShouldBeNil)
		_, err = fmt.Fprint(conn, "POST /resume/ HTTP/1.1\r\nHost: h\r\nId: leaver\r\nKey: key\r\nContent-Length: 0\r\n\r\n")
		So(err, ShouldBeNil)
		time.Sleep(minGapTimeout + 300*time.Millisecond)
		So(h.chooser.endpoints[1].requests(), ShouldHaveLength, 1)
		So(conn.Close(), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		So(closed.Load(), ShouldEqual, 1)
		So(h.outcomesOf(place.CallerLeft), ShouldEqual, 2)
		So(h.proxy.RequestsInProgress(), ShouldEqual, 0)
	})
	Convey("each endpoint that is asked costs a retry", t, func() {
		h := newHarness(t, dead, full, full, full)
		h.proxy.opt.RetryAllowance = func() retry.Allowance { return retry.Allowance{Slack: 2, Window: 10 * time.Second} }
		h.firstTo()
		So(h.send(http.MethodPost, "/resume/", "x", "Deadline", "4000").complete, ShouldBeFalse)
		asked := 0
		for _, e := range h.chooser.endpoints[1:] {
			asked += len(e.requests())
		}
		So(asked, ShouldEqual, 2)
	})
}
