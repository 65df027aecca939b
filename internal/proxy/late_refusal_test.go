package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/egress"
)

// lateRefuser is an endpoint that refuses the first request and sends the refusal once more where the next response on that connection is
// expected. It counts the requests that it runs, by ID.
type lateRefuser struct {
	mu      sync.Mutex
	refused bool
	late    map[net.Conn]string
	runs    map[string]int
	// head is the header of the refusal, in which %s stands for the ID of the request.
	head string
}

func newLateRefuser(head string) *lateRefuser {
	return &lateRefuser{late: map[net.Conn]string{}, runs: map[string]int{}, head: head}
}

func (e *lateRefuser) respond(req receivedRequest, c net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := req.Header.Get("Id")
	if !e.refused {
		e.refused = true
		e.late[c] = "HTTP/1.1 503 X\r\n" + strings.ReplaceAll(e.head, "%s", id) + "Content-Length: 0\r\n\r\n"
		_, _ = fmt.Fprint(c, e.late[c])
		return true
	}
	e.runs[id]++
	_, _ = fmt.Fprint(c, e.late[c])
	e.late[c] = ""
	time.Sleep(20 * time.Millisecond)
	return echo(req, c)
}

// total returns the number of runs of all requests.
func (e *lateRefuser) total() (runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.runs {
		runs += n
	}
	return runs
}

const (
	namedRefusal   = "Not-Run: 1\r\nId: %s\r\n"
	unnamedRefusal = "Not-Run: 1\r\n"
	namedFailure   = "Signed: 1\r\nId: %s\r\n"
)

// TestLateRefusalIsTakenForAnAnswer guards against requests that run twice, or are said not to have run while they do, as a late copy of a
// refusal is taken for the answer to the same request sent again, or to a later one.
func TestLateRefusalIsTakenForAnAnswer(t *testing.T) {
	answers := func(h *harness, e *lateRefuser, target string) {
		So(h.send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusOK)
		So(h.send(http.MethodPost, target, "y").status, ShouldEqual, http.StatusOK)
		So(e.total(), ShouldEqual, 2)
	}
	for name, head := range map[string]string{"names its request": namedRefusal, "names no request": unnamedRefusal} {
		Convey("the refusal "+name, t, func() {
			e := newLateRefuser(head)
			answers(newHarness(t, e.respond), e, "/once/")
		})
		Convey("the refusal "+name+", and comes by way of another instance", t, func() {
			e := newLateRefuser(head)
			e.refused = true
			p := newPair(t, e.respond)
			p.cut(linksRefused)
			p.other.pools = egress.New(p.otherLinks)
			e.mu.Lock()
			e.refused, e.runs = false, map[string]int{}
			e.mu.Unlock()
			answers(p.harness, e, "/once/")
		})
	}
	Convey("a failure that is answered by another try at the same endpoint is not taken for its answer either", t, func() {
		e := newLateRefuser(namedFailure)
		h := newHarness(t, e.respond)
		resp := h.send(http.MethodPost, "/repeat/", "x")
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, "echo x")
		So(e.total(), ShouldEqual, 1)
	})
	Convey("connections are kept after refusals, and given up after many", t, func() {
		var conns sync.Map
		var refusals atomic.Int64
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			conns.Store(c, true)
			if refusals.Add(1)%2 == 1 {
				writeResponse(c, req, http.StatusServiceUnavailable, "", "Not-Run", "1")
				return true
			}
			return echo(req, c)
		})
		used := func(requests int) (n int) {
			for range requests {
				So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			}
			conns.Range(func(any, any) bool { n++; return true })
			return n
		}
		So(used(50), ShouldEqual, 2)
		So(used(150), ShouldBeBetween, 2, 7)
	})
}
