package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// streamThenClose streams text without a length or chunks and closes the connection.
func streamThenClose(text string) responder {
	return func(req receivedRequest, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: s%s\r\nContent-Type: text/event-stream\r\n\r\n%s",
			req.Header.Get("Id"), req.Header.Get("Endpoint"), text)
		return false
	}
}

// newResetHarness returns a harness whose first endpoint streams text without a length or chunks and resets the connection once the
// text has arrived.
func newResetHarness(t *testing.T, text string, others ...responder) *harness {
	var h *harness
	reset := func(req receivedRequest, c net.Conn) bool {
		streamThenClose(text)(req, c)
		<-h.chooser.firstAnswers
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	h = newHarness(t, append([]responder{reset}, others...)...)
	return h
}

// TestCutStreamLooksComplete guards against a stream that ends inside an event and reaches its caller framed as complete.
func TestCutStreamLooksComplete(t *testing.T) {
	whole, cut := eventRange(1, 20), eventRange(1, 10)+event(11)[:7]
	Convey("a whole stream that ends with its connection is complete", t, func() {
		resp := newHarness(t, streamThenClose(whole)).send(http.MethodPost, "/stream/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, whole)
	})
	Convey("a stream whose connection ends inside an event is broken off after its last whole event", t, func() {
		h := newHarness(t, streamThenClose(cut), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/stream/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 10))
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	Convey("a resumable stream whose connection ends inside an event continues on another endpoint", t, func() {
		h := newHarness(t, streamThenClose(cut), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, whole)
		So(h.chooser.endpoints[1].requests()[0].Header.Get("After"), ShouldEqual, "10")
	})
	Convey("a resumed stream whose connection ends inside an event is broken off", t, func() {
		h := newHarness(t, streamUpTo(20, 6), func(req receivedRequest, c net.Conn) bool {
			return streamThenClose(eventRange(6, 10)+event(11)[:7])(req, c)
		})
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 10))
	})
	Convey("a stream whose connection ends before its first event is whole gets an error response", t, func() {
		for _, text := range []string{"", event(1)[:1], event(1)[:len(event(1))-1]} {
			So(newHarness(t, streamThenClose(text)).send(http.MethodPost, "/stream/", "x").status, ShouldEqual, http.StatusBadGateway)
		}
	})
	Convey("a stream that ends inside an event is broken off, though its length or its chunks are complete", t, func() {
		withLength := func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, cut, "Content-Type", "text/event-stream")
			return true
		}
		withChunks := func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			writeChunk(c, cut)
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		for _, respond := range []responder{withLength, withChunks} {
			resp := newHarness(t, respond).send(http.MethodPost, "/stream/", "x")
			So(resp.complete, ShouldBeFalse)
			So(resp.body, ShouldEqual, eventRange(1, 10))
		}
	})
	Convey("wherever an event is cut, the stream is broken off before it", t, func() {
		last := "id: 11\ndata: pi\u00e8ce\n: note\ndata: more\n\n"
		for end := 1; end < len(last); end++ {
			resp := newHarness(t, streamThenClose(eventRange(1, 10)+last[:end])).send(http.MethodPost, "/stream/", "x")
			So(strconv.Itoa(end)+" "+resp.body, ShouldEqual, strconv.Itoa(end)+" "+eventRange(1, 10))
			So(resp.complete, ShouldBeFalse)
		}
	})
	Convey("a stream whose connection ends inside CRLF endings or a comment is broken off", t, func() {
		crlf := strings.ReplaceAll(whole, "\n", "\r\n")
		for _, text := range []string{crlf[:len(crlf)-1], crlf[:len(crlf)-2], whole + ": no"} {
			resp := newHarness(t, streamThenClose(text)).send(http.MethodPost, "/stream/", "x")
			So(resp.complete, ShouldBeFalse)
		}
		for _, text := range []string{crlf, whole + ": note\n", whole + ": note\n\n", whole + "\n"} {
			resp := newHarness(t, streamThenClose(text)).send(http.MethodPost, "/stream/", "x")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, text)
		}
	})
	Convey("a stream whose connection is reset between two events is broken off or resumed", t, func() {
		resp := newResetHarness(t, eventRange(1, 10)).send(http.MethodPost, "/stream/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 10))
		h := newResetHarness(t, eventRange(1, 10), streamUpTo(20, 0))
		resp = h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, whole)
		So(h.chooser.endpoints[1].requests()[0].Header.Get("After"), ShouldEqual, "10")
	})
	Convey("a JSON answer on a route of streams is forwarded", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, `{"text":"all"}`, "Content-Type", "application/json; charset=utf-8")
			return true
		})
		resp := h.send(http.MethodPost, "/stream/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, `{"text":"all"}`)
	})
}
