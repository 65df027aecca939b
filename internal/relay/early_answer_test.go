package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// uploadBytes is the size of a body that does not fit into the buffers between an instance and an endpoint that does not read.
const uploadBytes = 8 << 20

// calls are the ways in which a call is sent.
var calls = map[string]func(r *Relay, to netip.AddrPort, body []byte) (Reply, error){
	"once": func(r *Relay, to netip.AddrPort, body []byte) (Reply, error) {
		return r.CallOnce(context.Background(), to, Call{Method: http.MethodPost, Path: "/", Key: "k", Body: body})
	},
	"repeatable": func(r *Relay, to netip.AddrPort, body []byte) (Reply, error) {
		return r.CallRepeatable(context.Background(), to, Call{Method: http.MethodPost, Path: "/", Body: body})
	},
}

// rawEndpoint starts an endpoint that has handle handle each request once its head is read; r is the body. The connection is closed if it
// returns false. It returns the address and the numbers of requests and connections.
func rawEndpoint(t *testing.T, handle func(c *net.TCPConn, r io.Reader) bool) (to netip.AddrPort, requests, connections *atomic.Int64) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests, connections = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetReadBuffer(4 << 10)
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					requests.Add(1)
					if !handle(c, req.Body) {
						return
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), requests, connections
}

// TestResetDuringUploadLooksComplete guards against a reply without a length that counts as complete although the connection was reset: the
// system reports the reset to the write of the request's body alone, and the read ends as after an orderly close.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	// Whether the write or the read gets the error is a matter of chance.
	const tries = 15
	upload := bytes.Repeat([]byte("x"), uploadBytes)
	Convey("A generation takes no refusal that is reset during the upload", t, func() {
		to, _, _ := rawEndpoint(t, func(c *net.TCPConn, _ io.Reader) bool {
			_, _ = fmt.Fprint(c, "HTTP/1.1 400 X\r\nContent-Type: text/plain\r\n\r\npart of it")
			time.Sleep(5 * time.Millisecond)
			_ = c.SetLinger(0)
			return false
		})
		refused := 0
		for range tries {
			stream := Stream{ID: "c:1", Path: "/", Body: upload, FirstTokenTimeout: 5 * time.Second, TokenGapTimeout: 5 * time.Second}
			err := New().Fetch(context.Background(), to, stream, 0, func(Event) error { return nil })
			So(err, ShouldNotBeNil)
			if errors.As(err, new(*Refusal)) {
				refused++
			}
		}
		So(refused, ShouldEqual, 0)
	})
	for name, call := range calls {
		Convey("A "+name+" call whose reply is reset during the upload has none", t, func() {
			to, requests, _ := rawEndpoint(t, func(c *net.TCPConn, _ io.Reader) bool {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n\r\npart of it")
				time.Sleep(5 * time.Millisecond)
				_ = c.SetLinger(0)
				return false
			})
			complete := 0
			for range tries {
				_, err := call(New(), to, upload)
				if err == nil {
					complete++
					continue
				}
				So(errors.Is(err, ErrBroken), ShouldBeTrue)
				So(errors.Is(err, ErrUnsent), ShouldBeFalse)
			}
			So(complete, ShouldEqual, 0)
			So(requests.Load(), ShouldEqual, tries)
		})
		Convey("A "+name+" call gets a sound reply that comes during the upload", t, func() {
			replies := map[string]string{
				"length":     "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nall of it",
				"chunks":     "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nall of it\r\n0\r\n\r\n",
				"connection": "HTTP/1.1 200 X\r\nConnection: close\r\n\r\nall of it",
			}
			for framing, reply := range replies {
				to, requests, _ := rawEndpoint(t, func(c *net.TCPConn, r io.Reader) bool {
					_, _ = fmt.Fprint(c, reply)
					if framing == "connection" {
						_ = c.CloseWrite()
					}
					time.Sleep(5 * time.Millisecond)
					_, _ = io.Copy(io.Discard, r)
					return framing != "connection"
				})
				got, err := call(New(), to, upload)
				So(err, ShouldBeNil)
				So(string(got.Body), ShouldEqual, "all of it")
				So(requests.Load(), ShouldEqual, 1)
			}
		})
	}
}
