package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// routePriorityLevels is the number of route priorities distinguished within one organisation priority.
	routePriorityLevels = 3
	// maxAttempts bounds the attempts of one request, including those whose connection fails.
	maxAttempts = 4
	// The timeout for the first response is a percentage of the route's target latency or a multiple of the expected
	// time, whichever is longer. A call is short and may still meet its target at another endpoint; a stream that
	// restarts has to process its prompt again.
	callTimeoutPercent   = 50
	callTimeoutFactor    = 3
	streamTimeoutPercent = 150
	streamTimeoutFactor  = 6
)

var errForeignResponse = errors.New("the answer is not one that the endpoint made for this request")

// attemptResult is the result of one attempt and determines how the request continues.
type attemptResult struct {
	// done is set once the caller has its response or has disconnected.
	done bool
	// retry allows another attempt; if there is none, rejection is the response.
	retry     bool
	rejection *rejection
	// response is an error response of the endpoint, returned to the caller if there is no other attempt.
	response *bufferedResponse
}

// serve runs the request on an endpoint, retrying on others where allowed, and writes the response.
func (req *request) serve() {
	if rej := req.findOrigin(); rej != nil {
		req.reject(rej)
		return
	}
	req.retryWindow.AddRequest(req.arrivedAt, req.proxy.opt.RetryAllowance())
	last := attemptResult{rejection: &rejection{status: http.StatusServiceUnavailable, reason: "no time left", retryAfter: defaultRetryAfter}}
	for req.attempts < maxAttempts {
		now := req.proxy.opt.Now()
		if req.callerGone() {
			req.finish("caller left", 0)
			return
		}
		if req.deadline.Sub(now) < minTimeLeft {
			break
		}
		if req.attempts > 0 && !req.takeRetry(now) {
			break
		}
		if rej := req.checkParts(); rej != nil {
			last.rejection = rej
			break
		}
		choice, ok := req.chooseEndpoint()
		if !ok {
			last.rejection = req.noEndpointRejection(last.rejection)
			break
		}
		last = req.attempt(choice)
		if last.done {
			return
		}
		req.excluded = append(req.excluded, choice.ID)
		if !last.retry {
			break
		}
	}
	req.answerFailure(last)
}

// answerFailure writes the endpoint's error response or a rejection.
func (req *request) answerFailure(last attemptResult) {
	if last.response != nil {
		req.writeBuffered(last.response)
		req.finish("failure of the endpoint", last.response.status)
		return
	}
	rej := last.rejection
	if req.sentCount == 0 && rej.retryAfter == 0 {
		rej.retryAfter = unreachableRetryAfter(req.proxy.opt.Now().Sub(req.arrivedAt), req.caller.Deadline)
	}
	if req.mayHaveRun && impliesNotRun(rej.status) {
		rej = &rejection{status: http.StatusBadGateway, reason: rej.reason}
	}
	req.reject(rej)
}

// callerGone reports whether the caller has disconnected.
func (req *request) callerGone() bool {
	return req.httpReq.Context().Err() != nil
}

// priority returns the request's priority, 0 being the highest. It orders by the organisation's priority first and the
// route's second.
func (req *request) priority() int {
	orgPriority := 0
	if req.org != nil {
		orgPriority = req.org.Priority
	}
	return max(0, orgPriority)*routePriorityLevels + min(max(0, req.route.Priority), routePriorityLevels-1)
}

// forwardInfo returns the header fields that the router sets on the forwarded request.
func (req *request) forwardInfo(choice place.Choice, after string) ForwardInfo {
	info := ForwardInfo{
		Endpoint: choice.ID, Deadline: req.deadline.Sub(req.proxy.opt.Now()), Priority: req.priority(),
		Engine: req.service.Engine != nil, LastEventID: after,
		FetchFrom: choice.FetchFrom,
	}
	if req.org != nil {
		info.Organisation = req.org.Name
	}
	return info
}

// send sends the request to an endpoint: over a connection of this instance, or by way of another instance while this one does not
// reach endpoints. A nil exchange means that nothing was sent.
func (req *request) send(choice place.Choice, after string) (exchange, error) {
	req.attempts++
	req.via, req.answered = netip.AddrPort{}, false
	p, ctx := req.proxy, req.httpReq.Context()
	now, dest := p.opt.Now(), egress.Dest{ID: choice.ID, Addr: choice.Addr, StartedAtMS: choice.StartedAtMS}
	if p.links.useOld(now) {
		if conn := p.idleConn(now, dest, req.caller.ID, req.mustProveStart()); conn != nil {
			return req.sendOn(conn, choice, after)
		}
	}
	if p.links.reached(now) {
		conn, err := p.pools.Dial(ctx, dest)
		if err == nil {
			return req.sendOn(conn, choice, after)
		}
		p.links.failed(p.opt.Now(), choice.ID)
		if p.links.reached(p.opt.Now()) {
			return nil, err
		}
		call, viaErr := req.sendVia(choice, after)
		if call == nil {
			return nil, errors.Join(err, viaErr)
		}
		return call, viaErr
	}
	call, err := req.sendVia(choice, after)
	if call != nil || !errors.Is(err, errNoInstance) {
		return call, err
	}
	conn, err := p.pools.Dial(ctx, dest)
	if err != nil {
		return nil, err
	}
	return req.sendOn(conn, choice, after)
}

// sendOn sends the request on a connection. A nil exchange means that nothing was sent.
func (req *request) sendOn(conn *egress.Conn, choice place.Choice, after string) (exchange, error) {
	p, ctx := req.proxy, req.httpReq.Context()
	if req.mustProveStart() {
		if err := p.proveStart(ctx, conn, startOf(choice)); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	h := endToEnd(req.httpReq.Header)
	p.opt.Dialect.EncodeRequest(h, req.forwardInfo(choice, after))
	req.sentAt = p.opt.Now()
	call, err := p.pools.Start(ctx, conn, &egress.Request{
		ID: req.caller.ID, Method: req.httpReq.Method, Target: req.httpReq.RequestURI, Host: req.httpReq.Host, Header: h, Body: req.body,
	}, req.deadline.Sub(p.opt.Now()))
	if errors.Is(err, egress.ErrUnsent) {
		p.links.broken(p.opt.Now(), choice.ID, conn.Reused(), false, false)
		call.Abort()
		return nil, err
	}
	return call, err
}

// attempt runs the request on one endpoint.
func (req *request) attempt(choice place.Choice) attemptResult {
	start := req.proxy.opt.Now()
	call, err := req.send(choice, "")
	if call == nil {
		return req.handleUnsent(choice, err)
	}
	req.sentCount++
	if err == nil {
		err = call.SetReadTimeout(req.firstResponseTimeout(start, &choice))
	}
	if err != nil {
		return req.handleBroken(choice, call, err)
	}
	silence := req.watchSilence(choice, call, "", req.mayTryOther)
	resp, info, err := req.readResponseHead(choice, call)
	next, err := silence.end(err)
	if err != nil {
		if result := req.handleBroken(choice, call, err); next == nil || result.done {
			next.abandon()
			return result
		}
		req.adopt(next.req)
		choice, call, resp, info, start = next.choice, next.call, next.resp, next.info, next.start
	}
	req.firstByteTime = req.proxy.opt.Now().Sub(req.arrivedAt)
	switch {
	case info.Misdirected, info.NotRun:
		result, _ := req.handleNotRun(choice, call, resp, info, refusalOutcome(info))
		return result
	case resp.Header.Get("Content-Encoding") != "", !info.Signed && resp.StatusCode < http.StatusMultipleChoices:
		return req.handleBroken(choice, call, errForeignResponse)
	}
	req.mayHaveRun = true
	if err := call.SetReadTimeout(req.deadline.Sub(req.proxy.opt.Now())); err != nil {
		return req.handleBroken(choice, call, err)
	}
	if req.route.Kind == table.Streaming && resp.StatusCode == http.StatusOK && !answer.IsJSON(resp.Header) {
		return req.relayStream(choice, call, resp, info, start)
	}
	req.proxy.opt.Chooser.RecordFirstAnswer(req.attemptID, req.proxy.opt.Now().Sub(start))
	if req.route.Kind != table.Streaming || resp.StatusCode == http.StatusOK {
		req.countUsage()
	}
	return req.relayBuffered(choice, call, resp, info)
}

// firstResponseTimeout returns how long to wait for an endpoint's first response. While another endpoint can be tried,
// this is a small multiple of the expected time, because a lost response never arrives.
func (req *request) firstResponseTimeout(now time.Time, choice *place.Choice) time.Duration {
	if !req.mayRetry() || choice.Alternatives == 0 {
		return req.deadline.Sub(now)
	}
	return req.expectedTimeout(now, choice)
}

// expectedTimeout returns how long an endpoint's first response may be expected to take.
func (req *request) expectedTimeout(now time.Time, choice *place.Choice) time.Duration {
	left, expected := req.deadline.Sub(now), choice.ExpectedLatency
	if req.route.Kind == table.Streaming {
		return min(left, max(req.route.LatencyTarget*streamTimeoutPercent/100, streamTimeoutFactor*expected))
	}
	return min(left, max(req.route.LatencyTarget*callTimeoutPercent/100, callTimeoutFactor*expected))
}

// readResponseHead reads the status line and header of the response that belongs to the request, and takes the notices that the
// endpoint gives in it or in responses that name earlier requests.
func (req *request) readResponseHead(choice place.Choice, call exchange) (*http.Response, ResponseInfo, error) {
	var info ResponseInfo
	unnamedRefusal := false
	resp, err := call.ReadResponse(func(resp *http.Response, first bool) bool {
		info = req.proxy.opt.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
		belongs := info.belongsTo(req.caller.ID, first)
		if belongs || info.ID != "" {
			req.takeNotices(choice, info)
		}
		if belongs {
			return true
		}
		req.noteSkipped(choice, resp, info)
		if info.isUnnamedRefusal() && !unnamedRefusal {
			unnamedRefusal = true
			req.limitWait(choice, call)
		}
		return false
	})
	switch {
	case err != nil && unnamedRefusal:
		req.proxy.noteUnnamedRefusal(startOf(choice))
		return nil, info, fmt.Errorf("%w: %v", errUnnamedRefusal, err)
	case err != nil:
		return nil, info, err
	}
	now := req.proxy.opt.Now()
	if info.isUnnamedRefusal() {
		req.proxy.noteUnnamedRefusal(startOf(choice))
	}
	req.answered, req.framing = true, answer.FramingOf(resp)
	if req.detoured() {
		req.proxy.links.triedByOther(now, choice.ID, true)
		return resp, info, nil
	}
	req.proxy.links.answered(now, !call.Reused())
	if info.Pause == 0 && !info.Misdirected {
		req.proxy.notices.MarkAnswered(now, startOf(choice))
	}
	return resp, info, nil
}
