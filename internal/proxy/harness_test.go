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

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// testMeter is shared by all tests, as metrics can be registered only once per process.
var testMeter = meter.New()

// testDialect is a Dialect with header names of its own.
type testDialect struct{}

func (testDialect) DecodeRequest(h http.Header) (RequestInfo, error) {
	info := RequestInfo{ID: h.Get("Id"), Key: h.Get("Key"), Resumes: h.Get("Continues"), LastEventID: h.Get("After")}
	if ms, err := strconv.Atoi(h.Get("Deadline")); err == nil {
		info.Deadline = time.Duration(ms) * time.Millisecond
	}
	for _, part := range strings.Fields(h.Get("Parts")) {
		id, err := strconv.ParseUint(part, 16, 64)
		if err != nil {
			return info, err
		}
		info.Parts = append(info.Parts, place.PromptPart{ID: id, Tokens: 1})
	}
	if info.ID == "" {
		return info, errors.New("no ID")
	}
	return info, nil
}

func (testDialect) EncodeRequest(h http.Header, info ForwardInfo) {
	h.Del("Key")
	h.Set("Endpoint", info.Endpoint)
	h.Set("Organisation", info.Organisation)
	h.Set("Deadline", strconv.FormatInt(info.Deadline.Milliseconds(), 10))
	if info.LastEventID != "" {
		h.Set("After", info.LastEventID)
	}
}

func (testDialect) StartTarget() string {
	return "/start"
}

func (testDialect) DecodeStart(body []byte) (startedAtMS int64, told bool, err error) {
	if string(body) == "untold" {
		return 0, false, nil
	}
	startedAtMS, err = strconv.ParseInt(string(body), 10, 64)
	return startedAtMS, true, err
}

func (testDialect) DecodeResponse(status int, h http.Header) ResponseInfo {
	pause, _ := time.ParseDuration(h.Get("Pause"))
	limit := RateLimit{Named: h.Get("Limit") != "", Text: h.Get("Limit")}
	if limit.Named {
		var err error
		limit.PerSecond, err = strconv.ParseFloat(limit.Text, 64)
		limit.Malformed = err != nil
	}
	return ResponseInfo{
		Pause: pause, Limit: limit,
		ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get("Leaving") != "",
		IdleTimeout: 5 * time.Second,
	}
}

// receivedRequest is a request as received by an endpoint.
type receivedRequest struct {
	*http.Request
	body  string
	index int
}

// responder handles one request and may write anything. If it returns false, the connection is closed.
type responder func(req receivedRequest, c net.Conn) bool

// fakeEndpoint is an endpoint that records the requests it receives.
type fakeEndpoint struct {
	addr netip.AddrPort
	// closeAfterNext makes the endpoint stop listening after its next connection.
	closeAfterNext atomic.Bool
	mu             sync.Mutex
	received       []receivedRequest
	disconnected   chan struct{}
}

func newFakeEndpoint(t *testing.T, respond responder) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	e := &fakeEndpoint{addr: netip.MustParseAddrPort(l.Addr().String()), disconnected: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if e.closeAfterNext.Load() {
				_ = l.Close()
			}
			go e.serve(c, respond)
		}
	}()
	return e
}

func (e *fakeEndpoint) serve(c net.Conn, respond responder) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			e.disconnected <- struct{}{}
			return
		}
		body, _ := io.ReadAll(req.Body)
		e.mu.Lock()
		received := receivedRequest{req, string(body), len(e.received)}
		e.received = append(e.received, received)
		e.mu.Unlock()
		if !respond(received, c) {
			return
		}
	}
}

// closedAddr returns an address at which nothing listens. Its host is that of this process, so that no other one takes the port.
func closedAddr(t *testing.T) netip.AddrPort {
	addr, err := rig.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (e *fakeEndpoint) requests() []receivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]receivedRequest(nil), e.received...)
}

// roundRobin selects endpoints in turn, skips the excluded ones, and records the outcomes of attempts.
type roundRobin struct {
	endpoints []*fakeEndpoint
	view      *ctrl.View
	// firstAnswers gets a value for each attempt whose response has begun.
	firstAnswers chan struct{}
	next         atomic.Int64
	mu           sync.Mutex
	outcomes     []place.Outcome
	limits       []place.Limit
	brittles     []place.Brittle
	// services lists the services for which an endpoint was asked for.
	services []string
	// alternatives is the number of other endpoints that each choice names.
	alternatives int
	// limitedFor is the time for which limits are the reason that no endpoint is found.
	limitedFor time.Duration
}

func (c *roundRobin) Pick(_ context.Context, req place.Request) (place.Choice, bool, error) {
	c.mu.Lock()
	c.services = append(c.services, req.Service)
	c.mu.Unlock()
	for range c.endpoints {
		i := int(c.next.Add(1)-1) % len(c.endpoints)
		id := fmt.Sprint("e", i)
		if !strings.Contains(strings.Join(req.ExcludedIDs, " ")+" ", id+" ") {
			return place.Choice{
				ID: id, StartedAtMS: c.view.Endpoints[id].StartedAtMS, Addr: c.endpoints[i].addr, ExpectedLatency: time.Millisecond,
				Alternatives: c.alternatives,
			}, true, nil
		}
	}
	if c.limitedFor > 0 {
		return place.Choice{}, true, &place.LimitedError{Wait: c.limitedFor}
	}
	return place.Choice{}, false, errors.New("none")
}

func (c *roundRobin) RecordPause(string, time.Duration) {}

func (c *roundRobin) RecordFirstAnswer(string, time.Duration) {
	select {
	case c.firstAnswers <- struct{}{}:
	default:
	}
}

func (c *roundRobin) RecordLimit(limit place.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = append(c.limits, limit)
}

func (c *roundRobin) RecordBrittle(told place.Brittle) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.brittles = append(c.brittles, told)
}

func (c *roundRobin) RecordOutcome(_ string, outcome place.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, outcome)
}

// harness is a proxy in front of fake endpoints.
type harness struct {
	proxy *Proxy
	view  *ctrl.View
	// newView, if set, is used in place of view.
	newView       atomic.Pointer[ctrl.View]
	crashes       crashReports
	chooser       *roundRobin
	origins       *localOrigins
	addr          string
	configCurrent atomic.Bool
	nextID        atomic.Int64
}

// localOrigins keeps the origins of the proxy's own streams.
type localOrigins struct {
	mu        sync.Mutex
	store     *origin.Store
	endpoints func() map[string]roster.Endpoint
}

func (o *localOrigins) Record(rec origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Add(time.Now(), rec)
}

func (o *localOrigins) Find(_ context.Context, key origin.Key) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.store.Find(time.Now(), key)
}

// OnlyBuild returns the software version of the present endpoints, of which the proxy's view has always been the same.
func (o *localOrigins) OnlyBuild(_ context.Context, service string, horizon time.Duration) (build string, known bool) {
	history, now := origin.NewHistory(), time.Now()
	for at := now.Add(-horizon); !at.After(now); at = at.Add(time.Second) {
		history.Observe(at, o.endpoints(), true)
	}
	return history.OnlyBuild(now, service, horizon)
}

// crashReports records crash reports.
type crashReports chan string

func (r crashReports) ReportCrash(fingerprint, boot string) { r <- fingerprint + " " + boot }

func (r crashReports) ClearCrash(fingerprint string) { r <- fingerprint + " cleared" }

func (r crashReports) ReportParts(report blame.Report) {
	r <- fmt.Sprintf("parts %x of %s sound %v", report.Parts, report.Boot, report.Sound)
}

func (r crashReports) TryPart(_ context.Context, trial ctrl.PartTrial) bool {
	r <- fmt.Sprintf("trial %d of %x", trial.Number, trial.Part)
	return true
}

func testTable() *table.Table {
	route := func(prefix string, kind table.Kind, attempts int) table.Route {
		return table.Route{
			Name: prefix, Host: "h", PathPrefix: prefix, Kind: kind, Timeout: 5 * time.Second, LatencyTarget: time.Second, MaxAttempts: attempts,
			TrafficSplit: []table.TrafficShare{{Service: "s", Weight: 1}},
		}
	}
	t := &table.Table{
		Version: 1, Services: []table.Service{{Name: "s"}},
		Routes: []table.Route{
			route("/repeat/", table.Idempotent, 2), route("/once/", table.NonIdempotent, 1), route("/stream/", table.Streaming, 1),
			route("/resume/", table.Streaming, 2),
			route("/public/", table.Idempotent, 2),
		},
		Organisations: []table.Organisation{{Name: "org", KeyHashes: []string{table.HashKey("key")}}},
	}
	t.Routes[3].Resumable = true
	t.Routes[4].Public = true
	return t
}

func newHarness(t *testing.T, responders ...responder) *harness {
	h := &harness{chooser: &roundRobin{firstAnswers: make(chan struct{}, 1)}, origins: &localOrigins{store: origin.NewStore()}, crashes: make(crashReports, 100)}
	for _, respond := range responders {
		h.chooser.endpoints = append(h.chooser.endpoints, newFakeEndpoint(t, respond))
	}
	h.configCurrent.Store(true)
	h.origins.endpoints = func() map[string]roster.Endpoint { return h.currentView().Endpoints }
	h.view = &ctrl.View{Table: table.New(testTable()), Crashes: map[string]ctrl.Crash{}, Endpoints: map[string]roster.Endpoint{}}
	for i := range responders {
		id := fmt.Sprint("e", i)
		h.view.Endpoints[id] = roster.Endpoint{ID: id, Service: "s", State: roster.Ready, Build: "v1"}
	}
	h.chooser.view = h.view
	h.proxy = New(Options{
		Zone: "a", Dialect: testDialect{}, View: h.currentView, Crashes: h.crashes,
		ConfigCurrent:  func(time.Time) bool { return h.configCurrent.Load() },
		Chooser:        h.chooser,
		Origins:        h.origins,
		Dialer:         egress.NewDialer(),
		RetryAllowance: func() retry.Allowance { return retry.Allowance{Ratio: 1, Slack: 100, Window: time.Second} },
		Now:            time.Now,
		Meter:          testMeter, Log: zap.NewNop(),
	})
	srv := httptest.NewServer(h.proxy)
	t.Cleanup(srv.Close)
	h.addr = srv.Listener.Addr().String()
	return h
}

// currentView returns the configuration that the proxy works with.
func (h *harness) currentView() *ctrl.View {
	if view := h.newView.Load(); view != nil {
		return view
	}
	return h.view
}

// callerResponse is the response received by a caller; complete is set if it was read to its end.
type callerResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

// newRequest returns a caller's request with an ID of its own.
func (h *harness) newRequest(method, target, body string) *http.Request {
	req := httptest.NewRequest(method, "http://"+h.addr+target, strings.NewReader(body))
	req.RequestURI = ""
	req.Host = "h"
	req.Header.Set("Id", fmt.Sprint("r", h.nextID.Add(1)))
	req.Header.Set("Key", "key")
	return req
}

func (h *harness) send(method, target, body string, header ...string) callerResponse {
	req := h.newRequest(method, target, body)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return callerResponse{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(data), err == nil}
}

// writeResponse writes a signed response with the ID of the request.
func writeResponse(c net.Conn, req receivedRequest, status int, body string, header ...string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: yes\r\nContent-Length: %d\r\n", status, req.Header.Get("Id"), len(body))
	for i := 0; i+1 < len(header); i += 2 {
		_, _ = fmt.Fprintf(c, "%s: %s\r\n", header[i], header[i+1])
	}
	_, _ = fmt.Fprintf(c, "\r\n%s", body)
}

// echo responds to each request with its body.
func echo(req receivedRequest, c net.Conn) bool {
	writeResponse(c, req, http.StatusOK, "echo "+req.body)
	return true
}
