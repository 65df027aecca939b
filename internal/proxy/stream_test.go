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

// event is one event of a played stream.
func event(i int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
}

func all(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

// streamed begins a stream in chunks.
func streamed(c net.Conn, q got) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: s%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		q.Header.Get("Id"), q.Header.Get("Endpoint"))
}

func chunk(c net.Conn, text string) {
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

// upTo streams the events from where the request goes on to one, with a piece of the next behind them, and breaks off there
// unless that is the last.
func upTo(last, breakAt int) script {
	return func(q got, c net.Conn) bool {
		from := 1
		if after, err := strconv.Atoi(q.Header.Get("After")); err == nil {
			from = after + 1
		}
		streamed(c, q)
		for i := from; i <= last; i++ {
			if i == breakAt {
				chunk(c, event(i)[:7])
				return false
			}
			chunk(c, event(i))
		}
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
}

func TestStream(t *testing.T) {
	Convey("a stream passes whole, however its bytes come", t, func() {
		text := all(1, 30)
		b := newBench(t, func(q got, c net.Conn) bool {
			streamed(c, q)
			for i := 0; i < len(text); i += 7 {
				chunk(c, text[i:min(i+7, len(text))])
			}
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		})
		s := b.ask(http.MethodPost, "/stream/", "x")
		So(s.status, ShouldEqual, http.StatusOK)
		So(s.body, ShouldEqual, text)
		So(s.whole, ShouldBeTrue)
	})
	Convey("a stream that breaks off does not look complete, and has no part of an event", t, func() {
		b := newBench(t, upTo(20, 11), upTo(20, 0))
		s := b.ask(http.MethodPost, "/stream/", "x")
		So(s.whole, ShouldBeFalse)
		So(s.body, ShouldEqual, all(1, 10))
		So(b.pick.all[1].all(), ShouldBeEmpty)
	})
	Convey("where the route allows it, a stream goes on at another endpoint behind its last whole event", t, func() {
		b := newBench(t, upTo(20, 11), upTo(20, 0))
		s := b.ask(http.MethodPost, "/resume/", "x")
		So(s.whole, ShouldBeTrue)
		So(s.body, ShouldEqual, all(1, 20))
		So(s.header.Get("Signed"), ShouldEqual, "se0")
		So(b.pick.all[1].all()[0].Header.Get("After"), ShouldEqual, "10")
	})
	Convey("it goes to no more endpoints than the route allows", t, func() {
		b := newBench(t, upTo(20, 5), upTo(20, 9), upTo(20, 0))
		s := b.ask(http.MethodPost, "/resume/", "x")
		So(s.whole, ShouldBeFalse)
		So(s.body, ShouldEqual, all(1, 8))
		So(b.pick.all[2].all(), ShouldBeEmpty)
	})
	Convey("events that the caller has are dropped, and a gap ends the stream", t, func() {
		from := func(first int) script {
			return func(q got, c net.Conn) bool {
				streamed(c, q)
				chunk(c, all(first, 20))
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return true
			}
		}
		s := newBench(t, upTo(20, 11), from(7)).ask(http.MethodPost, "/resume/", "x")
		So(s.whole, ShouldBeTrue)
		So(s.body, ShouldEqual, all(1, 20))
		s = newBench(t, upTo(20, 11), from(13)).ask(http.MethodPost, "/resume/", "x")
		So(s.whole, ShouldBeFalse)
		So(s.body, ShouldEqual, all(1, 10))
	})
	Convey("a stream that breaks before its first event is answered with a failure, or begins anew elsewhere", t, func() {
		early := func(q got, c net.Conn) bool {
			streamed(c, q)
			return false
		}
		So(newBench(t, early).ask(http.MethodPost, "/stream/", "x").status, ShouldEqual, http.StatusBadGateway)
		s := newBench(t, early, upTo(20, 0)).ask(http.MethodPost, "/resume/", "x")
		So(s.whole, ShouldBeTrue)
		So(s.body, ShouldEqual, all(1, 20))
	})
}
