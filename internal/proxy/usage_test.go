package proxy

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// usageCounts counts begun requests by organisation.
type usageCounts struct {
	mu      sync.Mutex
	numbers map[string]int
}

func (u *usageCounts) Count(organisation string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.numbers[organisation]++
}

func (u *usageCounts) of(organisation string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.numbers[organisation]
}

func countUsage(h *harness) *usageCounts {
	counts := &usageCounts{numbers: map[string]int{}}
	h.proxy.opt.Usage = counts
	return counts
}

// TestUsageCountsRequestsOnce guards against requests that count twice as several endpoints begin them, that count though no endpoint has
// begun them, or that do not count.
func TestUsageCountsRequestsOnce(t *testing.T) {
	refuse := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusServiceUnavailable, "full", "Not-Run", "yes")
		return true
	}
	Convey("a call counts with its answer, and a refused attempt does not", t, func() {
		h := newHarness(t, refuse, echo)
		counts := countUsage(h)
		So(h.send(http.MethodPost, "/repeat/", "x").status, ShouldEqual, http.StatusOK)
		So(counts.of("org"), ShouldEqual, 1)
		h = newHarness(t, refuse, refuse)
		counts = countUsage(h)
		So(h.send(http.MethodPost, "/repeat/", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		So(counts.of("org"), ShouldEqual, 0)
	})
	Convey("a call that an endpoint begins and another one answers counts once", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusInternalServerError, "failed")
			return true
		}, echo)
		counts := countUsage(h)
		So(h.send(http.MethodPost, "/repeat/", "x").status, ShouldEqual, http.StatusOK)
		So(counts.of("org"), ShouldEqual, 1)
	})
	Convey("a stream counts with its first event, not with its header, and once if another endpoint resumes it", t, func() {
		goOn := make(chan struct{})
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			<-goOn
			for i := 1; i <= 5; i++ {
				writeChunk(c, event(i))
			}
			return false
		}, streamUpTo(20, 0))
		counts := countUsage(h)
		ended := make(chan callerResponse, 1)
		go func() { ended <- h.send(http.MethodPost, "/resume/", "x") }()
		time.Sleep(100 * time.Millisecond)
		So(counts.of("org"), ShouldEqual, 0)
		close(goOn)
		So((<-ended).body, ShouldEqual, eventRange(1, 20))
		So(counts.of("org"), ShouldEqual, 1)
	})
	Convey("a failure in place of a stream does not count", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusInternalServerError, "failed")
			return true
		})
		counts := countUsage(h)
		So(h.send(http.MethodPost, "/stream/", "x").status, ShouldBeGreaterThanOrEqualTo, http.StatusInternalServerError)
		So(counts.of("org"), ShouldEqual, 0)
	})
	Convey("requests without organisation do not count", t, func() {
		h := newHarness(t, echo)
		counts := countUsage(h)
		So(h.send(http.MethodPost, "/public/", "x").status, ShouldEqual, http.StatusOK)
		So(fmt.Sprint(counts.numbers), ShouldEqual, "map[]")
	})
	Convey("what another instance sends for an entry counts at the entry only", t, func() {
		p := newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/stream/" {
				return streamUpTo(20, 0)(req, c)
			}
			return echo(req, c)
		})
		p.cut(linksRefused)
		counts, others := countUsage(p.harness), &usageCounts{numbers: map[string]int{}}
		p.other.opt.Usage = others
		made := p.proxy.DetoursMade()
		So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(p.send(http.MethodPost, "/stream/", "x").body, ShouldEqual, eventRange(1, 20))
		So(p.proxy.DetoursMade(), ShouldEqual, made+2)
		So(counts.of("org"), ShouldEqual, 2)
		So(others.of("org"), ShouldEqual, 0)
	})
}
