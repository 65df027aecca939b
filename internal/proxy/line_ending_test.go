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

// TestStreamWithOtherLineEndings guards against streams with CRLF or CR endings that are withheld up to their end.
func TestStreamWithOtherLineEndings(t *testing.T) {
	const patience = 2 * time.Second
	for name, ending := range map[string]string{"CRLF": "\r\n", "CR": "\r"} {
		withEndings := func(text string) string { return strings.ReplaceAll(text, "\n", ending) }
		Convey("an event with "+name+" endings is forwarded before the next one", t, func() {
			gotFirst := make(chan struct{})
			arrivedInTime := make(chan bool, 1)
			h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
				writeStreamHeader(c, req)
				writeChunk(c, withEndings(event(1)))
				select {
				case <-gotFirst:
					arrivedInTime <- true
				case <-time.After(patience):
					arrivedInTime <- false
				}
				writeChunk(c, withEndings(event(2)))
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return true
			})
			resp, err := http.DefaultTransport.RoundTrip(h.newRequest(http.MethodPost, "/stream/", "x"))
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			_, err = resp.Body.Read(make([]byte, 1))
			So(err, ShouldBeNil)
			close(gotFirst)
			So(<-arrivedInTime, ShouldBeTrue)
		})
		Convey("a resumable stream with "+name+" endings continues after its last whole event", t, func() {
			broken := func(req receivedRequest, c net.Conn) bool {
				writeStreamHeader(c, req)
				writeChunk(c, withEndings(eventRange(1, 10)+event(11)[:7]))
				return false
			}
			rest := func(req receivedRequest, c net.Conn) bool {
				writeStreamHeader(c, req)
				writeChunk(c, withEndings(eventRange(9, 20)))
				_, _ = fmt.Fprint(c, "0\r\n\r\n")
				return true
			}
			h := newHarness(t, broken, rest)
			resp := h.send(http.MethodPost, "/resume/", "x")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, withEndings(eventRange(1, 20)))
			So(h.chooser.endpoints[1].requests()[0].Header.Get("After"), ShouldEqual, "10")
		})
	}
}
