package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
)

// TestForward guards against changing a request or response on the way, against request smuggling, and against a final rejection
// that is based on an outdated routing table.
func TestForward(t *testing.T) {
	Convey("a request is forwarded unchanged except for its key, and its response is returned unchanged", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusCreated, "body", "Extra", "1")
			return true
		})
		resp := h.send(http.MethodPut, "/once/a%2Fb//c?x=1&y=%20", "payload", "Other", "kept")
		So(resp.status, ShouldEqual, http.StatusCreated)
		So(resp.body, ShouldEqual, "body")
		So(resp.header.Get("Extra"), ShouldEqual, "1")
		So(resp.header.Get("Signed"), ShouldEqual, "yes")
		received := h.chooser.endpoints[0].requests()[0]
		So(received.Method, ShouldEqual, http.MethodPut)
		So(received.RequestURI, ShouldEqual, "/once/a%2Fb//c?x=1&y=%20")
		So(received.body, ShouldEqual, "payload")
		So(received.Host, ShouldEqual, "h")
		So(received.Header.Get("Other"), ShouldEqual, "kept")
		So(received.Header.Get("Key"), ShouldEqual, "")
		So(received.Header.Get("Organisation"), ShouldEqual, "org")
		So(received.Header.Get("Endpoint"), ShouldEqual, "e0")
	})
	Convey("a chunked body is forwarded with its length, so that its content cannot be taken for another request", t, func() {
		h := newHarness(t, echo)
		inner := "POST /once/x HTTP/1.1\r\nHost: h\r\nId: smuggled\r\nContent-Length: 0\r\n\r\n"
		c, err := net.Dial("tcp", h.addr)
		So(err, ShouldBeNil)
		_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: key\r\nTransfer-Encoding: chunked\r\n"+
			"Content-Length: 3\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
		So(err, ShouldBeNil)
		buf := make([]byte, 4096)
		_, err = c.Read(buf)
		So(err, ShouldBeNil)
		So(c.Close(), ShouldBeNil)
		received := h.chooser.endpoints[0].requests()
		So(len(received), ShouldEqual, 1)
		So(received[0].body, ShouldEqual, inner)
	})
	Convey("unknown routes and callers are rejected for good only while the table is proven current", t, func() {
		h := newHarness(t, echo)
		So(h.send(http.MethodGet, "/nowhere/", "").status, ShouldEqual, http.StatusNotFound)
		So(h.send(http.MethodGet, "/repeat/", "", "Key", "other").status, ShouldEqual, http.StatusUnauthorized)
		So(h.send(http.MethodGet, "/repeat/", "", "Id", "").status, ShouldEqual, http.StatusBadRequest)
		So(h.send(http.MethodGet, "/public/", "", "Key", "").status, ShouldEqual, http.StatusOK)
		h.proxy.startedAt = time.Now().Add(-time.Hour)
		h.configCurrent.Store(false)
		for _, target := range []string{"/nowhere/", "/repeat/"} {
			resp := h.send(http.MethodGet, target, "")
			So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.header.Get("Retry-After"), ShouldNotEqual, "")
		}
		So(len(h.chooser.endpoints[0].requests()), ShouldEqual, 1)
	})
	Convey("a body above the limit is rejected", t, func() {
		h := newHarness(t, echo)
		So(h.send(http.MethodPost, "/once/", strings.Repeat("x", defaultMaxBody+1)).status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(h.chooser.endpoints[0].requests(), ShouldBeEmpty)
	})
}

// TestNotRun guards against failing a request that no endpoint has run, when it could run on another one or be retried.
func TestNotRun(t *testing.T) {
	declines := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusServiceUnavailable, "", "Not-Run", "1")
		return true
	}
	misdirects := func(req receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	Convey("a request that an endpoint has not run is sent to another one, even if it may run only once", t, func() {
		for _, first := range []responder{declines, misdirects} {
			h := newHarness(t, first, echo)
			resp := h.send(http.MethodPost, "/once/", "x")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, "echo x")
		}
	})
	Convey("if all endpoints decline, the caller learns that the request has not run and when to retry", t, func() {
		h := newHarness(t, declines, declines)
		resp := h.send(http.MethodPost, "/once/", "x")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.header.Get("Retry-After"), ShouldEqual, "0.500")
		So(resp.header.Get("Signed"), ShouldEqual, "")
	})
	Convey("a repeatable request is retried on the only endpoint", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			if req.index == 0 {
				return false
			}
			return echo(req, c)
		})
		So(h.send(http.MethodGet, "/repeat/", "").status, ShouldEqual, http.StatusOK)
	})
	Convey("a request to an unreachable endpoint is sent to another one", t, func() {
		h := newHarness(t, echo, echo)
		h.chooser.endpoints[0].addr = closedAddr(t)
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(h.chooser.outcomes, ShouldResemble, []place.Outcome{place.ConnectFailed, place.Completed})
	})
}

// TestInvalidResponses covers responses that are truncated, duplicated, without framing or not the endpoint's own. A caller must
// not get them as the response to its request, and a request that may run only once must not run again after them.
func TestInvalidResponses(t *testing.T) {
	truncated := func(req receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\nContent-Length: 100\r\n\r\npart", req.Header.Get("Id"))
		return false
	}
	closes := func(receivedRequest, net.Conn) bool { return false }
	garbage := func(_ receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprint(c, "\x00\x01 nonsense\r\n\r\n")
		return false
	}
	unsigned := func(req receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", req.Header.Get("Id"))
		return true
	}
	encoded := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusOK, "zz", "Content-Encoding", "gzip")
		return true
	}
	badResponses := map[string]responder{"cut": truncated, "closed": closes, "garbage": garbage, "unsigned": unsigned, "encoded": encoded}
	for name, respond := range badResponses {
		Convey("after a response that is "+name+", a repeatable request is served by another endpoint", t, func() {
			resp := newHarness(t, respond, echo).send(http.MethodGet, "/repeat/", "")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, "echo ")
		})
		Convey("after a response that is "+name+", a request that may run only once is not retried and not reported as not run", t, func() {
			h := newHarness(t, respond, echo)
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		})
	}
	Convey("a duplicate response is not used for the next request", t, func() {
		answersTwice := func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, "echo "+req.body)
			writeResponse(c, req, http.StatusOK, "echo "+req.body)
			return true
		}
		h := newHarness(t, answersTwice)
		for i := range 10 {
			resp := h.send(http.MethodPost, "/once/", fmt.Sprint("x", i))
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, fmt.Sprint("echo x", i))
		}
	})
	Convey("a late response that precedes that of the next request is skipped", t, func() {
		var last receivedRequest
		answersLate := func(req receivedRequest, c net.Conn) bool {
			if req.index > 0 {
				writeResponse(c, last, http.StatusOK, "late")
			}
			last = req
			writeResponse(c, req, http.StatusOK, "echo "+req.body)
			return true
		}
		h := newHarness(t, answersLate)
		for i := range 5 {
			So(h.send(http.MethodPost, "/once/", fmt.Sprint(i)).body, ShouldEqual, fmt.Sprint("echo ", i))
		}
	})
	Convey("a response without a length ends with its connection and is incomplete if that is reset", t, func() {
		for _, reset := range []bool{false, true} {
			h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\n\r\nall of it", req.Header.Get("Id"))
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			resp := h.send(http.MethodPost, "/once/", "x")
			if reset {
				So(resp.status, ShouldEqual, http.StatusBadGateway)
				continue
			}
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, "all of it")
		}
	})
	Convey("an endpoint may respond before it has read a large body", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 1000)
			_, _ = c.Read(head)
			id := strings.TrimSpace(strings.SplitN(strings.SplitN(string(head), "Id: ", 2)[1], "\r\n", 2)[0])
			_, _ = fmt.Fprintf(c, "HTTP/1.1 413 X\r\nId: %s\r\nSigned: y\r\nContent-Length: 5\r\n\r\nearly", id)
		}()
		h := newHarness(t, echo)
		h.chooser.endpoints[0].addr = mustAddr(l.Addr().String())
		resp := h.send(http.MethodPost, "/once/", strings.Repeat("x", 3<<20))
		So(resp.status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(resp.body, ShouldEqual, "early")
	})
	Convey("an endpoint's error response is forwarded unless its status would imply that the request has not run", t, func() {
		for status, want := range map[int]int{500: 500, 404: 404, 503: 502, 429: 502, 408: 502} {
			h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
				writeResponse(c, req, status, "why")
				return true
			})
			resp := h.send(http.MethodPost, "/once/", "x")
			So(resp.status, ShouldEqual, want)
			if status == want {
				So(resp.body, ShouldEqual, "why")
			}
		}
	})
}

// TestCallerDisconnect guards against endpoints that work for callers who no longer wait, and against requests that are lost when
// an instance stops.
func TestCallerDisconnect(t *testing.T) {
	Convey("a request is cancelled at the endpoint when its caller disconnects", t, func() {
		h := newHarness(t, func(_ receivedRequest, c net.Conn) bool { return true })
		c, err := net.Dial("tcp", h.addr)
		So(err, ShouldBeNil)
		_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n")
		So(err, ShouldBeNil)
		for len(h.chooser.endpoints[0].requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		So(c.Close(), ShouldBeNil)
		<-h.chooser.endpoints[0].disconnected
	})
	Convey("a caller gets a response when its deadline has passed", t, func() {
		h := newHarness(t, func(_ receivedRequest, c net.Conn) bool { return true })
		resp := h.send(http.MethodPost, "/once/", "x", "Deadline", "150")
		So(resp.status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("a stopping instance first asks callers to reconnect and then rejects requests", t, func() {
		h := newHarness(t, echo)
		h.proxy.StartDraining()
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(h.proxy.Ready(time.Now()), ShouldNotBeNil)
		h.proxy.RejectRequests()
		resp := h.send(http.MethodPost, "/once/", "x")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.header.Get("Retry-After"), ShouldNotEqual, "")
	})
}

// TestMetrics checks that request counts and latencies are exported.
func TestMetrics(t *testing.T) {
	Convey("requests are counted and their latencies recorded by organisation and route", t, func() {
		h := newHarness(t, echo)
		So(h.send(http.MethodGet, "/repeat/", "").status, ShouldEqual, http.StatusOK)
		text := ""
		has := func(name string) bool {
			for line := range strings.SplitSeq(text, "\n") {
				if strings.HasPrefix(line, name) &&
					strings.Contains(line, `customer="org"`) && strings.Contains(line, `class="_repeat_"`) &&
					!strings.HasSuffix(line, " 0") {
					return true
				}
			}
			return false
		}
		// Metrics are reported once a second.
		for range 100 {
			w := httptest.NewRecorder()
			testMeter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if text = w.Body.String(); has("greengagewheel_request_time_count") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		So(has("greengagewheel_request_time_count"), ShouldBeTrue)
		So(has("greengagewheel_first_token_time_bucket"), ShouldBeTrue)
		So(has("greengagewheel_requests"), ShouldBeTrue)
	})
}
