package proxy

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
)

func TestForward(t *testing.T) {
	Convey("a request goes out as it came, without its key, and its answer comes back as it is", t, func() {
		b := newBench(t, func(q got, c net.Conn) bool {
			answer(c, q, http.StatusCreated, "body", "Extra", "1")
			return true
		})
		s := b.ask(http.MethodPut, "/once/a%2Fb//c?x=1&y=%20", "payload", "Other", "kept")
		So(s.status, ShouldEqual, http.StatusCreated)
		So(s.body, ShouldEqual, "body")
		So(s.header.Get("Extra"), ShouldEqual, "1")
		So(s.header.Get("Signed"), ShouldEqual, "yes")
		g := b.pick.all[0].all()[0]
		So(g.Method, ShouldEqual, http.MethodPut)
		So(g.RequestURI, ShouldEqual, "/once/a%2Fb//c?x=1&y=%20")
		So(g.body, ShouldEqual, "payload")
		So(g.Host, ShouldEqual, "h")
		So(g.Header.Get("Other"), ShouldEqual, "kept")
		So(g.Header.Get("Key"), ShouldEqual, "")
		So(g.Header.Get("Organisation"), ShouldEqual, "org")
		So(g.Header.Get("Endpoint"), ShouldEqual, "e0")
	})
	Convey("a body in chunks is framed by its length, so that what it holds cannot pass for a request", t, func() {
		b := newBench(t, ok)
		inner := "POST /once/x HTTP/1.1\r\nHost: h\r\nId: smuggled\r\nContent-Length: 0\r\n\r\n"
		c, err := net.Dial("tcp", b.addr)
		So(err, ShouldBeNil)
		_, err = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: outer\r\nKey: key\r\nTransfer-Encoding: chunked\r\n"+
			"Content-Length: 3\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
		So(err, ShouldBeNil)
		buf := make([]byte, 4096)
		_, err = c.Read(buf)
		So(err, ShouldBeNil)
		So(c.Close(), ShouldBeNil)
		all := b.pick.all[0].all()
		So(len(all), ShouldEqual, 1)
		So(all[0].body, ShouldEqual, inner)
	})
	Convey("who is not known is refused, and only while the table is proven current", t, func() {
		b := newBench(t, ok)
		So(b.ask(http.MethodGet, "/nowhere/", "").status, ShouldEqual, http.StatusNotFound)
		So(b.ask(http.MethodGet, "/repeat/", "", "Key", "other").status, ShouldEqual, http.StatusUnauthorized)
		So(b.ask(http.MethodGet, "/repeat/", "", "Id", "").status, ShouldEqual, http.StatusBadRequest)
		So(b.ask(http.MethodGet, "/public/", "", "Key", "").status, ShouldEqual, http.StatusOK)
		b.proxy.born = time.Now().Add(-time.Hour)
		b.fresh.Store(false)
		for _, target := range []string{"/nowhere/", "/repeat/"} {
			s := b.ask(http.MethodGet, target, "")
			So(s.status, ShouldEqual, http.StatusServiceUnavailable)
			So(s.header.Get("Retry-After"), ShouldNotEqual, "")
		}
		So(len(b.pick.all[0].all()), ShouldEqual, 1)
	})
	Convey("a body above the limit is refused", t, func() {
		b := newBench(t, ok)
		So(b.ask(http.MethodPost, "/once/", strings.Repeat("x", maxBody+1)).status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(b.pick.all[0].all(), ShouldBeEmpty)
	})
}

func TestNotRun(t *testing.T) {
	full := func(q got, c net.Conn) bool {
		answer(c, q, http.StatusServiceUnavailable, "", "Not-Run", "1")
		return true
	}
	other := func(q got, c net.Conn) bool {
		_, _ = fmt.Fprint(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	Convey("what an endpoint has not run is given to another one, also if it may run only once", t, func() {
		for _, first := range []script{full, other} {
			b := newBench(t, first, ok)
			s := b.ask(http.MethodPost, "/once/", "x")
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.body, ShouldEqual, "echo x")
		}
	})
	Convey("where all decline, the caller is told that it has not run, and when to come back", t, func() {
		b := newBench(t, full, full)
		s := b.ask(http.MethodPost, "/once/", "x")
		So(s.status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.header.Get("Retry-After"), ShouldEqual, "0.500")
		So(s.header.Get("Signed"), ShouldEqual, "")
	})
	Convey("the only endpoint is tried once more, where the request may run again", t, func() {
		b := newBench(t, func(q got, c net.Conn) bool {
			if q.n == 0 {
				return false
			}
			return ok(q, c)
		})
		So(b.ask(http.MethodGet, "/repeat/", "").status, ShouldEqual, http.StatusOK)
	})
	Convey("an endpoint that cannot be reached has not run it", t, func() {
		b := newBench(t, ok, ok)
		b.pick.all[0].addr = closedAddr(t)
		So(b.ask(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(b.pick.ends, ShouldResemble, []place.Outcome{place.ConnectFailed, place.Completed})
	})
}

// TestBadAnswers plays answers that are cut, doubled, unframed or foreign.
func TestBadAnswers(t *testing.T) {
	cut := func(q got, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\nContent-Length: 100\r\n\r\npart", q.Header.Get("Id"))
		return false
	}
	silent := func(got, net.Conn) bool { return false }
	noise := func(_ got, c net.Conn) bool {
		_, _ = fmt.Fprint(c, "\x00\x01 nonsense\r\n\r\n")
		return false
	}
	unsigned := func(q got, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nContent-Length: 2\r\n\r\nno", q.Header.Get("Id"))
		return true
	}
	encoded := func(q got, c net.Conn) bool {
		answer(c, q, http.StatusOK, "zz", "Content-Encoding", "gzip")
		return true
	}
	bad := map[string]script{"cut": cut, "closed": silent, "noise": noise, "unsigned": unsigned, "encoded": encoded}
	for name, s := range bad {
		Convey("after an answer that is "+name+", what may be repeated is served elsewhere", t, func() {
			got := newBench(t, s, ok).ask(http.MethodGet, "/repeat/", "")
			So(got.status, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "echo ")
		})
		Convey("after an answer that is "+name+", what may run only once is not sent again and promises nothing", t, func() {
			b := newBench(t, s, ok)
			So(b.ask(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(b.pick.all[1].all(), ShouldBeEmpty)
		})
	}
	Convey("an answer that comes twice does not answer the next request", t, func() {
		twice := func(q got, c net.Conn) bool {
			answer(c, q, http.StatusOK, "echo "+q.body)
			answer(c, q, http.StatusOK, "echo "+q.body)
			return true
		}
		b := newBench(t, twice)
		for i := range 10 {
			s := b.ask(http.MethodPost, "/once/", fmt.Sprint("x", i))
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.body, ShouldEqual, fmt.Sprint("echo x", i))
		}
	})
	Convey("an answer that comes late, before the one of the next request, is skipped", t, func() {
		var last got
		late := func(q got, c net.Conn) bool {
			if q.n > 0 {
				answer(c, last, http.StatusOK, "late")
			}
			last = q
			answer(c, q, http.StatusOK, "echo "+q.body)
			return true
		}
		b := newBench(t, late)
		for i := range 5 {
			So(b.ask(http.MethodPost, "/once/", fmt.Sprint(i)).body, ShouldEqual, fmt.Sprint("echo ", i))
		}
	})
	Convey("an answer without a length ends with its connection, and is not whole if that is reset", t, func() {
		for _, reset := range []bool{false, true} {
			b := newBench(t, func(q got, c net.Conn) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\n\r\nall of it", q.Header.Get("Id"))
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				return false
			})
			s := b.ask(http.MethodPost, "/once/", "x")
			if reset {
				So(s.status, ShouldEqual, http.StatusBadGateway)
				continue
			}
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.body, ShouldEqual, "all of it")
		}
	})
	Convey("an endpoint may answer before it has read a long body", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			head := make([]byte, 1000)
			_, _ = c.Read(head)
			id := strings.TrimSpace(strings.SplitN(strings.SplitN(string(head), "Id: ", 2)[1], "\r\n", 2)[0])
			_, _ = fmt.Fprintf(c, "HTTP/1.1 413 X\r\nId: %s\r\nSigned: y\r\nContent-Length: 5\r\n\r\nearly", id)
		}()
		b := newBench(t, ok)
		b.pick.all[0].addr = mustAddr(l.Addr().String())
		s := b.ask(http.MethodPost, "/once/", strings.Repeat("x", 3<<20))
		So(s.status, ShouldEqual, http.StatusRequestEntityTooLarge)
		So(s.body, ShouldEqual, "early")
	})
	Convey("a failure that an endpoint answered is passed on, unless its status would promise that nothing ran", t, func() {
		for status, want := range map[int]int{500: 500, 404: 404, 503: 502, 429: 502, 408: 502} {
			b := newBench(t, func(q got, c net.Conn) bool {
				answer(c, q, status, "why")
				return true
			})
			s := b.ask(http.MethodPost, "/once/", "x")
			So(s.status, ShouldEqual, want)
			if status == want {
				So(s.body, ShouldEqual, "why")
			}
		}
	})
}

func TestHangUp(t *testing.T) {
	Convey("a caller that leaves ends its request at the endpoint", t, func() {
		b := newBench(t, func(_ got, c net.Conn) bool { return true })
		c, err := net.Dial("tcp", b.addr)
		So(err, ShouldBeNil)
		_, err = fmt.Fprint(c, "GET /once/x HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: key\r\n\r\n")
		So(err, ShouldBeNil)
		for len(b.pick.all[0].all()) == 0 {
			time.Sleep(time.Millisecond)
		}
		So(c.Close(), ShouldBeNil)
		<-b.pick.all[0].gone
	})
	Convey("a caller is answered when its time is over", t, func() {
		b := newBench(t, func(_ got, c net.Conn) bool { return true })
		s := b.ask(http.MethodPost, "/once/", "x", "Deadline", "150")
		So(s.status, ShouldEqual, http.StatusGatewayTimeout)
	})
	Convey("a stopping instance refuses what it cannot finish, and asks for other connections before", t, func() {
		b := newBench(t, ok)
		b.proxy.Leave()
		So(b.ask(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(b.proxy.Ready(time.Now()), ShouldNotBeNil)
		b.proxy.Refuse()
		s := b.ask(http.MethodPost, "/once/", "x")
		So(s.status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.header.Get("Retry-After"), ShouldNotEqual, "")
	})
}

// TestSeries holds that what callers wait for can be read from the metrics.
func TestSeries(t *testing.T) {
	Convey("requests are counted, and their times go into histograms, by organisation and route", t, func() {
		b := newBench(t, ok)
		So(b.ask(http.MethodGet, "/repeat/", "").status, ShouldEqual, http.StatusOK)
		text := ""
		has := func(name string) bool {
			for line := range strings.SplitSeq(text, "\n") {
				if strings.HasPrefix(line, name) && strings.Contains(line, `customer="org"`) && strings.Contains(line, `class="_repeat_"`) && !strings.HasSuffix(line, " 0") {
					return true
				}
			}
			return false
		}
		// Series are reported once a second.
		for range 100 {
			w := httptest.NewRecorder()
			series.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			if text = w.Body.String(); has("greengagewheel_request_time_count") {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		So(has("greengagewheel_request_time_count"), ShouldBeTrue)
		So(has("greengagewheel_first_token_time_bucket"), ShouldBeTrue)
		So(has("greengagewheel_requests"), ShouldBeTrue)
	})
}
