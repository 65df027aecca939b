package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestBrokenRefusalIsTaken guards against a refusal that was cut, or whose body is not valid, and counts as one: a broken answer does not
// tell that the request has not run.
func TestBrokenRefusalIsTaken(t *testing.T) {
	refusal := func(rest string, reset bool) responder {
		return func(req receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n%s", req.Header.Get("Id"), rest)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		}
	}
	broken := map[string]responder{
		"is cut before its length":     refusal("Content-Length: 5\r\n\r\nfull", false),
		"is cut before its last chunk": refusal("Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", false),
		"has no valid chunks":          refusal("Transfer-Encoding: chunked\r\n\r\nfull\r\n", false),
		"has no valid trailer":         refusal("Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nBro ken: x\r\n\r\n", false),
		"is reset":                     refusal("\r\nfull", true),
	}
	for name, respond := range broken {
		Convey("after a refusal that "+name+", a request that may run once fails and is not sent again", t, func() {
			for _, target := range []string{"/once/", "/stream/"} {
				h := newHarness(t, respond, echo)
				So(h.send(http.MethodPost, target, "x").status, ShouldEqual, http.StatusBadGateway)
				So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
			}
		})
		Convey("the same, by way of another instance, after a refusal that "+name, t, func() {
			p := newPair(t, echo)
			p.cut(linksRefused)
			p.chooser.endpoints[0] = newFakeEndpoint(t, respond)
			So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(p.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
		})
		Convey("after a refusal that "+name+", another endpoint answers what may be repeated", t, func() {
			So(newHarness(t, respond, echo).send(http.MethodPost, "/repeat/", "x").body, ShouldEqual, "echo x")
			So(newHarness(t, respond, streamUpTo(3, 0)).send(http.MethodPost, "/resume/", "x").body, ShouldEqual, eventRange(1, 3))
		})
	}
	whole := map[string]responder{
		"has a length":             refusal("Content-Length: 4\r\n\r\nfull", false),
		"has chunks":               refusal("Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\nA: b\r\n\r\n", false),
		"ends with its connection": refusal("\r\nfull", false),
	}
	for name, respond := range whole {
		Convey("after a refusal that "+name+", a request is sent to another endpoint, or told not to have run", t, func() {
			So(newHarness(t, respond, echo).send(http.MethodPost, "/once/", "x").body, ShouldEqual, "echo x")
			So(newHarness(t, respond).send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		})
	}
}
