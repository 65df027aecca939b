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

func TestIdleConns(t *testing.T) {
	Convey("Winding down closes idle connections and answers each request that was read", t, func() {
		idle := newIdleConns()
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(50 * time.Millisecond)
		}), ConnState: idle.note, ReadHeaderTimeout: time.Second}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() { _ = srv.Serve(l) }()
		defer func() { _ = srv.Close() }()
		dial := func() (net.Conn, *bufio.Reader) {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			return c, bufio.NewReader(c)
		}
		ask := func(c net.Conn) {
			_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			So(err, ShouldBeNil)
		}
		read := func(r *bufio.Reader) {
			resp, err := http.ReadResponse(r, nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		}
		kept, keptIn := dial()
		ask(kept)
		read(keptIn)
		busy, busyIn := dial()
		ask(busy)
		fresh, freshIn := dial()
		time.Sleep(20 * time.Millisecond)
		So(l.Close(), ShouldBeNil)
		So(idle.wind(time.Now()), ShouldBeNil)
		_, err = keptIn.ReadByte()
		So(err, ShouldNotBeNil)
		read(busyIn)
		ask(fresh)
		read(freshIn)
		for _, c := range []net.Conn{kept, busy, fresh} {
			So(c.Close(), ShouldBeNil)
		}
	})
}
