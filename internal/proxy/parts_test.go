package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// partReports returns the reports about prompt parts that arrive within a time.
func (h *harness) partReports(wait time.Duration) (reports []string) {
	timeout := time.After(wait)
	for {
		select {
		case report := <-h.crashes:
			if strings.HasPrefix(report, "parts ") || strings.HasPrefix(report, "trial ") {
				reports = append(reports, report)
			}
		case <-timeout:
			return reports
		}
	}
}

// crashedUnder returns a record of a part under which n endpoints of a service went down.
func crashedUnder(service string, n int, companions ...uint64) blame.Record {
	const part = 0
	tracker := blame.NewTracker()
	for i := range n {
		tracker.Add(int64(i)*1000, &blame.Report{Service: service, Boot: fmt.Sprint("b", i), Parts: append(companions, part)})
	}
	return *tracker.Records[part]
}

// TestSuspectsOfCrash guards against blaming requests whose answers had gone on, and against missing one whose answer had not.
func TestSuspectsOfCrash(t *testing.T) {
	const wait = 300 * time.Millisecond
	// crashAfter streams events for a time and closes the connection.
	crashAfter := func(events int, pause time.Duration) responder {
		return func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			for i := range events {
				writeChunk(c, event(i+1))
				time.Sleep(pause)
			}
			return false
		}
	}
	Convey("the parts of a request without an event are reported, its last part is not", t, func() {
		h := newHarness(t, crashAfter(0, 0))
		h.chooser.endpoints[0].closeAfterNext.Store(true)
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		reports := h.partReports(wait)
		So(reports, ShouldHaveLength, 1)
		So(reports[0], ShouldStartWith, "parts [a b] of e0/")
	})
	Convey("an event just before the crash proves nothing", t, func() {
		h := newHarness(t, crashAfter(1, 10*time.Millisecond))
		h.chooser.endpoints[0].closeAfterNext.Store(true)
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		So(h.partReports(wait), ShouldHaveLength, 1)
	})
	Convey("a request whose answer had gone on is no suspect, its endpoint is counted", t, func() {
		h := newHarness(t, crashAfter(9, 100*time.Millisecond))
		h.chooser.endpoints[0].closeAfterNext.Store(true)
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		So(h.partReports(wait), ShouldResemble, []string{"parts [] of e0/0 sound false"})
	})
	Convey("parts that this instance has just seen answered are no suspects", t, func() {
		h := newHarness(t, streamUpTo(3, 0), crashAfter(0, 0))
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		h.chooser.endpoints[1].closeAfterNext.Store(true)
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a d c")
		reports := h.partReports(wait)
		So(reports, ShouldHaveLength, 1)
		So(reports[0], ShouldStartWith, "parts [d] of e1/")
	})
	Convey("an endpoint that only closed the connection has not crashed", t, func() {
		h := newHarness(t, crashAfter(0, 0))
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		So(h.partReports(wait), ShouldBeEmpty)
	})
	Convey("an endpoint that is silent has not crashed", t, func() {
		h := newHarness(t, func(receivedRequest, net.Conn) bool {
			time.Sleep(time.Second)
			return false
		})
		h.chooser.endpoints[0].closeAfterNext.Store(true)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c", "Deadline", "200").status, ShouldEqual, http.StatusGatewayTimeout)
		So(h.partReports(wait), ShouldBeEmpty)
	})
	Convey("an endpoint that is back before it is asked is found by its new start", t, func() {
		h := newHarness(t, crashAfter(0, 0))
		h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c")
		h.view.Endpoints["e0"] = roster.Endpoint{ID: "e0", Service: "s", State: roster.Ready, StartedAtMS: 7}
		So(h.partReports(restartNoticeDelay+time.Second), ShouldHaveLength, 1)
	})
	Convey("an answer on suspected parts is reported once", t, func() {
		h := newHarness(t, streamUpTo(3, 0))
		h.view.Parts = blame.Records{0xa: crashedUnder("s", 1)}
		for range 3 {
			So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c").status, ShouldEqual, http.StatusOK)
		}
		So(h.partReports(wait), ShouldResemble, []string{"parts [a] of  sound true"})
	})
}

// TestHeldPartReachesEndpoint guards against requests with a held part that reach endpoints, new or repeated.
func TestHeldPartReachesEndpoint(t *testing.T) {
	Convey("a request with a held part is refused as not run, one without it is served", t, func() {
		h := newHarness(t, streamUpTo(3, 0))
		h.view.Parts = blame.Records{0xa: crashedUnder("s", 3)}
		resp := h.send(http.MethodPost, "/stream/", "x", "Parts", "f a c")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "f d a").status, ShouldEqual, http.StatusOK)
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
	Convey("a request with a suspected part is not sent to a second endpoint after a crash", t, func() {
		breaks := func(receivedRequest, net.Conn) bool { return false }
		h := newHarness(t, breaks, breaks)
		h.view.Parts = blame.Records{0xa: crashedUnder("s", 1)}
		So(h.send(http.MethodPost, "/resume/", "x", "Parts", "a c").status, ShouldEqual, http.StatusBadGateway)
		So(h.chooser.next.Load(), ShouldEqual, 1)
		h.send(http.MethodPost, "/resume/", "x", "Parts", "b c")
		So(h.chooser.next.Load(), ShouldEqual, 3)
	})
	Convey("a request without one of the parts that may be the cause gets the trial, and its answer frees all of its parts", t, func() {
		h := newHarness(t, streamUpTo(3, 0))
		h.view.Parts = blame.Records{0xa: crashedUnder("s", 3, 0xb, 0xe), 0xb: crashedUnder("s", 3, 0xa, 0xe), 0xe: crashedUnder("s", 3, 0xa, 0xb)}
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b e c").status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b d c").status, ShouldEqual, http.StatusOK)
		So(h.partReports(100*time.Millisecond), ShouldResemble, []string{"trial 0 of a", "parts [a b] of  sound true"})
	})
	Convey("a request that may be the cause of nothing gets the trial of the part", t, func() {
		h := newHarness(t, streamUpTo(3, 0))
		h.view.Parts = blame.Records{0xa: crashedUnder("s", 3, 0xb)}
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a b c").status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a d c").status, ShouldEqual, http.StatusOK)
		So(h.send(http.MethodPost, "/stream/", "x", "Parts", "a d c").status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.partReports(100*time.Millisecond), ShouldResemble, []string{"trial 0 of a", "parts [a] of  sound true"})
	})
}
