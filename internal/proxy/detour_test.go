package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// Links of an instance to endpoints.
const (
	linksUp = iota
	linksRefused
	linksSilent
)

// links is a dialer whose connections can be refused or left unanswered, or refused to some addresses only.
type links struct {
	state   atomic.Int32
	dials   atomic.Int64
	refused sync.Map
}

func (l *links) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	l.dials.Add(1)
	if _, refused := l.refused.Load(addr); refused {
		return nil, errors.New("refused")
	}
	switch l.state.Load() {
	case linksRefused:
		return nil, errors.New("refused")
	case linksSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

// http2Sender implements detour.Sender.
type http2Sender struct {
	pool *conns.Pool
}

func (s http2Sender) Send(_ netip.AddrPort, req *http.Request) (*http.Response, error) {
	return s.pool.Do(req)
}

// pair is a proxy, whose links can be cut, and another instance.
type pair struct {
	*harness
	links      *links
	other      *Proxy
	otherLinks *links
	server     *httptest.Server
	outcomes   *roundRobin
}

func newPair(t *testing.T, responders ...responder) *pair {
	p := &pair{harness: newHarness(t, responders...), links: &links{}, otherLinks: &links{}}
	p.proxy.pools = egress.New(p.links)
	p.outcomes = &roundRobin{firstAnswers: make(chan struct{}, 1)}
	p.other = New(Options{
		Name: "b", Dialect: testDialect{}, View: p.currentView, Chooser: p.outcomes, Origins: p.origins, Dialer: p.otherLinks,
		ConfigCurrent:  func(time.Time) bool { return true },
		RetryAllowance: func() retry.Allowance { return retry.Allowance{} }, Now: time.Now, Meter: testMeter, Log: zap.NewNop(),
	})
	p.server = httptest.NewUnstartedServer(http.HandlerFunc(p.other.ServeDetour))
	conns.EnableHTTP2(p.server.Config)
	p.server.Start()
	t.Cleanup(p.server.Close)
	p.view.Instances = map[string]ctrl.Instance{
		"a": {Name: "a"}, "b": {Name: "b", Addr: netip.MustParseAddrPort(p.server.Listener.Addr().String())},
	}
	p.proxy.opt.Name, p.proxy.opt.Sender = "a", http2Sender{conns.NewHTTP2(netip.Addr{}, nil)}
	return p
}

// cut cuts the proxy off and has it notice that.
func (p *pair) cut(state int32) {
	p.links.state.Store(state)
	for range 2 {
		p.send(http.MethodPost, "/repeat/", "x")
	}
}

// longestDirect returns the longest time that one of some requests takes at an instance whose links are up: what the machine, if other
// processes keep it busy, adds to any request.
func longestDirect(h *harness) (longest time.Duration) {
	for range 5 {
		began := time.Now()
		So(h.send(http.MethodPost, "/repeat/", "x").status, ShouldEqual, http.StatusOK)
		longest = max(longest, time.Since(began))
	}
	return longest
}

// TestCutInstanceFailsCallers guards against callers of an instance that does not reach endpoints, while another one does, getting
// anything else than the answer of the endpoint.
func TestCutInstanceFailsCallers(t *testing.T) {
	for name, state := range map[string]int32{"refused": linksRefused, "silent": linksSilent} {
		Convey("all kinds of requests are answered in time from the third on, if connections are "+name, t, func() {
			p := newPair(t, func(req receivedRequest, c net.Conn) bool {
				if strings.HasPrefix(req.URL.Path, "/stream") || strings.HasPrefix(req.URL.Path, "/resume") {
					return streamUpTo(20, 0)(req, c)
				}
				return echo(req, c)
			}, echo)
			direct := newHarness(t, echo)
			p.links.state.Store(state)
			p.cut(state)
			for _, target := range []string{"/repeat/a?b=%20c", "/once/a", "/public/"} {
				byMachine, dials := longestDirect(direct), p.links.dials.Load()
				began := time.Now()
				resp := p.send(http.MethodPost, target, "body")
				took := time.Since(began)
				So(resp.status, ShouldEqual, http.StatusOK)
				So(resp.body, ShouldEqual, "echo body")
				So(p.links.dials.Load(), ShouldEqual, dials)
				So(took-max(byMachine, longestDirect(direct)), ShouldBeLessThan, 200*time.Millisecond)
			}
			last := p.chooser.endpoints[0].requests()
			So(last[len(last)-1].Header.Get("Key"), ShouldBeEmpty)
		})
	}
	Convey("a stream is passed on as it comes, and its end is that of the endpoint", t, func() {
		for respond, complete := range map[string]bool{"chunks": true, "connection": true, "cut": false, "reset": false} {
			p := newPair(t, func(req receivedRequest, c net.Conn) bool {
				switch respond {
				case "chunks":
					return streamUpTo(20, 0)(req, c)
				case "connection":
					return streamThenClose(eventRange(1, 20))(req, c)
				case "cut":
					return streamThenClose(eventRange(1, 20)+event(21)[:7])(req, c)
				}
				streamThenClose(eventRange(1, 20))(req, c)
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			})
			p.cut(linksRefused)
			resp := p.send(http.MethodPost, "/stream/", "x")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, eventRange(1, 20))
			So(resp.complete, ShouldEqual, complete)
		}
	})
	Convey("a stream that breaks off goes on by way of the other instance", t, func() {
		p := newPair(t, streamThenClose(eventRange(1, 10)+event(11)[:7]), streamUpTo(20, 0))
		p.cut(linksRefused)
		resp := p.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
	})
	Convey("a refusal and a failure of the endpoint are what they are", t, func() {
		p := newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/once/full" {
				writeResponse(c, req, http.StatusServiceUnavailable, "full", "Not-Run", "1")
				return true
			}
			writeResponse(c, req, http.StatusInternalServerError, "failure")
			return true
		})
		p.cut(linksRefused)
		So(p.send(http.MethodPost, "/once/full", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		resp := p.send(http.MethodPost, "/once/", "x")
		So(resp.status, ShouldEqual, http.StatusInternalServerError)
		So(resp.body, ShouldEqual, "failure")
	})
	Convey("without any instance that reaches endpoints, callers are told at once that their requests have not run", t, func() {
		p := newPair(t, echo, echo)
		p.otherLinks.state.Store(linksRefused)
		p.cut(linksRefused)
		for range 10 {
			began := time.Now()
			resp := p.send(http.MethodPost, "/once/", "x")
			So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
		}
	})
	Convey("an instance that is gone, or of an older program, is not needed", t, func() {
		p := newPair(t, echo)
		p.view.Instances["c"] = ctrl.Instance{Name: "c", Addr: closedAddr(t)}
		old := httptest.NewUnstartedServer(http.NotFoundHandler())
		conns.EnableHTTP2(old.Config)
		old.Start()
		defer old.Close()
		p.view.Instances["d"] = ctrl.Instance{Name: "d", Addr: netip.MustParseAddrPort(old.Listener.Addr().String())}
		p.cut(linksRefused)
		for range 20 {
			So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		}
	})
	Convey("an instance that reaches some of the endpoints serves all requests, wherever they are placed", t, func() {
		p := newPair(t, echo, echo, echo)
		p.setAddrs()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go p.proxy.Probe(ctx)
		for _, e := range p.chooser.endpoints[:2] {
			p.links.refused.Store(e.addr.String(), true)
		}
		for range 60 {
			So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			time.Sleep(20 * time.Millisecond)
		}
	})
	Convey("the instance goes back to its own links when they are up again, and connects no more often than needed meanwhile", t, func() {
		p := newPair(t, echo)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for id, ep := range p.view.Endpoints {
			ep.Addr = p.chooser.endpoints[0].addr
			p.view.Endpoints[id] = ep
		}
		go p.proxy.Probe(ctx)
		p.cut(linksRefused)
		dials := p.links.dials.Load()
		for range 20 {
			So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
			time.Sleep(50 * time.Millisecond)
		}
		So(p.links.dials.Load()-dials, ShouldBeBetween, 1, 20)
		p.links.state.Store(linksUp)
		time.Sleep(1500 * time.Millisecond)
		made := p.proxy.DetoursMade()
		So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusOK)
		So(p.proxy.DetoursMade(), ShouldEqual, made)
	})
}

// TestDetourRunsTwice guards against requests that run twice, or are called not run though they may have, when the way by another
// instance breaks.
func TestDetourRunsTwice(t *testing.T) {
	Convey("a request that may run once at most gets 502 if the other instance is lost after it was sent", t, func() {
		var p *pair
		p = newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/once/" {
				p.server.CloseClientConnections()
				time.Sleep(100 * time.Millisecond)
			}
			return echo(req, c)
		}, echo)
		p.cut(linksRefused)
		resp := p.send(http.MethodPost, "/once/", "x")
		So(resp.status, ShouldEqual, http.StatusBadGateway)
		runs := 0
		for _, e := range p.chooser.endpoints {
			for _, req := range e.requests() {
				if req.URL.Path == "/once/" {
					runs++
				}
			}
		}
		So(runs, ShouldEqual, 1)
	})
	Convey("a caller that hangs up ends the work of the endpoint", t, func() {
		begun := make(chan struct{}, 1)
		p := newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path != "/stream/" {
				return echo(req, c)
			}
			writeStreamHeader(c, req)
			writeChunk(c, event(1))
			begun <- struct{}{}
			return true
		})
		p.cut(linksRefused)
		for len(p.chooser.endpoints[0].disconnected) > 0 {
			<-p.chooser.endpoints[0].disconnected
		}
		ctx, cancel := context.WithCancel(context.Background())
		req := p.newRequest(http.MethodPost, "/stream/", "x").WithContext(ctx)
		go func() {
			<-begun
			time.Sleep(50 * time.Millisecond)
			cancel()
		}()
		resp, err := http.DefaultTransport.RoundTrip(req)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		select {
		case <-p.chooser.endpoints[0].disconnected:
		case <-time.After(500 * time.Millisecond):
			So("the endpoint still works", ShouldBeEmpty)
		}
	})
}

// TestCutInstanceMisleadsOthers guards against crashes, failures and pauses that an instance without links reports of sound endpoints.
func TestCutInstanceMisleadsOthers(t *testing.T) {
	const wait = 500 * time.Millisecond
	Convey("connections that break with the instance's own links are no crashes", t, func() {
		var p *pair
		p = newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/once/break" {
				p.links.state.Store(linksRefused)
				return false
			}
			return echo(req, c)
		}, echo, echo)
		p.setAddrs()
		So(p.send(http.MethodPost, "/once/break", "x", "Parts", "a b c").status, ShouldEqual, http.StatusBadGateway)
		time.Sleep(wait)
		So(p.crashes, ShouldBeEmpty)
	})
	Convey("an endpoint that another instance does not reach either has crashed", t, func() {
		p := newPair(t, func(receivedRequest, net.Conn) bool { return false })
		p.setAddrs()
		p.chooser.endpoints[0].closeAfterNext.Store(true)
		So(p.send(http.MethodPost, "/once/", "x", "Parts", "a b c").status, ShouldEqual, http.StatusBadGateway)
		time.Sleep(wait)
		So(len(p.crashes), ShouldEqual, 2)
	})
	Convey("failures of the instance's own links do not count against endpoints once it is known to be cut off", t, func() {
		p := newPair(t, echo, echo, echo)
		p.cut(linksRefused)
		p.chooser.mu.Lock()
		before := len(p.chooser.outcomes)
		p.chooser.mu.Unlock()
		p.server.Close()
		p.proxy.opt.Sender = http2Sender{conns.NewHTTP2(netip.Addr{}, nil)}
		So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		p.chooser.mu.Lock()
		defer p.chooser.mu.Unlock()
		for _, outcome := range p.chooser.outcomes[before:] {
			So(outcome, ShouldEqual, place.Withdrawn)
		}
	})
	Convey("a pause that an endpoint asks of the other instance is kept by that one", t, func() {
		p := newPair(t, func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path != "/once/pause" {
				return echo(req, c)
			}
			writeResponse(c, req, http.StatusServiceUnavailable, "", "Not-Run", "1", "Pause", "10s")
			return true
		})
		p.cut(linksRefused)
		So(p.send(http.MethodPost, "/once/pause", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		got := len(p.chooser.endpoints[0].requests())
		So(p.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusServiceUnavailable)
		So(len(p.chooser.endpoints[0].requests()), ShouldEqual, got)
		p.links.state.Store(linksUp)
		So(p.proxy.notices.Admit(time.Now(), startOf(place.Choice{ID: "e0"})), ShouldBeTrue)
	})
}

// setAddrs writes the addresses of the endpoints into the view.
func (p *pair) setAddrs() {
	for i, e := range p.chooser.endpoints {
		id := fmt.Sprint("e", i)
		ep := p.view.Endpoints[id]
		ep.Addr = e.addr
		p.view.Endpoints[id] = ep
	}
}
