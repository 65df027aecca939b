package router

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCloseIdle guards against requests that get no response because an instance that stops closes a connection on which it has
// just read a request.
func TestCloseIdle(t *testing.T) {
	Convey("closeIdle closes idle connections, and each request that was read gets its response", t, func() {
		conns := newIdleConns()
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(50 * time.Millisecond)
		}), ConnState: conns.track, ReadHeaderTimeout: time.Second}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = srv.Serve(l) }()
		defer func() { _ = srv.Close() }()
		dial := func() (net.Conn, *bufio.Reader) {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			return c, bufio.NewReader(c)
		}
		send := func(c net.Conn) {
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			So(err, ShouldBeNil)
		}
		expectOK := func(r *bufio.Reader) {
			resp, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		}
		idleConn, idleReader := dial()
		send(idleConn)
		expectOK(idleReader)
		busyConn, busyReader := dial()
		send(busyConn)
		freshConn, freshReader := dial()
		time.Sleep(20 * time.Millisecond)
		So(l.Close(), ShouldBeNil)
		So(conns.closeIdle(time.Now()), ShouldBeNil)
		_, err = idleReader.ReadByte()
		So(err, ShouldNotBeNil)
		expectOK(busyReader)
		send(freshConn)
		expectOK(freshReader)
		for _, c := range []net.Conn{idleConn, busyConn, freshConn} {
			So(c.Close(), ShouldBeNil)
		}
	})
}
