package egress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestQueryTakesBrokenAnswer guards against a broken answer to a query that counts as a document or as a status of the endpoint.
func TestQueryTakesBrokenAnswer(t *testing.T) {
	query := func(text string) ([]byte, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprint(c, text)
			}
		}()
		pools := New(NewDialer())
		conn, err := pools.Dial(context.Background(), Dest{ID: "e", Addr: netip.MustParseAddrPort(l.Addr().String())})
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		return pools.Query(context.Background(), conn, "/x", time.Second)
	}
	const whole = "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
	for name, text := range map[string]string{
		"status 000, and an answer behind it": "HTTP/1.1 000 X\r\n\r\n" + whole,
		"status 101, and an answer behind it": "HTTP/1.1 101 X\r\n\r\n" + whole,
		"a blank in a name":                   "HTTP/1.1 200 X\r\nBro ken: x\r\nContent-Length: 2\r\n\r\nok",
		"a blank in a name of a failure":      "HTTP/1.1 503 X\r\nBro ken: x\r\nContent-Length: 0\r\n\r\n",
		"a blank in a name of an early one":   "HTTP/1.1 103 X\r\nBro ken: x\r\n\r\n" + whole,
		"a blank in a name of its trailer":    "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBro ken: x\r\n\r\n",
		"a cut in a failure":                  "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\no",
	} {
		Convey("an answer with "+name+" is an error and tells no status", t, func() {
			body, err := query(text)
			So(err, ShouldNotBeNil)
			So(errors.As(err, new(*StatusError)), ShouldBeFalse)
			So(errors.Is(err, ErrConnectionEnds), ShouldBeFalse)
			So(body, ShouldBeEmpty)
		})
	}
	Convey("a whole answer, behind an informational one too, is the document", t, func() {
		for _, text := range []string{whole, "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + whole} {
			body, err := query(text)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "ok")
		}
	})
}
