package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/budget"
)

// TestRefusedBodyRuns guards against requests that are refused as not run although an endpoint got them, against refusals that do not say
// when to come back, and against bodies and answers that are damaged or stay reserved.
func TestRefusedBodyRuns(t *testing.T) {
	const limit = 200_000
	newBounded := func() (*harness, *budget.Budget, *atomic.Int64) {
		ran := &atomic.Int64{}
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			ran.Add(1)
			return echo(req, c)
		})
		b := budget.New(limit, time.Now)
		h.proxy.opt.Budget = b
		return h, b, ran
	}
	unfinished := func(h *harness, id string, sent int) net.Conn {
		c, err := net.Dial("tcp", h.addr)
		So(err, ShouldBeNil)
		So(c.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
		_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: key\r\nContent-Length: %d\r\n\r\n%s", id, sent+1, strings.Repeat("x", sent))
		So(err, ShouldBeNil)
		return c
	}
	expectRefusal := func(c net.Conn, status int) {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, status)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(after, ShouldBeGreaterThan, 0)
		So(resp.Close, ShouldBeTrue)
		So(c.Close(), ShouldBeNil)
	}
	awaitReleased := func(b *budget.Budget) {
		for end := time.Now().Add(5 * time.Second); b.Counts().Held > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		So(b.Counts().Held, ShouldEqual, 0)
		So(b.Counts().Pinned, ShouldEqual, 0)
	}
	Convey("a body that stands still ends with 408", t, func() {
		h, b, ran := newBounded()
		c := unfinished(h, "stalled", 1000)
		for end := time.Now().Add(5 * time.Second); b.Counts().Stalls == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			b.Tick()
		}
		expectRefusal(c, http.StatusRequestTimeout)
		So(ran.Load(), ShouldEqual, 0)
		awaitReleased(b)
	})
	Convey("an unfinished body is refused for one that arrives whole, which is answered", t, func() {
		h, b, ran := newBounded()
		c := unfinished(h, "large", 150_000)
		for end := time.Now().Add(5 * time.Second); b.Counts().Held < 150_000 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		body := strings.Repeat("0123456789", 7000)
		resp := h.send(http.MethodPost, "/once/x", body)
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, "echo "+body)
		expectRefusal(c, http.StatusServiceUnavailable)
		So(ran.Load(), ShouldEqual, 1)
		awaitReleased(b)
	})
	Convey("beside complete requests that hold all, a body is refused, and a request without one gets its whole answer", t, func() {
		h, b, ran := newBounded()
		running := b.Open(budget.Client{})
		So(running.Grow(limit), ShouldBeNil)
		expectRefusal(unfinished(h, "late", 1000), http.StatusServiceUnavailable)
		So(ran.Load(), ShouldEqual, 0)
		resp := h.send(http.MethodGet, "/repeat/x", "")
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, "echo ")
		So(resp.complete, ShouldBeTrue)
		running.Release()
		awaitReleased(b)
	})
}
