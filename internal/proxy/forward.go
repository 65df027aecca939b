package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// routePriorityLevels is the number of route priorities distinguished within one organisation priority.
	routePriorityLevels = 3
	// maxAttempts bounds the attempts of one request, including those whose connection fails.
	maxAttempts = 4
	// maxBufferedResponseBytes is the largest response that is buffered completely before it is forwarded, in bytes.
	maxBufferedResponseBytes = 1 << 20
	// The timeout for the first response is a percentage of the route's target latency or a multiple of the expected
	// time, whichever is longer. A call is short and may still meet its target at another endpoint; a stream that
	// restarts has to process its prompt again.
	callTimeoutPercent   = 50
	callTimeoutFactor    = 3
	streamTimeoutPercent = 150
	streamTimeoutFactor  = 6
	// refusalBodyTimeout bounds the wait for the body of a refusal, which is only read to keep the connection.
	refusalBodyTimeout = 50 * time.Millisecond
	// fullRetryAfter is the Retry-After when endpoints are at capacity.
	fullRetryAfter = 500 * time.Millisecond
	// unreachableMaxRetryAfter is the longest Retry-After when no endpoint of a service was reachable. A crashed
	// endpoint takes seconds to restart.
	unreachableMaxRetryAfter = 3 * time.Second
	// retryAfterDivisor limits Retry-After to this fraction of the caller's remaining time.
	retryAfterDivisor = 3
)

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

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
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
	if req.mayHaveRun && req.route.Kind != table.Idempotent && rej.status == http.StatusServiceUnavailable {
		rej = &rejection{status: http.StatusBadGateway, reason: rej.reason}
	}
	req.reject(rej)
}

// unreachableRetryAfter returns the Retry-After when no endpoint of the service was reachable: long enough for crashed
// endpoints to restart, but within the caller's deadline, as it may not get a third attempt.
func unreachableRetryAfter(elapsed, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return unreachableMaxRetryAfter
	}
	return max(defaultRetryAfter, min(unreachableMaxRetryAfter, (deadline-elapsed)/retryAfterDivisor))
}

// takeRetry takes one retry from the service's retry window. While no attempt has sent anything, it costs nothing.
func (req *request) takeRetry(now time.Time) bool {
	if req.sentCount == 0 || req.retryReserved.Swap(false) {
		return true
	}
	if req.retryWindow.AllowRetry(now, req.proxy.opt.RetryAllowance()) {
		return true
	}
	req.log.Info("not repeated: the budget is spent", zap.String("service", req.service.Name))
	return false
}

// waitOn returns how much longer to wait for an endpoint that has not answered in time, or 0 if a retry is reserved for the request.
// Without a retry, giving up gains nothing: the endpoint may be silent for a short time only.
func (req *request) waitOn() time.Duration {
	now := req.proxy.opt.Now()
	if req.mayRetry() && req.takeRetry(now) {
		req.retryReserved.Store(true)
		return 0
	}
	return max(0, req.deadline.Sub(now))
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
		if conn := p.pools.Idle(now, dest); conn != nil {
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
		Method: req.httpReq.Method, Target: req.httpReq.RequestURI, Host: req.httpReq.Host, Header: h, Body: req.body,
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
		call.OnTimeout(req.waitOn)
		err = call.SetReadTimeout(req.firstResponseTimeout(start, &choice))
	}
	if err != nil {
		return req.handleBroken(choice, call, err)
	}
	resp, info, err := req.readResponseHead(choice, call)
	if err != nil {
		return req.handleBroken(choice, call, err)
	}
	req.firstByteTime = req.proxy.opt.Now().Sub(req.arrivedAt)
	switch {
	case info.Misdirected:
		return req.handleNotRun(choice, call, resp, info, place.WrongEndpoint)
	case info.NotRun:
		return req.handleNotRun(choice, call, resp, info, place.Declined)
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
	return req.relayBuffered(choice, call, resp, info)
}

// repeatable reports whether the request may run more than once.
func (req *request) repeatable() bool {
	return req.route.Kind == table.Idempotent || req.route.Kind == table.Streaming && req.route.Resumable
}

// mayRetry reports whether the request may be sent to another endpoint although this one may have run it.
func (req *request) mayRetry() bool {
	return req.repeatable() && !req.suspect && req.sentCount < req.route.MaxAttempts
}

// firstResponseTimeout returns how long to wait for an endpoint's first response. While another endpoint can be tried,
// this is a small multiple of the expected time, because a lost response never arrives.
func (req *request) firstResponseTimeout(now time.Time, choice *place.Choice) time.Duration {
	left, expected := req.deadline.Sub(now), choice.ExpectedLatency
	if !req.mayRetry() || choice.Alternatives == 0 {
		return left
	}
	if req.route.Kind == table.Streaming {
		return min(left, max(req.route.LatencyTarget*streamTimeoutPercent/100, streamTimeoutFactor*expected))
	}
	return min(left, max(req.route.LatencyTarget*callTimeoutPercent/100, callTimeoutFactor*expected))
}

var errForeignResponse = errors.New("the answer is not one that the endpoint made for this request")

// readResponseHead reads the status line and header of the response that belongs to the request, and takes the notices that the
// endpoint gives in it or in responses to earlier requests.
func (req *request) readResponseHead(choice place.Choice, call exchange) (*http.Response, ResponseInfo, error) {
	var info ResponseInfo
	resp, err := call.ReadResponse(func(resp *http.Response) bool {
		info = req.proxy.opt.Dialect.DecodeResponse(resp.StatusCode, resp.Header)
		req.takeNotices(choice, info)
		return info.belongsTo(req.caller.ID)
	})
	if err != nil {
		return nil, info, err
	}
	now := req.proxy.opt.Now()
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

// handleUnsent handles an attempt for which nothing was sent.
func (req *request) handleUnsent(choice place.Choice, err error) attemptResult {
	outcome := place.ConnectFailed
	if req.proxy.links.isCut(req.proxy.opt.Now()) || errors.Is(err, errStartUntold) {
		// The failure says nothing about whether the endpoint runs.
		outcome = place.Withdrawn
	}
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, outcome)
	req.log.Info("endpoint not reached", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID), zap.Error(err))
	return attemptResult{retry: true, rejection: &rejection{status: http.StatusServiceUnavailable, reason: "endpoint not reached"}}
}

// handleNotRun handles an endpoint's response that it has not run the request.
func (req *request) handleNotRun(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo,
	outcome place.Outcome) attemptResult {
	err := call.SetReadTimeout(min(refusalBodyTimeout, req.deadline.Sub(req.proxy.opt.Now())))
	if err == nil {
		err = call.SkipBody(resp)
	}
	if err != nil {
		req.log.Debug("rest of a refusal not read", zap.String("endpoint", choice.ID), zap.Error(err))
		call.Abort()
	} else {
		call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	}
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, outcome)
	req.log.Info("endpoint declined", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID), zap.Int("status", resp.StatusCode))
	return attemptResult{retry: true, rejection: &rejection{
		status: http.StatusServiceUnavailable, reason: "endpoint full", retryAfter: fullRetryAfter,
	}}
}

// handleBroken handles an attempt that may have run the request but returned no complete response.
func (req *request) handleBroken(choice place.Choice, call exchange, err error) attemptResult {
	call.Abort()
	req.mayHaveRun = true
	now := req.proxy.opt.Now()
	if !req.callerGone() {
		req.recordBroken(now, choice, call, err)
	}
	outcome, rej := place.ConnectionLost, &rejection{status: http.StatusBadGateway, reason: "the endpoint broke off"}
	switch {
	case req.callerGone():
		req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.CallerLeft)
		req.finish("caller left", 0)
		return attemptResult{done: true}
	case !now.Before(req.deadline), isTimeout(err):
		outcome, rej = place.TimedOut, &rejection{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	case errors.Is(err, errForeignResponse):
		outcome = place.Failed
	default:
		if !req.detoured() {
			req.reportIfCrashed(choice)
		}
		req.suspect = !req.sound && req.proxy.opt.View().Parts.AnySuspected(req.service.Name, req.sharedParts())
	}
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, outcome)
	retry := req.mayRetry()
	req.log.Warn("endpoint failed", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID), zap.Bool("reused", call.Reused()),
		zap.Bool("again", retry), zap.String("framing", string(req.framing)), zap.Int("partial", req.partialBytes), zap.Error(err))
	return attemptResult{retry: retry, rejection: rej}
}

// recordBroken records what a broken attempt says of the links of this instance, or of the one by way of which it was sent.
func (req *request) recordBroken(now time.Time, choice place.Choice, call exchange, err error) {
	switch {
	case errors.Is(err, errForeignResponse), errors.Is(err, errCallerWrite), !now.Before(req.deadline):
	case req.detoured():
		if errors.Is(err, detour.ErrWay) && !isTimeout(err) {
			req.proxy.detours.avoid(now, req.via)
		}
	default:
		req.proxy.links.broken(now, choice.ID, call.Reused(), isTimeout(err), req.answered)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// relayBuffered forwards a response once it is complete, or as it arrives if it is larger than maxBufferedResponseBytes.
func (req *request) relayBuffered(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo) attemptResult {
	if resp.ContentLength > maxBufferedResponseBytes {
		return req.relayUnbuffered(choice, call, resp, info)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, maxBufferedResponseBytes+1))
	if err != nil {
		return req.handleBroken(choice, call, err)
	}
	if n > maxBufferedResponseBytes {
		resp.Body = readCloser{io.MultiReader(&buf, resp.Body), resp.Body}
		return req.relayUnbuffered(choice, call, resp, info)
	}
	if err := answer.CheckBody(req.framing, resp.Header, buf.Bytes()); err != nil {
		return req.handleBroken(choice, call, err)
	}
	buffered := &bufferedResponse{status: resp.StatusCode, header: endToEnd(resp.Header), body: buf.Bytes()}
	call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	if buffered.status < http.StatusInternalServerError && !impliesNotRun(buffered.status) {
		req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Completed)
		req.clearCrashReport()
		req.markSound()
		req.writeBuffered(buffered)
		req.finish("answered", buffered.status)
		return attemptResult{done: true}
	}
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Failed)
	retry := req.mayRetry()
	req.log.Info("endpoint answered with a failure", zap.String("run", req.attemptID),
		zap.String("endpoint", choice.ID), zap.Int("status", buffered.status),
		zap.Bool("again", retry))
	if impliesNotRun(buffered.status) {
		return attemptResult{retry: retry, rejection: &rejection{status: http.StatusBadGateway, reason: "the endpoint failed"}}
	}
	return attemptResult{retry: retry, response: buffered, rejection: &rejection{status: http.StatusBadGateway, reason: "the endpoint failed"}}
}

// impliesNotRun reports whether a status tells the caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

type readCloser struct {
	io.Reader
	io.Closer
}

// writeBuffered writes a buffered response of an endpoint to the caller.
func (req *request) writeBuffered(resp *bufferedResponse) {
	h := req.writer.Header()
	for k, v := range resp.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	req.writer.WriteHeader(resp.status)
	if _, err := req.writer.Write(resp.body); err != nil {
		req.log.Info("answer not delivered", zap.Error(err))
	}
}

// relayUnbuffered forwards a large response as it arrives.
func (req *request) relayUnbuffered(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo) attemptResult {
	h := req.writer.Header()
	for k, v := range endToEnd(resp.Header) {
		h[k] = v
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	req.writer.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(req.writer, resp.Body); err != nil {
		result := req.handleBroken(choice, call, err)
		req.abort(result)
	}
	call.Release(req.proxy.opt.Now(), resp, egress.IdleTimeout(info.IdleTimeout))
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, place.Completed)
	req.finish("answered", resp.StatusCode)
	return attemptResult{done: true}
}

// abort closes the caller's connection so that a partial response is not mistaken for a complete one.
func (req *request) abort(result attemptResult) {
	if !result.done {
		req.finish("broken off: "+result.rejection.reason, 0)
	}
	if !req.httpReq.ProtoAtLeast(1, 1) {
		req.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection, so that its end is not taken for the end of a response without chunks.
func (req *request) resetConnection() {
	c, _, err := http.NewResponseController(req.writer).Hijack()
	if err != nil {
		req.log.Warn("connection of the caller not reset", zap.Error(err))
		return
	}
	lingerer, ok := c.(interface{ SetLinger(seconds int) error })
	if !ok || lingerer.SetLinger(0) != nil {
		req.log.Warn("connection of the caller not reset", zap.String("type", fmt.Sprintf("%T", c)))
	}
	_ = c.Close()
}
