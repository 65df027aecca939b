package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// uploadBytes is the size of a body that does not fit into the buffers between an instance and an endpoint that does not read.
	uploadBytes = defaultMaxBody
	// smallBuffer is the size of the receive buffer of such an endpoint, in bytes.
	smallBuffer = 4 << 10
)

// earlyAnswer handles a request whose head is read, and not its body. If it returns false, the connection is closed.
type earlyAnswer func(req *http.Request, c *net.TCPConn) bool

// newEarlyEndpoint starts an endpoint that keeps no bodies. It returns its address and the number of requests.
func newEarlyEndpoint(t *testing.T, answer earlyAnswer) (netip.AddrPort, *atomic.Int64) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					if !answer(req, c) {
						return
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &requests
}

// resetDuringUpload writes an answer without a length and resets the connection while the request's body is being written.
func resetDuringUpload(status int, header, body string) earlyAnswer {
	return func(req *http.Request, c *net.TCPConn) bool {
		_ = c.SetReadBuffer(smallBuffer)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: y\r\n%s\r\n%s", status, req.Header.Get("Id"), header, body)
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		return false
	}
}

// TestResetDuringUploadLooksComplete guards against an answer without a length that counts as complete although the connection was reset:
// the system reports the reset to the write of the request's body alone, and the read ends as after an orderly close.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	// Whether the write or the read gets the error is a matter of chance.
	const tries = 15
	upload := strings.Repeat("x", uploadBytes)
	cases := map[string]struct {
		target, header, body string
		status               int
	}{
		"a call":               {"/once/", "", "part of it", http.StatusOK},
		"a failure of a call":  {"/once/", "", "part of it", http.StatusInternalServerError},
		"a client error":       {"/once/", "", "part of it", http.StatusNotFound},
		"a large call":         {"/once/", "", strings.Repeat("part", maxBufferedResponseBytes/3), http.StatusOK},
		"a stream":             {"/stream/", "Content-Type: text/event-stream\r\n", eventRange(1, 3), http.StatusOK},
		"a failure of streams": {"/stream/", "", "part of it", http.StatusInternalServerError},
	}
	for name, c := range cases {
		answer := resetDuringUpload(c.status, c.header, c.body)
		// sendAll returns how many answers look complete.
		sendAll := func(h *harness) (complete int) {
			for range tries {
				if resp := h.send(http.MethodPost, c.target, upload); resp.complete && resp.status == c.status {
					complete++
				}
			}
			return complete
		}
		Convey("an answer that is "+name+" and is reset during the upload is not complete, and the request is not sent again", t, func() {
			h := newHarness(t, echo, echo)
			early, requests := newEarlyEndpoint(t, answer)
			h.chooser.endpoints[0].addr, h.chooser.endpoints[1].addr = early, early
			So(sendAll(h), ShouldEqual, 0)
			So(requests.Load(), ShouldEqual, tries)
			_, reused := h.proxy.Pools().ConnectionCounts()
			So(reused, ShouldEqual, 0)
		})
		Convey("the same, by way of another instance: "+name, t, func() {
			p := newPair(t, echo, echo)
			p.cut(linksRefused)
			early, requests := newEarlyEndpoint(t, answer)
			p.chooser.endpoints[0].addr, p.chooser.endpoints[1].addr = early, early
			So(sendAll(p.harness), ShouldEqual, 0)
			So(requests.Load(), ShouldEqual, tries)
		})
	}
	Convey("a request that may be repeated is answered by another endpoint", t, func() {
		h := newHarness(t, echo, echo)
		h.chooser.endpoints[0].addr, _ = newEarlyEndpoint(t, resetDuringUpload(http.StatusOK, "", "part of it"))
		h.chooser.endpoints[1].addr, _ = newEarlyEndpoint(t, func(req *http.Request, c *net.TCPConn) bool {
			size, _ := io.Copy(io.Discard, req.Body)
			writeResponse(c, receivedRequest{Request: req}, http.StatusOK, fmt.Sprint("all ", size))
			return true
		})
		for range tries {
			resp := h.send(http.MethodPost, "/repeat/", upload)
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, fmt.Sprint("all ", uploadBytes))
		}
	})
	Convey("a stream that may be resumed goes on at another endpoint", t, func() {
		h := newHarness(t, echo, echo)
		h.chooser.endpoints[0].addr, _ = newEarlyEndpoint(t,
			resetDuringUpload(http.StatusOK, "Content-Type: text/event-stream\r\n", eventRange(1, 3)))
		h.chooser.endpoints[1].addr, _ = newEarlyEndpoint(t, func(req *http.Request, c *net.TCPConn) bool {
			_, _ = io.Copy(io.Discard, req.Body)
			return streamUpTo(5, 0)(receivedRequest{Request: req}, c)
		})
		for range tries {
			resp := h.send(http.MethodPost, "/resume/", upload)
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 5))
		}
	})
}

// TestEarlyAnswerFails guards against sound answers that come before the request's body is read and count as broken.
func TestEarlyAnswerFails(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	const events = "Content-Type: text/event-stream\r\n"
	cases := map[string]struct{ target, header, framed, body string }{
		"a call with a length":      {"/once/", "Content-Length: 9\r\n", "all of it", "all of it"},
		"a call in chunks":          {"/once/", "Transfer-Encoding: chunked\r\n", "9\r\nall of it\r\n0\r\n\r\n", "all of it"},
		"a call without a length":   {"/once/", "", "all of it", "all of it"},
		"a stream with a length":    {"/stream/", events + fmt.Sprintf("Content-Length: %d\r\n", len(event(1))), event(1), event(1)},
		"a stream without a length": {"/stream/", events, eventRange(1, 3), eventRange(1, 3)},
	}
	for name, c := range cases {
		framedByConnection := c.header == "" || c.header == events
		answer := func(req *http.Request, conn *net.TCPConn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\n%s\r\n%s", req.Header.Get("Id"), c.header, c.framed)
			if framedByConnection {
				_ = conn.CloseWrite()
			}
			time.Sleep(5 * time.Millisecond)
			_, err := io.Copy(io.Discard, req.Body)
			return err == nil && !framedByConnection
		}
		check := func(h *harness) {
			early, requests := newEarlyEndpoint(t, answer)
			h.chooser.endpoints[0].addr = early
			for sent := 1; sent <= 5; sent++ {
				resp := h.send(http.MethodPost, c.target, upload)
				So(resp.status, ShouldEqual, http.StatusOK)
				So(resp.complete, ShouldBeTrue)
				So(resp.body, ShouldEqual, c.body)
				So(requests.Load(), ShouldEqual, sent)
			}
		}
		Convey("a sound answer to "+name+" that comes during the upload is passed on", t, func() {
			check(newHarness(t, echo))
		})
		Convey("the same, by way of another instance: "+name, t, func() {
			p := newPair(t, echo)
			p.cut(linksRefused)
			check(p.harness)
		})
	}
}
