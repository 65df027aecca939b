package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// brokenHead is an answer whose head is not sound. Lines are the fields that follow those of a signed answer to the request.
type brokenHead struct {
	status, lines, rest string
}

// respond writes the answer and keeps the connection open. In rest, %s stands for a sound answer with the body "forged".
func (b brokenHead) respond(req receivedRequest, c net.Conn) bool {
	own := "Id: " + req.Header.Get("Id") + "\r\nSigned: y\r\n"
	forged := "HTTP/1.1 200 X\r\n" + own + "Content-Length: 6\r\n\r\nforged"
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\n%s%s\r\n%s", b.status, own, b.lines, strings.ReplaceAll(b.rest, "%s", forged))
	return true
}

// checkBrokenHead checks what callers get for an answer with a broken head.
func checkBrokenHead(t *testing.T, name string, head brokenHead) {
	isBroken := func(h *harness, target string) {
		requests := len(h.chooser.endpoints[0].requests())
		began := time.Now()
		resp := h.send(http.MethodPost, target, "x", "Deadline", "3000")
		So(resp.status, ShouldEqual, http.StatusBadGateway)
		So(resp.body, ShouldNotContainSubstring, "forged")
		So(time.Since(began), ShouldBeLessThan, time.Second)
		So(h.chooser.endpoints[0].requests(), ShouldHaveLength, requests+1)
	}
	Convey("an answer with "+name+" is broken: requests that may run once fail and are not sent again", t, func() {
		for _, target := range []string{"/once/", "/stream/"} {
			h := newHarness(t, head.respond, echo)
			isBroken(h, target)
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		}
	})
	Convey("a connection with "+name+" is not used again", t, func() {
		h := newHarness(t, head.respond)
		for range 3 {
			isBroken(h, "/once/")
		}
		_, reused := h.proxy.Pools().ConnectionCounts()
		So(reused, ShouldEqual, 0)
	})
	Convey("the same, by way of another instance: "+name, t, func() {
		p := newPair(t, echo)
		p.cut(linksRefused)
		broken := newFakeEndpoint(t, head.respond)
		p.chooser.endpoints[0] = broken
		for range 3 {
			isBroken(p.harness, "/once/")
		}
		_, reused := p.other.Pools().ConnectionCounts()
		So(reused, ShouldBeLessThanOrEqualTo, 1)
	})
	Convey("after an answer with "+name+", other endpoints answer what may be repeated", t, func() {
		resp := newHarness(t, head.respond, echo).send(http.MethodPost, "/repeat/", "x", "Deadline", "3000")
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, "echo x")
		resp = newHarness(t, head.respond, streamUpTo(3, 0)).send(http.MethodPost, "/resume/", "x", "Deadline", "3000")
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, eventRange(1, 3))
	})
}

// TestInvalidStatusIsAnAnswer guards against answers whose status is that of no final response and which are passed over, so that what
// follows is taken for the answer.
func TestInvalidStatusIsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101"} {
		checkBrokenHead(t, "status "+status, brokenHead{status: status, lines: "Content-Length: 4\r\n", rest: "body%s"})
		checkBrokenHead(t, "status "+status+" and an answer behind it", brokenHead{status: status, rest: "%s"})
		checkBrokenHead(t, "status "+status+" and no body", brokenHead{status: status, lines: "Content-Length: 0\r\n"})
		checkBrokenHead(t, "status "+status+" that says that nothing has run",
			brokenHead{status: status, lines: "Not-Run: 1\r\nContent-Length: 0\r\n", rest: "%s"})
	}
	Convey("informational answers before the answer are passed over", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
			return echo(req, c)
		})
		for sent := range 3 {
			So(h.send(http.MethodPost, "/once/", "x").body, ShouldEqual, "echo x")
			_, reused := h.proxy.Pools().ConnectionCounts()
			So(reused, ShouldEqual, sent)
		}
	})
}
