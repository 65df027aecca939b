package engctl

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAnswerToEarlierOrderIsTaken guards against a late answer to one order being taken for that to the next.
func TestAnswerToEarlierOrderIsTaken(t *testing.T) {
	Convey("each order goes over a connection of its own", t, func() {
		var conns atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		e, to := New(Options{}), netip.MustParseAddrPort(server.Listener.Addr().String())
		const orders = 5
		for range orders {
			_, err := e.request(context.Background(), http.MethodPost, to, nil)
			So(err, ShouldBeNil)
		}
		So(conns.Load(), ShouldEqual, orders)
	})
}

// TestCutAnswerIsTaken guards against an engine's answer that was cut, or has a head or a trailer that is not valid, and counts as its
// state.
func TestCutAnswerIsTaken(t *testing.T) {
	request := func(text string) error {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}))
		defer server.Close()
		_, err := New(Options{}).request(context.Background(), http.MethodPost, netip.MustParseAddrPort(server.Listener.Addr().String()), nil)
		return err
	}
	for name, text := range map[string]string{
		"before its length":         "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}",
		"before its last chunk":     "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
		"inside its trailer":        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nA: b",
		"by bytes behind its state": "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n{}{",
	} {
		Convey("an answer that was cut "+name+" tells no state", t, func() { So(request(text), ShouldNotBeNil) })
	}
	for name, text := range map[string]string{
		"a status":         "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
		"a name of fields": "HTTP/1.1 200 X\r\nContent-Length: 2\r\nBro ken: x\r\n\r\n{}",
		"a trailer":        "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nBro ken: x\r\n\r\n",
	} {
		Convey("an answer with "+name+" that is not valid tells no state", t, func() { So(request(text), ShouldNotBeNil) })
	}
	Convey("a whole answer tells it, whatever its framing", t, func() {
		for _, rest := range []string{"Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", "\r\n{}"} {
			So(request("HTTP/1.1 200 X\r\n"+rest), ShouldBeNil)
		}
	})
}
