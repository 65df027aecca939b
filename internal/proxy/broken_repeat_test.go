package proxy

import (
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBrokenAnswerIsToldNotRun guards against a request that an endpoint may have run, as its answer is broken, and whose caller is told
// that it has not run, as other endpoints refuse it.
func TestBrokenAnswerIsToldNotRun(t *testing.T) {
	breaks := brokenHead{status: "200", lines: "Bro ken: x\r\nContent-Length: 4\r\n", rest: "body"}.respond
	refuses := func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusServiceUnavailable, "", "Not-Run", "1")
		return true
	}
	for _, target := range []string{"/repeat/", "/resume/"} {
		Convey("a request to "+target+" gets 502 if one endpoint breaks its answer, and others refuse or are not reached", t, func() {
			h := newHarness(t, breaks, refuses, refuses, refuses)
			So(h.send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusBadGateway)
			h = newHarness(t, breaks, refuses, refuses, refuses)
			h.chooser.endpoints[3].addr = closedAddr(t)
			So(h.send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusBadGateway)
		})
		Convey("a request to "+target+" gets 503 if all endpoints refuse it", t, func() {
			So(newHarness(t, refuses, refuses).send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	}
}
