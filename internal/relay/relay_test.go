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

// event is one server-sent event of a fake engine.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, id)
}

const end = "id: 4\ndata: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"

// fake serves each connection with the next of its scripts, the last one again and again.
func fake(t *testing.T, scripts ...func(w http.ResponseWriter, q *http.Request)) (netip.AddrPort, *atomic.Int64) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		i := int(n.Add(1)) - 1
		scripts[min(i, len(scripts)-1)](w, q)
	}))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://")), &n
}

func write(text string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// fetch returns the text that arrived and how the fetch ended.
func fetch(to netip.AddrPort) (string, error) {
	var b strings.Builder
	s := Stream{ID: "c:1", Path: "/v1/chat/completions", Body: []byte("{}"), First: 500 * time.Millisecond, Gap: 300 * time.Millisecond}
	err := New().Fetch(context.Background(), to, s, 0, func(e Event) error {
		b.WriteString(e.Text)
		return nil
	})
	return b.String(), err
}

func TestFetch(t *testing.T) {
	whole := event(1) + event(2) + event(3) + event(4) + end
	const text = "t1 t2 t3 t4 "
	Convey("Repeated tokens are skipped", t, func() {
		to, _ := fake(t, write(event(1)+event(1)+event(2)+event(1)+event(3)+event(2)+event(4)+end))
		got, err := fetch(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
	})
	Convey("A missing or reordered token is no short answer: the rest is fetched again from the offset", t, func() {
		to, n := fake(t, write(event(1)+event(3)+event(2)+event(4)+end), func(w http.ResponseWriter, q *http.Request) {
			if q.Header.Get("Last-Event-ID") == "1" {
				_, _ = io.WriteString(w, event(2)+event(3)+event(4)+end)
			}
		})
		got, err := fetch(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		So(n.Load(), ShouldEqual, 2)
	})
	Convey("A stream that ends without its closing mark is resumed, and is an error if it never closes", t, func() {
		to, _ := fake(t, write(event(1)), write(whole))
		got, err := fetch(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		to, n := fake(t, write(event(1)))
		got, err = fetch(to)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(got, ShouldEqual, "t1 ")
		So(n.Load(), ShouldEqual, 1+reconnects)
	})
	Convey("A malformed event is an error that names the endpoint", t, func() {
		to, _ := fake(t, write("id: 1\ndata: {not json\n\n"))
		_, err := fetch(to)
		So(errors.Is(err, ErrBroken), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, to.String())
		So(err.Error(), ShouldContainSubstring, "malformed event")
	})
	Convey("A silent connection is replaced by a new one; an endpoint that stays silent is told apart", t, func() {
		silent := func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.WriteString(w, event(1))
			_ = http.NewResponseController(w).Flush()
			<-q.Context().Done()
		}
		to, _ := fake(t, silent, write(whole))
		got, err := fetch(to)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, text)
		mute := func(_ http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			<-q.Context().Done()
		}
		to, _ = fake(t, mute)
		_, err = fetch(to)
		So(errors.Is(err, ErrSilent), ShouldBeTrue)
	})
	Convey("A refusal is final, and an endpoint that is not there was sent nothing", t, func() {
		to, n := fake(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, `{"error":{"message":"no such adapter"}}`)
		})
		_, err := fetch(to)
		var r *Refusal
		So(errors.As(err, &r), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "no such adapter")
		So(n.Load(), ShouldEqual, 1)
		_, err = fetch(netip.MustParseAddrPort("127.0.0.1:1"))
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
		So(errors.Is(err, ErrBroken), ShouldBeFalse)
	})
}

func TestOnce(t *testing.T) {
	Convey("A call is sent once, also where the connection breaks before any answer", t, func() {
		to, n := fake(t, func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = c.Close()
			}
		})
		r := New()
		for i := range 5 {
			_, err := r.Once(context.Background(), to, Call{Method: http.MethodPost, Path: "/", Key: fmt.Sprint(i), Body: []byte("{}")})
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
		}
		So(n.Load(), ShouldEqual, 5)
		_, err := r.Once(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), Call{Method: http.MethodPost, Path: "/"})
		So(errors.Is(err, ErrUnsent), ShouldBeTrue)
	})
}
