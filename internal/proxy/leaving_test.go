package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// TestLeavingEndpointGetsRequests guards against new work for an endpoint that has said in a response that it leaves.
func TestLeavingEndpointGetsRequests(t *testing.T) {
	echoLeaving := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusOK, "echo "+req.body, "Leaving", "1")
		return true
	}
	declineLeaving := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusServiceUnavailable, "", "Leaving", "1", "Not-Run", "1")
		return true
	}
	// streamLeaving streams events up to last, or up to a part of breakAt.
	streamLeaving := func(last, breakAt int) responder {
		return func(req receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", req.Header.Get("Id"))
			if breakAt > 0 {
				writeChunk(c, eventRange(1, breakAt-1)+event(breakAt)[:7])
				return false
			}
			writeChunk(c, eventRange(1, last))
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
	}
	const requests = 10
	for name, respond := range map[string]responder{"an answer": echoLeaving, "a refusal": declineLeaving} {
		Convey("after "+name+" that says so, no request reaches the endpoint", t, func() {
			h := newHarness(t, respond, echo)
			for range requests {
				So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			}
			So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
		})
	}
	Convey("a stream in progress goes on, and no other is sent there", t, func() {
		h := newHarness(t, streamLeaving(20, 0), streamUpTo(20, 0))
		for range requests {
			resp := h.send(http.MethodPost, "/stream/", "x")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 20))
		}
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
	Convey("a broken stream is not resumed there, though no other endpoint is left", t, func() {
		h := newHarness(t, streamLeaving(20, 11))
		So(h.send(http.MethodPost, "/resume/", "x").complete, ShouldBeFalse)
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
	Convey("a late response to an earlier request says so too", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			late := receivedRequest{Request: &http.Request{Header: http.Header{"Id": {"earlier"}}}}
			writeResponse(c, late, http.StatusOK, "late", "Leaving", "1")
			return echo(req, c)
		}, echo)
		for range requests {
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
	Convey("a later start of the endpoint gets requests", t, func() {
		h := newHarness(t, echoLeaving, echo)
		h.send(http.MethodPost, "/once/", "x")
		h.view.Endpoints["e0"] = roster.Endpoint{ID: "e0", StartedAtMS: 1}
		h.send(http.MethodPost, "/once/", "x")
		h.send(http.MethodPost, "/once/", "x")
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 2)
	})
	Convey("another endpoint at its address says nothing of it", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			if req.index == 0 {
				writeResponse(c, req, http.StatusMisdirectedRequest, "", "Leaving", "1")
				return true
			}
			return echo(req, c)
		}, echo)
		for range requests {
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
		So(len(h.chooser.endpoints[0].requests()), ShouldBeGreaterThan, 1)
	})
	Convey("if all endpoints leave, callers are told that nothing ran and when to come back", t, func() {
		h := newHarness(t, echoLeaving)
		So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		resp := h.send(http.MethodPost, "/once/", "x", "Deadline", "3000")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
	})
}
