package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// checkBrokenHead checks what calls and generations get for an answer with a broken head.
func checkBrokenHead(t *testing.T, name, text string) {
	respond := func(c *net.TCPConn, r io.Reader) bool {
		_, _ = io.Copy(io.Discard, r)
		_, _ = fmt.Fprint(c, text)
		return true
	}
	for kind, call := range calls {
		Convey("A "+kind+" call gets no reply of "+name+", and its connection is not used again", t, func() {
			to, requests, connections := rawEndpoint(t, respond)
			r := New()
			for sent := 1; sent <= 3; sent++ {
				began := time.Now()
				_, err := call(r, to, []byte("{}"))
				So(errors.Is(err, ErrBroken), ShouldBeTrue)
				So(errors.Is(err, ErrUnsent), ShouldBeFalse)
				So(time.Since(began), ShouldBeLessThan, time.Second)
				So(requests.Load(), ShouldEqual, sent)
				So(connections.Load(), ShouldEqual, sent)
			}
		})
	}
	Convey("A generation takes nothing of "+name+", neither as a stream nor as a refusal", t, func() {
		to, requests, connections := rawEndpoint(t, respond)
		got, err := fetchText(to)
		So(got, ShouldBeEmpty)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(errors.Is(err, ErrUnsent), ShouldBeFalse)
		So(errors.As(err, new(*Refusal)), ShouldBeFalse)
		So(connections.Load(), ShouldEqual, requests.Load())
	})
	Convey("No outcome is taken from "+name, t, func() {
		to, _, _ := rawEndpoint(t, respond)
		_, found, err := New().Outcome(context.Background(), to, "k")
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(found, ShouldBeFalse)
	})
}

// TestInvalidStatusIsAReply guards against answers whose status is that of no final response and which are taken for one.
func TestInvalidStatusIsAReply(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4) + endOfStream
	for _, status := range []string{"000", "099", "+20", "101"} {
		checkBrokenHead(t, "an answer with status "+status, fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(whole), whole))
		checkBrokenHead(t, "an answer with status "+status+" and no body", "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
	}
	for kind, call := range calls {
		Convey("A "+kind+" call gets the reply behind informational answers", t, func() {
			to, requests, _ := rawEndpoint(t, func(c *net.TCPConn, r io.Reader) bool {
				_, _ = io.Copy(io.Discard, r)
				_, _ = fmt.Fprint(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+
					"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			r := New()
			for range 3 {
				reply, err := call(r, to, []byte("{}"))
				So(err, ShouldBeNil)
				So(string(reply.Body), ShouldEqual, "ok")
			}
			So(requests.Load(), ShouldEqual, 3)
		})
	}
}

// invalidLines are lines that have no valid field name.
var invalidLines = map[string]string{
	"a blank before the colon": "Broken : x",
	"a blank in a name":        "Bro ken: x",
	"a tab in a name":          "Bro\tken: x",
	"a NUL in a name":          "Bro\x00ken: x",
	"a CR in a name":           "Bro\rken: x",
	"an empty name":            ": x",
	"no colon":                 "broken",
}

// TestInvalidFieldNameIsPassedOver guards against answers with a head in which the name of a field is not valid, and which are taken
// without that field, or with a body that is framed in another way than the endpoint meant.
func TestInvalidFieldNameIsPassedOver(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4) + endOfStream
	length := fmt.Sprintf("Content-Length: %d\r\n", len(whole))
	for name, line := range invalidLines {
		checkBrokenHead(t, "an answer with "+name, "HTTP/1.1 200 X\r\n"+line+"\r\n"+length+"\r\n"+whole)
		checkBrokenHead(t, "an answer without a body with "+name, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n"+line+"\r\n\r\n")
		checkBrokenHead(t, "a refusal with "+name, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n"+line+"\r\n\r\n")
		checkBrokenHead(t, "an informational answer with "+name, "HTTP/1.1 103 X\r\n"+line+"\r\n\r\nHTTP/1.1 200 X\r\n"+length+"\r\n"+whole)
	}
	checkBrokenHead(t, "an answer with a blank before a name", "HTTP/1.1 200 X\r\n"+length+" Broken: x\r\n\r\n"+whole)
}

// TestInvalidTrailerIsPassedOver guards against replies whose trailer is not valid and which count as complete.
func TestInvalidTrailerIsPassedOver(t *testing.T) {
	withTrailer := func(trailer string) func(c *net.TCPConn, r io.Reader) bool {
		return func(c *net.TCPConn, r io.Reader) bool {
			_, _ = io.Copy(io.Discard, r)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n", trailer)
			return true
		}
	}
	for kind, call := range calls {
		for name, line := range invalidLines {
			Convey("A "+kind+" call whose reply has a trailer with "+name+" has none, and its connection is not used again", t, func() {
				to, requests, connections := rawEndpoint(t, withTrailer(line+"\r\n"))
				r := New()
				for sent := 1; sent <= 3; sent++ {
					_, err := call(r, to, []byte("{}"))
					So(errors.Is(err, ErrBroken), ShouldBeTrue)
					So(requests.Load(), ShouldEqual, sent)
					So(connections.Load(), ShouldEqual, sent)
				}
			})
		}
		Convey("A "+kind+" call gets a reply with a valid trailer", t, func() {
			to, _, _ := rawEndpoint(t, withTrailer("Checksum: 1\r\n"))
			reply, err := call(New(), to, []byte("{}"))
			So(err, ShouldBeNil)
			So(string(reply.Body), ShouldEqual, "body")
		})
	}
}
