package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// strayAnswers starts an endpoint that gives each request the same answer. On each connection, further bytes precede all answers but the
// first one.
func strayAnswers(t *testing.T, stray, answer string) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if n > 0 {
						_, _ = fmt.Fprint(c, stray)
						time.Sleep(5 * time.Millisecond)
					}
					_, _ = fmt.Fprint(c, answer)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestStrayAnswerIsTakenForTheNext guards against bytes behind an answer that are taken for the answer to the next request.
func TestStrayAnswerIsTakenForTheNext(t *testing.T) {
	whole := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	Convey("a refusal that follows an answer does not end a later generation", t, func() {
		to := strayAnswers(t, whole(http.StatusServiceUnavailable, "{}"), whole(http.StatusOK, event(1)+event(2)+endOfStream))
		r := New()
		for range 4 {
			text := ""
			stream := Stream{ID: "r", Path: "/v1/completions", Body: []byte("{}"), FirstTokenTimeout: time.Second, TokenGapTimeout: time.Second}
			err := r.Fetch(context.Background(), to, stream, 0, func(e Event) error {
				text += e.Text
				return nil
			})
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "t1 t2 ")
		}
	})
	Convey("the outcome of another call is not that of a key", t, func() {
		to := strayAnswers(t, whole(http.StatusOK, `{"runs":1,"answer":"of another"}`), whole(http.StatusOK, `{"runs":1,"answer":"own"}`))
		r := New()
		for range 4 {
			reply, found, err := r.Outcome(context.Background(), to, "k")
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(string(reply.Body), ShouldEqual, "own")
		}
	})
}
