package conns

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// listen returns the address of a listener that accepts connections and leaves them alone, and its next connection.
func listen(t *testing.T) (string, <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return l.Addr().String(), accepted
}

// TestDeadPeerIsGivenUp guards against a library that sets socket options by itself, with which connections are given up sooner or later
// than docs/design/connections.md tells.
func TestDeadPeerIsGivenUp(t *testing.T) {
	Convey("connections to instances, and to endpoints behind contracts, are given up by the count of probes", t, func() {
		addr, _ := listen(t)
		for _, pool := range []*Pool{New(netip.Addr{}, nil), NewHTTP2(netip.Addr{}, nil), NewHTTP2(netip.MustParseAddr("127.0.0.1"), nil)} {
			c, err := pool.transport.DialContext(context.Background(), "tcp", addr)
			So(err, ShouldBeNil)
			opt, err := OptionsOf(c.(*net.TCPConn))
			So(err, ShouldBeNil)
			So(opt.KeepAlive, ShouldBeTrue)
			So(opt.UserTimeout, ShouldEqual, 0)
			So(opt.GivenUpAfter(), ShouldEqual, 50*time.Second)
			_ = c.Close()
		}
	})
	Convey("a server leaves the options of what it accepts as they were", t, func() {
		addr, accepted := listen(t)
		c, err := net.Dial("tcp", addr)
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		serverSide := <-accepted
		before, err := OptionsOf(serverSide.(*net.TCPConn))
		So(err, ShouldBeNil)
		served := make(chan net.Conn, 1)
		served <- serverSide
		server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Second}
		EnableHTTP2(server)
		go func() { _ = server.Serve(oneListener{served, serverSide.LocalAddr()}) }()
		defer func() { _ = server.Close() }()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		So(err, ShouldBeNil)
		_, err = c.Read(make([]byte, 1))
		So(err, ShouldBeNil)
		after, err := OptionsOf(serverSide.(*net.TCPConn))
		So(err, ShouldBeNil)
		So(after, ShouldResemble, before)
		So(after.KeepAlive, ShouldBeTrue)
		So(after.UserTimeout, ShouldEqual, 0)
	})
}

// oneListener accepts the connections of a channel.
type oneListener struct {
	conns chan net.Conn
	addr  net.Addr
}

func (l oneListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneListener) Close() error {
	close(l.conns)
	return nil
}

func (l oneListener) Addr() net.Addr { return l.addr }
