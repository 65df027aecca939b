package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// closeAfter writes a response as it stands and closes the connection.
func closeAfter(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(c, text)
		_ = c.Close()
	}
}

// TestCutRefusalIsFinal guards against an error response that was cut and ends a generation as if the engine had refused it.
func TestCutRefusalIsFinal(t *testing.T) {
	complete := event(1) + event(2) + event(3) + event(4) + endOfStream
	for name, cut := range map[string]string{
		"its length":     "HTTP/1.1 400 X\r\nContent-Length: 100\r\n\r\n{\"error\"",
		"its connection": "HTTP/1.1 400 X\r\nContent-Type: application/json\r\n\r\n{\"error\"",
	} {
		Convey("a generation is fetched again after a refusal that was cut before the end of "+name, t, func() {
			to, n := fakeEndpoint(t, closeAfter(cut), respondWith(complete))
			got, err := fetchText(to)
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "t1 t2 t3 t4 ")
			So(n.Load(), ShouldEqual, 2)
		})
	}
}

// TestCutReplyLooksComplete guards against a service's JSON document that was cut with its connection and is passed on and kept as
// the reply.
func TestCutReplyLooksComplete(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n\r\n"
	calls := map[string]func(*Relay, string) (Reply, error){
		"once": func(r *Relay, text string) (Reply, error) {
			to, _ := fakeEndpoint(t, closeAfter(text))
			return r.CallOnce(context.Background(), to, Call{Method: http.MethodPost, Path: "/", Key: "k", Body: []byte("{}")})
		},
		"repeatable": func(r *Relay, text string) (Reply, error) {
			to, _ := fakeEndpoint(t, closeAfter(text))
			return r.CallRepeatable(context.Background(), to, Call{Method: http.MethodGet, Path: "/"})
		},
	}
	for name, call := range calls {
		Convey("A "+name+" call whose reply was cut has no reply", t, func() {
			for _, body := range []string{"", `{"booked":`, `{"booked":"caf` + "\xc3"} {
				_, err := call(New(), head+body)
				So(errors.Is(err, ErrBroken), ShouldBeTrue)
			}
		})
		Convey("A "+name+" call gets a whole document that ends with its connection", t, func() {
			reply, err := call(New(), head+`{"booked":true}`)
			So(err, ShouldBeNil)
			So(string(reply.Body), ShouldEqual, `{"booked":true}`)
		})
	}
}
