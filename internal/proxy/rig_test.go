package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// series are those of all tests, as a process registers them once.
var series = meter.New()

// plain is a dialect for tests, in words of its own.
type plain struct{}

func (plain) Caller(h http.Header) (Caller, error) {
	c := Caller{ID: h.Get("Id"), Key: h.Get("Key")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		c.Deadline = time.Duration(ms) * time.Millisecond
	}
	if c.ID == "" {
		return c, errors.New("no ID")
	}
	return c, nil
}

func (plain) Forward(h http.Header, s Sending) {
	h.Del("Key")
	h.Set("Endpoint", s.Endpoint)
	h.Set("Organisation", s.Organisation)
	h.Set("Deadline", strconv.FormatInt(s.Deadline.Milliseconds(), 10))
	if s.After != "" {
		h.Set("After", s.After)
	}
}

func (plain) Answer(status int, h http.Header) Answer {
	return Answer{
		ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Misled: status == http.StatusMisdirectedRequest,
		Keep: 5 * time.Second,
	}
}

// got is a request as an endpoint got it.
type got struct {
	*http.Request
	body string
	n    int
}

// script is what an endpoint does with a request; it may write anything. A false answer closes the connection.
type script func(q got, c net.Conn) bool

// endpoint is a fake endpoint with what it got.
type endpoint struct {
	addr netip.AddrPort
	// last lets the endpoint take no more connections once it has one.
	last atomic.Bool
	mu   sync.Mutex
	got  []got
	gone chan struct{}
}

func newEndpoint(t *testing.T, do script) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &endpoint{addr: netip.MustParseAddrPort(l.Addr().String()), gone: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if e.last.Load() {
				_ = l.Close()
			}
			go e.serve(c, do)
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, do script) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			e.gone <- struct{}{}
			return
		}
		body, _ := io.ReadAll(q.Body)
		e.mu.Lock()
		g := got{q, string(body), len(e.got)}
		e.got = append(e.got, g)
		e.mu.Unlock()
		if !do(g, c) {
			return
		}
	}
}

// closedAddr returns an address at which nothing listens.
func closedAddr(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return mustAddr(l.Addr().String())
}

func (e *endpoint) all() []got {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]got(nil), e.got...)
}

// turns chooses endpoints in turn, but for those to avoid, and keeps how runs ended.
type turns struct {
	all  []*endpoint
	next atomic.Int64
	mu   sync.Mutex
	ends []place.Outcome
}

func (c *turns) Pick(_ context.Context, q place.Request) (place.Choice, bool, error) {
	for range c.all {
		i := int(c.next.Add(1)-1) % len(c.all)
		id := fmt.Sprint("e", i)
		if !strings.Contains(strings.Join(q.Avoid, " ")+" ", id+" ") {
			return place.Choice{ID: id, Addr: c.all[i].addr, Expected: time.Millisecond}, true, nil
		}
	}
	return place.Choice{}, false, errors.New("none")
}

func (c *turns) First(string, time.Duration) {}

func (c *turns) End(_ string, o place.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = append(c.ends, o)
}

// bench is a proxy before fake endpoints.
type bench struct {
	proxy *Proxy
	view  *ctrl.View
	down  reports
	pick  *turns
	addr  string
	fresh atomic.Bool
	id    atomic.Int64
}

// reports keeps what was reported of requests under which endpoints went down.
type reports chan string

func (r reports) Crashed(print, start string) { r <- print + " " + start }

func (r reports) Cleared(print string) { r <- print + " cleared" }

func routes() *table.Table {
	route := func(prefix string, k table.Kind, attempts int) table.Route {
		return table.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: k, Timeout: 5 * time.Second, Target: time.Second, Attempts: attempts,
			Split: []table.Share{{Service: "s", Weight: 1}},
		}
	}
	t := &table.Table{
		Version: 1, Services: []table.Service{{Name: "s"}},
		Routes: []table.Route{
			route("/repeat/", table.Repeat, 2), route("/once/", table.Once, 1), route("/stream/", table.Stream, 1), route("/resume/", table.Stream, 2),
			route("/public/", table.Repeat, 2),
		},
		Organisations: []table.Organisation{{Name: "org", Keys: []string{table.Hash("key")}}},
	}
	t.Routes[3].Resume = true
	t.Routes[4].Public = true
	return t
}

func newBench(t *testing.T, scripts ...script) *bench {
	b := &bench{pick: &turns{}, down: make(reports, 100)}
	for _, s := range scripts {
		b.pick.all = append(b.pick.all, newEndpoint(t, s))
	}
	b.fresh.Store(true)
	b.view = &ctrl.View{Table: table.New(routes()), Crashes: map[string]ctrl.Crash{}}
	b.proxy = New(Options{
		Zone: "a", Dialect: plain{}, View: func() *ctrl.View { return b.view }, Crashes: b.down, Fresh: func(time.Time) bool { return b.fresh.Load() },
		Chooser: b.pick, Share: func() retry.Share { return retry.Share{Ratio: 1, Slack: 100, Window: time.Second} }, Now: time.Now,
		Meter: series, Log: zap.NewNop(),
	})
	srv := httptest.NewServer(b.proxy)
	t.Cleanup(srv.Close)
	b.addr = srv.Listener.Addr().String()
	return b
}

// said is what a caller got; whole tells that the answer is complete.
type said struct {
	status int
	header http.Header
	body   string
	whole  bool
}

func (b *bench) ask(method, target, body string, header ...string) said {
	q, err := http.NewRequest(method, "http://"+b.addr+target, strings.NewReader(body))
	So(err, ShouldBeNil)
	q.Host = "h"
	q.Header.Set("Id", fmt.Sprint("r", b.id.Add(1)))
	q.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(q)
	if err != nil {
		return said{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return said{resp.StatusCode, resp.Header, string(data), err == nil}
}

// answer writes an answer to a request with its ID, signed.
func answer(c net.Conn, q got, status int, body string, header ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n", status, q.Header.Get("Id"), len(body))
	for i := 0; i+1 < len(header); i += 2 {
		_, _ = fmt.Fprintf(c, "%s: %s\r\n", header[i], header[i+1])
	}
	_, _ = fmt.Fprintf(c, "\r\n%s", body)
}

// ok answers each request with its body.
func ok(q got, c net.Conn) bool {
	answer(c, q, http.StatusOK, "echo "+q.body)
	return true
}
