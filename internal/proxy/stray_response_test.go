package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

// strayRefusal and strayMisdirection are refusals that name no request.
const (
	strayRefusal      = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	strayMisdirection = "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"
)

// strayer is an endpoint that sends bytes which belong to no request where the second response on a connection is expected, and then that
// response, unless it ends there. It counts the requests that it runs, by ID.
type strayer struct {
	stray   string
	endOnly bool
	next    responder

	mu   sync.Mutex
	used map[net.Conn]bool
	runs map[string]int
}

func newStrayer(stray string, next responder) *strayer {
	return &strayer{stray: stray, next: next, used: map[net.Conn]bool{}, runs: map[string]int{}}
}

func (e *strayer) respond(req receivedRequest, c net.Conn) bool {
	e.mu.Lock()
	isStray := e.used[c] && e.stray != ""
	e.used[c] = true
	if !isStray || !e.endOnly {
		e.runs[req.Header.Get("Id")]++
	}
	e.mu.Unlock()
	if isStray {
		_, _ = fmt.Fprint(c, e.stray)
		time.Sleep(10 * time.Millisecond)
		if e.endOnly {
			return true
		}
	}
	return e.next(req, c)
}

// mostRuns returns the largest number of runs of a request.
func (e *strayer) mostRuns() (most int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range e.runs {
		most = max(most, n)
	}
	return most
}

// TestStrayRefusalIsTakenForAnAnswer guards against unnamed refusals behind an answer that are taken for the answer to the next request.
func TestStrayRefusalIsTakenForAnAnswer(t *testing.T) {
	for name, stray := range map[string]string{"a refusal": strayRefusal, "a status 421": strayMisdirection} {
		for _, target := range []string{"/once/", "/repeat/", "/stream/", "/resume/"} {
			Convey(name+" is not the answer to a later request to "+target, t, func() {
				next := echo
				if strings.HasPrefix(target, "/stream") || strings.HasPrefix(target, "/resume") {
					next = streamUpTo(20, 0)
				}
				e := newStrayer(stray, next)
				h := newHarness(t, e.respond)
				for range 6 {
					So(h.send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusOK)
				}
				So(e.mostRuns(), ShouldEqual, 1)
				So(h.proxy.ResponsesSkipped(), ShouldEqual, 3)
			})
		}
		Convey(name+" is not the answer to a later request by way of another instance", t, func() {
			e := newStrayer("", echo)
			p := newPair(t, e.respond)
			p.cut(linksRefused)
			e.mu.Lock()
			e.stray = stray
			e.mu.Unlock()
			for range 6 {
				So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			}
			So(e.mostRuns(), ShouldEqual, 1)
			So(p.other.ResponsesSkipped(), ShouldBeGreaterThan, 0)
		})
		Convey(name+" before the part of a stream that goes on does not end it", t, func() {
			e := newStrayer(stray, streamUpTo(20, 0))
			h := newHarness(t, streamUpTo(20, 11), e.respond)
			for range 4 {
				h.firstTo()
				resp := h.send(http.MethodPost, "/resume/", "x")
				So(resp.complete, ShouldBeTrue)
				So(resp.body, ShouldEqual, eventRange(1, 20))
			}
			So(e.mostRuns(), ShouldEqual, 1)
		})
	}
	Convey("a refusal that names no request, on a connection that served others, is not told to the caller", t, func() {
		for _, other := range []bool{false, true} {
			e := newStrayer("", echo)
			var h *harness
			if other {
				p := newPair(t, e.respond)
				p.cut(linksRefused)
				h = p.harness
			} else {
				h = newHarness(t, e.respond)
				h.send(http.MethodPost, "/once/", "x")
			}
			e.mu.Lock()
			e.stray, e.endOnly = strayRefusal, true
			e.mu.Unlock()
			began := time.Now()
			So(h.send(http.MethodPost, "/once/", "x", "Deadline", "5000").status, ShouldEqual, http.StatusBadGateway)
			So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		}
	})
	Convey("a refusal that names no request, passed on by an instance of an older build, is not told to the caller", t, func() {
		p := newPair(t, echo)
		p.cut(linksRefused)
		p.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = detour.WriteFrame(w, detour.Receipt{Result: detour.Sent})
			_ = detour.WriteFrame(w, detour.Head{Status: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}})
			_ = detour.WriteEnd(w, true)
		})
		So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
	})
	Convey("it keeps its meaning as the first answer on a connection", t, func() {
		declined := false
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			if !declined {
				declined = true
				_, _ = fmt.Fprint(c, strayRefusal)
				return true
			}
			return echo(req, c)
		})
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 2)
	})
}

// TestUnnamedRefusalFailsCallers guards against callers getting 502 from endpoints whose refusals name no request.
func TestUnnamedRefusalFailsCallers(t *testing.T) {
	Convey("requests are sent over new connections to an endpoint that refuses so", t, func() {
		asked := 0
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			if asked++; asked%2 == 1 {
				_, _ = fmt.Fprint(c, strayRefusal)
				return true
			}
			return echo(req, c)
		})
		for range 20 {
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
		So(asked, ShouldEqual, 40)
	})
}

// TestStrayResponseTellsOfItsEndpoint guards against bytes that name no request telling that an endpoint leaves, pauses or limits requests.
func TestStrayResponseTellsOfItsEndpoint(t *testing.T) {
	const header = "Leaving: 1\r\nPause: 5s\r\nLimit: 1\r\n"
	for name, stray := range map[string]string{
		"a refusal": strings.Replace(strayRefusal, "Not-Run", header+"Not-Run", 1),
		"an answer": "HTTP/1.1 200 OK\r\nSigned: 1\r\n" + header + "Content-Length: 0\r\n\r\n",
	} {
		Convey(name+" that names no request tells nothing of the endpoint", t, func() {
			e := newStrayer(stray, echo)
			h := newHarness(t, e.respond)
			for range 6 {
				So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			}
			So(h.proxy.ResponsesSkipped(), ShouldEqual, 3)
			h.chooser.mu.Lock()
			defer h.chooser.mu.Unlock()
			for _, limit := range h.chooser.limits {
				So(limit, ShouldResemble, place.Limit{EndpointID: "e0", Lifted: true, SentAgo: limit.SentAgo})
			}
		})
		Convey(name+" tells nothing of it to the instance that sends requests for another one either", t, func() {
			e := newStrayer("", echo)
			p := newPair(t, e.respond)
			p.cut(linksRefused)
			e.mu.Lock()
			e.stray = stray
			e.mu.Unlock()
			for range 6 {
				So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			}
			So(p.other.ResponsesSkipped(), ShouldBeGreaterThan, 0)
		})
	}
}

// TestStrayResponseTellsAStart guards against bytes that belong to no request being taken for an engine's answer that it tells no start.
func TestStrayResponseTellsAStart(t *testing.T) {
	for name, stray := range map[string]string{
		"an answer": "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nuntold", "a refusal": strayRefusal,
	} {
		Convey("a stream that began at a later start does not go on, though "+name+" belongs to no request", t, func() {
			reports := newStrayer(stray, tells("8"))
			h := newEngineHarness(t, func(req receivedRequest, c net.Conn) bool {
				switch req.URL.Path {
				case "/start":
					return reports.respond(req, c)
				case "/repeat/":
					reports.mu.Lock()
					reports.used[c] = true
					reports.mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					return echo(req, c)
				}
				return slowly(10, 20*time.Millisecond)(req, c)
			}, engine(tells("7"), func(req receivedRequest, c net.Conn) bool {
				if req.URL.Path == "/repeat/" {
					time.Sleep(50 * time.Millisecond)
					return echo(req, c)
				}
				return streamUpTo(20, 0)(req, c)
			}))
			var wg sync.WaitGroup
			for range 6 {
				wg.Go(func() { h.send(http.MethodPost, "/repeat/", "x") })
			}
			wg.Wait()
			h.firstTo()
			resp := h.send(http.MethodPost, "/resume/", "x", "Id", "first")
			So(resp.complete, ShouldBeFalse)
			So(resp.body, ShouldEqual, eventRange(1, 9))
		})
	}
}
