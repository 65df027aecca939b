package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// event returns one server-sent event of a fake engine.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, id)
}

const endOfStream = "id: 4\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

// fakeEndpoint serves each request with the next of its handlers and repeats the last one. It also returns the number of
// requests.
func fakeEndpoint(t *testing.T, handlers ...func(w http.ResponseWriter, req *http.Request)) (netip.AddrPort, *atomic.Int64) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		i := int(requests.Add(1)) - 1
		handlers[min(i, len(handlers)-1)](w, req)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), &requests
}

func respondWith(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// fetchText returns the text received and the error of Fetch.
func fetchText(to netip.AddrPort) (string, error) {
	var b strings.Builder
	stream := Stream{
		ID: "c:1", Path: "/v1/chat/completions", Body: []byte("{}"),
		FirstTokenTimeout: 500 * time.Millisecond, TokenGapTimeout: 300 * time.Millisecond,
	}
	err := New().Fetch(context.Background(), to, stream, 0, func(e Event) error {
		b.WriteString(e.Text)
		return nil
	})
	return b.String(), err
}

// TestFetch guards against text with lost, repeated or reordered tokens after a connection breaks or goes silent, and against
// failures that are reported as the wrong kind.
func TestFetch(t *testing.T) {
	complete := event(1) + event(2) + event(3) + event(4) + endOfStream
	const text = "t1 t2 t3 t4 "
	Convey("Repeated tokens are skipped", t, func() {
		to, _ := fakeEndpoint(t, respondWith(event(1)+event(1)+event(2)+event(1)+event(3)+event(2)+event(4)+endOfStream))
		got, err := fetchText(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
	})
	Convey("After a missing or reordered token, the rest is fetched again from the offset", t, func() {
		to, n := fakeEndpoint(t, respondWith(event(1)+event(3)+event(2)+event(4)+endOfStream),
			func(w http.ResponseWriter, req *http.Request) {
				if req.Header.Get("Last-Event-ID") == "1" {
					_, _ = io.WriteString(w, event(2)+event(3)+event(4)+endOfStream)
				}
			})
		got, err := fetchText(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		So(n.Load(), ShouldEqual, 2)
	})
	Convey("A stream that ends without [DONE] is resumed, and fails if it never completes", t, func() {
		to, _ := fakeEndpoint(t, respondWith(event(1)), respondWith(complete))
		got, err := fetchText(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		to, n := fakeEndpoint(t, respondWith(event(1)))
		got, err = fetchText(to)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(got, ShouldEqual, "t1 ")
		So(n.Load(), ShouldEqual, 1+maxReconnects)
	})
	Convey("A malformed event is an error that names the endpoint", t, func() {
		to, _ := fakeEndpoint(t, respondWith("id: 1\ndata: {not json\n\n"))
		_, err := fetchText(to)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, to.String())
		So(err.Error(), ShouldContainSubstring, "malformed event")
	})
	Convey("A silent connection is replaced by a new one; an endpoint that stays silent is reported as such", t, func() {
		silentAfterFirst := func(w http.ResponseWriter, req *http.Request) {
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-req.Context().Done()
		}
		to, _ := fakeEndpoint(t, silentAfterFirst, respondWith(complete))
		got, err := fetchText(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		silentFromStart := func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		}
		to, _ = fakeEndpoint(t, silentFromStart)
		_, err = fetchText(to)
		So(errors.Is(err, ErrSilent), ShouldBeTrue)
	})
	Convey("A refusal is final, and a connection failure is reported as unsent", t, func() {
		to, n := fakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, `{"error":{"message":"no such adapter"}}`)
		})
		_, err := fetchText(to)
		var refusal *Refusal
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "no such adapter")
		So(n.Load(), ShouldEqual, 1)
		_, err = fetchText(netip.MustParseAddrPort("127.0.0.1:1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
		So(errors.Is(err, ErrBroken), ShouldBeFalse)
	})
}

// TestOnce guards against a call that runs twice because net/http sends it again when a connection breaks.
func TestOnce(t *testing.T) {
	Convey("A call is sent once, even if the connection breaks before any response", t, func() {
		to, n := fakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.Close()
			}
		})
		relay := New()
		for i := range 5 {
			_, err := relay.CallOnce(context.Background(), to, Call{Method: http.MethodPost, Path: "/", Key: fmt.Sprint(i), Body: []byte("{}")})
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
		}
		So(n.Load(), ShouldEqual, 5)
		_, err := relay.CallOnce(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), Call{Method: http.MethodPost, Path: "/"})
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
}

// TestFetchGoesOnAtRestartedEngine guards against a stream that goes on, over a new connection, at a process of another software version that
// has started at the engine's address.
func TestFetchGoesOnAtRestartedEngine(t *testing.T) {
	answer := func(build, text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) {
			if build != "" {
				w.Header().Set(headerBuild, build)
			}
			_, _ = io.WriteString(w, text)
		}
	}
	fetch := func(second string) (string, error) {
		to, _ := fakeEndpoint(t, answer("v1", event(1)+event(2)), answer(second, event(3)+event(4)+endOfStream))
		var b strings.Builder
		began := ""
		stream := Stream{
			ID: "c:1", Path: "/v1/chat/completions", Body: []byte("{}"),
			FirstTokenTimeout: 500 * time.Millisecond, TokenGapTimeout: 300 * time.Millisecond,
			CheckBuild: func(build string) bool {
				if began == "" {
					began = build
				}
				return build == "" || build == began
			},
		}
		err := New().Fetch(context.Background(), to, stream, 0, func(e Event) error {
			b.WriteString(e.Text)
			return nil
		})
		return b.String(), err
	}
	for _, same := range []string{"v1", ""} {
		Convey("the stream goes on at version "+same, t, func() {
			text, err := fetch(same)
			So(err, ShouldBeNil)
			So(text, ShouldEqual, "t1 t2 t3 t4 ")
		})
	}
	Convey("nothing is taken of the answer of another version", t, func() {
		text, err := fetch("v2")
		So(errors.Is(err, ErrOtherBuild), ShouldBeTrue)
		So(text, ShouldEqual, "t1 t2 ")
	})
}
