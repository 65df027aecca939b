package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/entry"
)

// TestBrokenStreamLooksCompleteWithoutChunks guards against a broken stream that ends like a complete one for a caller that gets
// no chunks.
func TestBrokenStreamLooksCompleteWithoutChunks(t *testing.T) {
	sendHTTP10 := func(h *harness) (string, error) {
		c, err := net.Dial("tcp", h.addr)
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprint(c, "POST /stream/ HTTP/1.0\r\nHost: h\r\nId: r\r\nKey: key\r\nContent-Length: 1\r\n\r\nx")
		So(err, ShouldBeNil)
		data, err := io.ReadAll(c)
		return string(data), err
	}
	Convey("the connection of an HTTP/1.0 caller is reset under a broken stream", t, func() {
		_, err := sendHTTP10(newHarness(t, streamThenClose(eventRange(1, 10)+event(11)[:7])))
		So(err, ShouldNotBeNil)
	})
	Convey("so it is on the listener that instances use", t, func() {
		h := newHarness(t, streamThenClose(eventRange(1, 10)+event(11)[:7]))
		srv := httptest.NewUnstartedServer(h.proxy)
		srv.Listener = entry.Listener(srv.Listener)
		srv.Start()
		defer srv.Close()
		h.addr = srv.Listener.Addr().String()
		_, err := sendHTTP10(h)
		So(err, ShouldNotBeNil)
	})
	Convey("the connection of an HTTP/1.0 caller is closed after a complete stream", t, func() {
		data, err := sendHTTP10(newHarness(t, streamThenClose(eventRange(1, 10))))
		So(err, ShouldBeNil)
		So(data, ShouldEndWith, eventRange(1, 10))
	})
}
