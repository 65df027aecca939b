package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func mustAddr(s string) netip.AddrPort {
	return netip.MustParseAddrPort(s)
}

// event returns one event of a simulated stream.
func event(i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
}

func eventRange(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// writeStreamHeader begins a chunked stream.
func writeStreamHeader(c net.Conn, req receivedRequest) {
	_, _ = fmt.Fprintf(c,
		"HTTP/1.1 200 X\r\nId: %s\r\nSigned: s%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		req.Header.Get("Id"), req.Header.Get("Endpoint"))
}

func writeChunk(c net.Conn, text string) {
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// streamUpTo streams events up to last, starting where the request resumes. If breakAt is not 0, the connection breaks
// at that event after a part of it.
func streamUpTo(last, breakAt int) responder {
	return func(req receivedRequest, c net.Conn) bool {
		from := 1
		if after, err := strconv.Atoi(req.Header.Get("After")); err == nil {
			from = after + 1
		}
		writeStreamHeader(c, req)
		for i := from; i <= last; i++ {
			if i == breakAt {
				writeChunk(c, event(i)[:7])
				return false
			}
			writeChunk(c, event(i))
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

// TestStream guards against streams that lose, repeat or reorder events when an endpoint breaks off, and against broken streams
// that look complete to the caller.
func TestStream(t *testing.T) {
	Convey("a stream is forwarded completely, however it is split into chunks", t, func() {
		text := eventRange(1, 30)
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			for i := 0; i < len(text); i += 7 {
				writeChunk(c, text[i:min(i+7, len(text))])
			}
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		})
		resp := h.send(http.MethodPost, "/stream/", "x")
		So(resp.status, ShouldEqual, http.StatusOK)
		So(resp.body, ShouldEqual, text)
		So(resp.complete, ShouldBeTrue)
	})
	Convey("a broken stream does not look complete and contains no partial event", t, func() {
		h := newHarness(t, streamUpTo(20, 11), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/stream/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 10))
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	Convey("a resumable stream continues on another endpoint after its last complete event", t, func() {
		h := newHarness(t, streamUpTo(20, 11), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(resp.header.Get("Signed"), ShouldEqual, "se0")
		So(h.chooser.endpoints[1].requests()[0].Header.Get("After"), ShouldEqual, "10")
	})
	Convey("a stream is sent to no more endpoints than the route allows", t, func() {
		h := newHarness(t, streamUpTo(20, 5), streamUpTo(20, 9), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 8))
		So(h.chooser.endpoints[2].requests(), ShouldBeEmpty)
	})
	Convey("events that the caller already has are dropped, and missing events end the stream", t, func() {
		from := func(first int) responder {
			return func(req receivedRequest, c net.Conn) bool {
				writeStreamHeader(c, req)
				writeChunk(c, eventRange(first, 20))
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return true
			}
		}
		resp := newHarness(t, streamUpTo(20, 11), from(7)).send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		resp = newHarness(t, streamUpTo(20, 11), from(13)).send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 10))
	})
	Convey("a stream that breaks before its first event gets an error response or restarts on another endpoint", t, func() {
		breaksEarly := func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			return false
		}
		So(newHarness(t, breaksEarly).send(http.MethodPost, "/stream/", "x").status, ShouldEqual, http.StatusBadGateway)
		resp := newHarness(t, breaksEarly, streamUpTo(20, 0)).send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
	})
}
