package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/entry"
)

// TestSilentConnectionsCloseOthers guards against connections that are closed although they have sent a request, and against silent ones
// that stay open in any number.
func TestSilentConnectionsCloseOthers(t *testing.T) {
	Convey("of three silent connections the oldest is closed, and the others and one with a request are served", t, func() {
		conns := newIdleConns()
		conns.maxNew = 2
		srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: conns.track, ReadHeaderTimeout: time.Minute}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = srv.Serve(entry.Listener(l)) }()
		defer func() { _ = srv.Close() }()
		dial := func() net.Conn {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			So(c.SetDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			return c
		}
		request := func(c net.Conn) {
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			So(err, ShouldBeNil)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		}
		served := dial()
		request(served)
		silent := []net.Conn{dial(), dial(), dial()}
		_, err = silent[0].Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(conns.closedNew(), ShouldEqual, 1)
		for _, c := range []net.Conn{silent[1], silent[2], served} {
			request(c)
			So(c.Close(), ShouldBeNil)
		}
	})
	Convey("a connection that was given up as its header became complete gets its response, with another deadline in between", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := entry.Listener(l)
		defer func() { So(listener.Close(), ShouldBeNil) }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		c, err := listener.Accept()
		So(err, ShouldBeNil)
		_, err = fmt.Fprint(caller, "x")
		So(err, ShouldBeNil)
		So(c.(revocable).GiveUp(), ShouldBeNil)
		So(c.SetReadDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
		_, err = c.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		So(c.(revocable).Keep(), ShouldBeNil)
		_, err = c.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		_, err = fmt.Fprint(c, "y")
		So(err, ShouldBeNil)
		So(c.Close(), ShouldBeNil)
		got := make([]byte, 1)
		_, err = caller.Read(got)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "y")
		So(caller.Close(), ShouldBeNil)
	})
	Convey("a response that is broken off on such a connection still ends with a reset", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener := entry.Listener(l)
		defer func() { So(listener.Close(), ShouldBeNil) }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		c, err := listener.Accept()
		So(err, ShouldBeNil)
		So(c.(revocable).GiveUp(), ShouldBeNil)
		So(c.(revocable).Keep(), ShouldBeNil)
		So(c.(interface{ SetLinger(int) error }).SetLinger(0), ShouldBeNil)
		_, err = fmt.Fprint(c, "part")
		So(err, ShouldBeNil)
		So(c.Close(), ShouldBeNil)
		_, err = io.ReadAll(caller)
		So(err, ShouldNotBeNil)
		So(caller.Close(), ShouldBeNil)
	})
}
