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
	// interim is what precedes the answer; closes is set if the connection is closed after it.
	interim string
	closes  bool
}

// respond writes the answer. In rest, %s stands for a sound answer with the body "forged".
func (b brokenHead) respond(req receivedRequest, c net.Conn) bool {
	own := "Id: " + req.Header.Get("Id") + "\r\nSigned: y\r\n"
	forged := "HTTP/1.1 200 X\r\n" + own + "Content-Length: 6\r\n\r\nforged"
	_, _ = fmt.Fprintf(c, "%sHTTP/1.1 %s X\r\n%s%s\r\n%s", b.interim, b.status, own, b.lines, strings.ReplaceAll(b.rest, "%s", forged))
	return !b.closes
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

// invalidLines are lines that have no valid field name.
var invalidLines = map[string]string{
	"a blank before the colon": "Broken : x",
	"a blank in a name":        "Bro ken: x",
	"a tab before the colon":   "Broken\t: x",
	"a tab in a name":          "Bro\tken: x",
	"a NUL in a name":          "Bro\x00ken: x",
	"a CR in a name":           "Bro\rken: x",
	"a DEL in a name":          "Bro\x7fken: x",
	"an empty name":            ": x",
	"no colon":                 "broken",
}

// TestInvalidFieldNameIsPassedOn guards against answers with a head in which the name of a field is not valid, and which are passed on
// without that field, or with a body that is framed in another way than the endpoint meant.
func TestInvalidFieldNameIsPassedOn(t *testing.T) {
	const chunked = "4\r\nbody\r\n0\r\n\r\n"
	for name, line := range invalidLines {
		checkBrokenHead(t, name, brokenHead{status: "200", lines: line + "\r\nContent-Length: 4\r\n", rest: "body"})
		checkBrokenHead(t, name+" in a refusal", brokenHead{status: "503", lines: "Not-Run: 1\r\nContent-Length: 0\r\n" + line + "\r\n"})
		checkBrokenHead(t, name+" in an informational answer",
			brokenHead{interim: "HTTP/1.1 103 X\r\n" + line + "\r\n\r\n", status: "200", lines: "Content-Length: 4\r\n", rest: "body"})
	}
	for name, line := range map[string]string{"a blank before a name": " Broken: x", "a tab before a name": "\tBroken: x"} {
		checkBrokenHead(t, name, brokenHead{status: "200", lines: "Content-Length: 4\r\n" + line + "\r\n", rest: "body"})
	}
	for name, line := range map[string]string{
		"a blank behind the name of its framing":  "Transfer-Encoding : chunked",
		"a blank before the name of its framing":  " Transfer-Encoding: chunked",
		"two blanks behind its name of a framing": "Transfer-Encoding  : chunked",
	} {
		checkBrokenHead(t, name, brokenHead{status: "200", lines: "Content-Type: text/event-stream\r\n" + line + "\r\n", rest: chunked, closes: true})
	}
	Convey("valid names of all kinds are passed on", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, "body", "x!#$%&'*+-.^_`|~9", "1", "Empty", "", "Blanks", " \t a b\t ")
			return true
		})
		for sent := range 3 {
			resp := h.send(http.MethodPost, "/once/", "x")
			So(resp.body, ShouldEqual, "body")
			So(resp.header.Get("x!#$%&'*+-.^_`|~9"), ShouldEqual, "1")
			So(resp.header.Get("Blanks"), ShouldEqual, "a b")
			_, reused := h.proxy.Pools().ConnectionCounts()
			So(reused, ShouldEqual, sent)
		}
	})
}

// TestInvalidTrailerIsPassedOver guards against answers whose trailer is not valid and which count as complete.
func TestInvalidTrailerIsPassedOver(t *testing.T) {
	withTrailer := func(trailer string) responder {
		return func(req receivedRequest, c net.Conn) bool {
			header, body := "", "body"
			if strings.HasPrefix(req.URL.Path, "/stream") || strings.HasPrefix(req.URL.Path, "/resume") {
				header, body = "Content-Type: text/event-stream\r\n", eventRange(1, 3)
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n",
				req.Header.Get("Id"), header, len(body), body, trailer)
			return true
		}
	}
	for name, line := range invalidLines {
		respond := withTrailer(line + "\r\n")
		Convey("a call whose trailer has "+name+" fails and is not sent again, and its connection is not used again", t, func() {
			h := newHarness(t, respond, echo)
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
			h = newHarness(t, respond)
			for range 3 {
				So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			}
			_, reused := h.proxy.Pools().ConnectionCounts()
			So(reused, ShouldEqual, 0)
		})
		Convey("the same, by way of another instance: "+name, t, func() {
			p := newPair(t, echo)
			p.cut(linksRefused)
			p.chooser.endpoints[0] = newFakeEndpoint(t, respond)
			So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(p.chooser.endpoints[0].requests(), ShouldHaveLength, 1)
		})
		Convey("a stream whose trailer has "+name+" is not complete, unless another endpoint ends it", t, func() {
			resp := newHarness(t, respond).send(http.MethodPost, "/stream/", "x")
			So(resp.body, ShouldEqual, eventRange(1, 3))
			So(resp.complete, ShouldBeFalse)
			resp = newHarness(t, respond, streamUpTo(3, 0)).send(http.MethodPost, "/resume/", "x")
			So(resp.body, ShouldEqual, eventRange(1, 3))
			So(resp.complete, ShouldBeTrue)
		})
	}
	Convey("an answer with a valid trailer is passed on, and its connection is used again", t, func() {
		h := newHarness(t, withTrailer("Checksum: 1\r\n"))
		for sent := range 3 {
			So(h.send(http.MethodPost, "/once/", "x").body, ShouldEqual, "body")
			_, reused := h.proxy.Pools().ConnectionCounts()
			So(reused, ShouldEqual, sent)
		}
	})
}
