package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// routePriorities is the number of routes' priorities that are told apart within an organisation's.
	routePriorities = 3
	// maxTries bounds how often a request is sent or a connection for it is tried.
	maxTries = 4
	// wholeAnswer is the largest answer that is read whole before any of it is passed on, in bytes.
	wholeAnswer = 1 << 20
	// noEndpointPause is the time between two looks for an endpoint.
	noEndpointPause = 50 * time.Millisecond
	// noEndpointPart is the part of a request's target for which an endpoint is waited for, one in noEndpointPart.
	noEndpointPart = 8
	// A first answer is waited for during a part of the target, in percent, or so many times the expected time, whichever is
	// longer. Calls are short and may still be on time elsewhere; a stream that starts anew reads its prompt once more.
	callPercent   = 50
	callFactor    = 3
	streamPercent = 150
	streamFactor  = 6
	// retryFull is when to come back to endpoints that are full.
	retryFull = 500 * time.Millisecond
	// retryDown is when to come back to a service of which no endpoint was reached: one that crashed takes seconds to start.
	retryDown = 3 * time.Second
	// waitPart is the part of its time, one in waitPart, that a caller waits at most before it comes back.
	waitPart = 3
)

// next tells how to go on after a try.
type next struct {
	// done: the caller has its answer, or is gone.
	done bool
	// again: the request may be sent once more; if it is not, refusal is the answer.
	again   bool
	refusal *refusal
	// saved is an endpoint's own failure, which is the answer if the request is not sent once more.
	saved *saved
}

// saved is a whole answer of an endpoint.
type saved struct {
	status int
	header http.Header
	body   []byte
}

// serve has the request run and answers it.
func (q *request) serve() {
	q.budget.AddRequest(q.arrived, q.p.opt.Share())
	last := next{refusal: &refusal{status: http.StatusServiceUnavailable, reason: "no time left", after: retrySoon}}
	for q.tries < maxTries {
		now := q.p.opt.Now()
		if q.gone() {
			q.end("caller left", 0)
			return
		}
		if q.until.Sub(now) < leastLeft {
			break
		}
		if q.tries > 0 && !q.mayRepeat(now) {
			break
		}
		c, ok := q.choose()
		if !ok {
			if q.tries == 0 {
				last.refusal = &refusal{status: http.StatusServiceUnavailable, reason: "no endpoint"}
			}
			break
		}
		last = q.try(c)
		if last.done {
			return
		}
		q.avoid = append(q.avoid, c.ID)
		if !last.again {
			break
		}
	}
	q.answerLast(last)
}

// answerLast answers with an endpoint's own failure or a refusal.
func (q *request) answerLast(last next) {
	if last.saved != nil {
		q.pass(last.saved)
		q.end("failure of the endpoint", last.saved.status)
		return
	}
	f := last.refusal
	if q.sent == 0 && f.after == 0 {
		f.after = downPause(q.p.opt.Now().Sub(q.arrived), q.caller.Deadline)
	}
	if q.ran && q.route.Kind != table.Repeat && f.status == http.StatusServiceUnavailable {
		f = &refusal{status: http.StatusBadGateway, reason: f.reason}
	}
	q.refuse(f)
}

// downPause returns when a caller shall come back to a service of which no endpoint was reached: once endpoints that crashed
// may be back, but within the time that the caller waits, as it may not try a third time.
func downPause(took, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return retryDown
	}
	return max(retrySoon, min(retryDown, (deadline-took)/waitPart))
}

// mayRepeat takes a repeat from the service's budget.
func (q *request) mayRepeat(now time.Time) bool {
	if q.sent == 0 {
		return true
	}
	if q.budget.AllowRetry(now, q.p.opt.Share()) {
		return true
	}
	q.log.Info("not repeated: the budget is spent", zap.String("service", q.service.Name))
	return false
}

// gone reports whether the caller has left.
func (q *request) gone() bool {
	return q.r.Context().Err() != nil
}

// choose has an endpoint chosen, and waits a little for one where there is none.
func (q *request) choose() (place.Choice, bool) {
	patience := q.arrived.Add(q.route.Target / noEndpointPart)
	for {
		now := q.p.opt.Now()
		q.run = q.caller.ID + "/" + strconv.FormatUint(q.p.serial.Add(1), 36)
		c, shared, err := q.p.opt.Chooser.Pick(q.r.Context(), place.Request{
			AttemptID: q.run, Service: q.service.Name, Priority: q.priority(), Bytes: len(q.body), Input: q.caller.Input, Output: q.caller.Output,
			Parts: q.caller.Parts, Avoid: q.avoid, Target: q.route.Target, TimeLeft: q.until.Sub(now),
		})
		if err == nil {
			q.log.Info("endpoint chosen", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Bool("shared", shared),
				zap.Duration("age", c.LoadAge), zap.Uint64("table", q.version), zap.Int("priority", q.priority()), zap.Int("input", q.caller.Input),
				zap.Int("need", c.PrefillTokens), zap.Int("moved", c.FetchTokens), zap.Int("running", c.Running), zap.Int("others", c.Alternatives),
				zap.Duration("expected", c.ExpectedLatency), zap.Int("try", q.tries), zap.Duration("waited", now.Sub(q.arrived)),
				zap.Duration("took", q.p.opt.Now().Sub(now)))
			return c, true
		}
		if len(q.avoid) > 0 {
			// All others are gone: the one that failed before is better than none.
			q.log.Info("no other endpoint", zap.String("service", q.service.Name), zap.Strings("avoided", q.avoid))
			q.avoid = nil
			continue
		}
		if now.After(patience) || !pace.Pause(q.r.Context(), noEndpointPause) {
			q.log.Info("no endpoint", zap.String("service", q.service.Name), zap.Bool("shared", shared), zap.Uint64("table", q.version))
			return c, false
		}
	}
}

// priority returns the request's rank, 0 first: by the organisation's priority and then by the route's.
func (q *request) priority() int {
	org := 0
	if q.org != nil {
		org = q.org.Priority
	}
	return max(0, org)*routePriorities + min(max(0, q.route.Priority), routePriorities-1)
}

// sending returns what the router sets on the request.
func (q *request) sending(c place.Choice, after string) Sending {
	s := Sending{
		Endpoint: c.ID, Deadline: q.until.Sub(q.p.opt.Now()), Priority: q.priority(), Engine: q.service.Engine != nil, After: after,
		Source: c.FetchFrom,
	}
	if q.org != nil {
		s.Organisation = q.org.Name
	}
	return s
}

// send sends the request to an endpoint; where call is nil nothing was sent.
func (q *request) send(c place.Choice, after string) (*egress.Call, error) {
	q.tries++
	ctx := q.r.Context()
	conn, err := q.p.pools.Get(ctx, q.p.opt.Now(), egress.Dest{ID: c.ID, Addr: c.Addr, Born: c.StartedMs})
	if err != nil {
		return nil, err
	}
	h := endToEnd(q.r.Header)
	q.p.opt.Dialect.Forward(h, q.sending(c, after))
	call, err := q.p.pools.Start(ctx, conn, &egress.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Header: h, Body: q.body,
	}, q.until.Sub(q.p.opt.Now()))
	if errors.Is(err, egress.ErrUnsent) {
		call.Drop()
		return nil, err
	}
	return call, err
}

// try gives the request to one endpoint.
func (q *request) try(c place.Choice) next {
	began := q.p.opt.Now()
	call, err := q.send(c, "")
	if call == nil {
		return q.unsent(c, err)
	}
	q.sent++
	if err == nil {
		err = call.Await(q.firstPatience(began, &c))
	}
	if err != nil {
		return q.broken(c, call, err)
	}
	resp, ans, err := q.answer(call)
	if err != nil {
		return q.broken(c, call, err)
	}
	q.first = q.p.opt.Now().Sub(q.arrived)
	switch {
	case ans.Misled:
		return q.notRun(c, call, resp, ans, place.WrongEndpoint)
	case ans.NotRun:
		return q.notRun(c, call, resp, ans, place.Declined)
	case resp.Header.Get("Content-Encoding") != "", !ans.Signed && resp.StatusCode < http.StatusMultipleChoices:
		return q.broken(c, call, errForeign)
	}
	q.ran = true
	if err := call.Await(q.until.Sub(q.p.opt.Now())); err != nil {
		return q.broken(c, call, err)
	}
	if q.route.Kind == table.Stream && resp.StatusCode == http.StatusOK {
		return q.stream(c, call, resp, ans, began)
	}
	q.p.opt.Chooser.First(q.run, q.p.opt.Now().Sub(began))
	return q.whole(c, call, resp, ans)
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.Kind == table.Repeat || q.route.Kind == table.Stream && q.route.Resume
}

// mayTryAgain reports whether the request may be given to another endpoint although this one may have run it.
func (q *request) mayTryAgain() bool {
	return q.repeatable() && q.sent < q.route.Attempts
}

// firstPatience returns how long the first answer of an endpoint is waited for. While another endpoint may be tried, that is a
// few times what was expected; answers that are lost on their way never come.
func (q *request) firstPatience(now time.Time, c *place.Choice) time.Duration {
	left, expected := q.until.Sub(now), c.ExpectedLatency
	if !q.mayTryAgain() || c.Alternatives == 0 {
		return left
	}
	if q.route.Kind == table.Stream {
		return min(left, max(q.route.Target*streamPercent/100, streamFactor*expected))
	}
	return min(left, max(q.route.Target*callPercent/100, callFactor*expected))
}

var errForeign = errors.New("the answer is not one that the endpoint made for this request")

// answer reads the head of the answer that belongs to the request.
func (q *request) answer(call *egress.Call) (*http.Response, Answer, error) {
	var ans Answer
	resp, err := call.Answer(func(r *http.Response) bool {
		ans = q.p.opt.Dialect.Answer(r.StatusCode, r.Header)
		return ans.ID == q.caller.ID || ans.ID == "" && (ans.NotRun || ans.Misled)
	})
	return resp, ans, err
}

// unsent goes on after a try of which nothing was sent.
func (q *request) unsent(c place.Choice, err error) next {
	q.p.opt.Chooser.End(q.run, place.ConnectFailed)
	q.log.Info("endpoint not reached", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Error(err))
	return next{again: true, refusal: &refusal{status: http.StatusServiceUnavailable, reason: "endpoint not reached"}}
}

// notRun goes on after an endpoint said that it has not run the request.
func (q *request) notRun(c place.Choice, call *egress.Call, resp *http.Response, ans Answer, o place.Outcome) next {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeAnswer)); err != nil {
		call.Drop()
	} else {
		call.Keep(q.p.opt.Now(), resp, egress.Idle(ans.Keep))
	}
	q.p.opt.Chooser.End(q.run, o)
	q.log.Info("endpoint declined", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Int("status", resp.StatusCode))
	return next{again: true, refusal: &refusal{status: http.StatusServiceUnavailable, reason: "endpoint full", after: retryFull}}
}

// broken goes on after a try that may have run the request without a whole answer.
func (q *request) broken(c place.Choice, call *egress.Call, err error) next {
	call.Drop()
	q.ran = true
	now := q.p.opt.Now()
	o, f := place.ConnectionLost, &refusal{status: http.StatusBadGateway, reason: "the endpoint broke off"}
	switch {
	case q.gone():
		q.p.opt.Chooser.End(q.run, place.CallerLeft)
		q.end("caller left", 0)
		return next{done: true}
	case !now.Before(q.until), isTimeout(err):
		o, f = place.TimedOut, &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time"}
	case errors.Is(err, errForeign):
		o = place.Failed
	default:
		q.suspect(c)
	}
	q.p.opt.Chooser.End(q.run, o)
	again := q.mayTryAgain()
	q.log.Warn("endpoint failed", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Bool("reused", call.Reused()),
		zap.Bool("again", again), zap.Error(err))
	return next{again: again, refusal: f}
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// whole passes an answer on once all of it is there, or as it comes where it is large.
func (q *request) whole(c place.Choice, call *egress.Call, resp *http.Response, ans Answer) next {
	if resp.ContentLength > wholeAnswer {
		return q.copyBody(c, call, resp, ans)
	}
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(resp.Body, wholeAnswer+1))
	if err != nil {
		return q.broken(c, call, err)
	}
	if n > wholeAnswer {
		resp.Body = readCloser{io.MultiReader(&buf, resp.Body), resp.Body}
		return q.copyBody(c, call, resp, ans)
	}
	s := &saved{status: resp.StatusCode, header: endToEnd(resp.Header), body: buf.Bytes()}
	call.Keep(q.p.opt.Now(), resp, egress.Idle(ans.Keep))
	if s.status < http.StatusInternalServerError && !promise(s.status) {
		q.p.opt.Chooser.End(q.run, place.Completed)
		q.absolve()
		q.pass(s)
		q.end("answered", s.status)
		return next{done: true}
	}
	q.p.opt.Chooser.End(q.run, place.Failed)
	again := q.mayTryAgain()
	q.log.Info("endpoint answered with a failure", zap.String("run", q.run), zap.String("endpoint", c.ID), zap.Int("status", s.status),
		zap.Bool("again", again))
	if promise(s.status) {
		return next{again: again, refusal: &refusal{status: http.StatusBadGateway, reason: "the endpoint failed"}}
	}
	return next{again: again, saved: s, refusal: &refusal{status: http.StatusBadGateway, reason: "the endpoint failed"}}
}

// promise reports whether a status tells the caller that its request has not run.
func promise(status int) bool {
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

// pass answers with an endpoint's answer.
func (q *request) pass(s *saved) {
	h := q.w.Header()
	for k, v := range s.header {
		h[k] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(s.body)))
	q.w.WriteHeader(s.status)
	if _, err := q.w.Write(s.body); err != nil {
		q.log.Info("answer not delivered", zap.Error(err))
	}
}

// copyBody passes a large answer on as it comes.
func (q *request) copyBody(c place.Choice, call *egress.Call, resp *http.Response, ans Answer) next {
	h := q.w.Header()
	for k, v := range endToEnd(resp.Header) {
		h[k] = v
	}
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	q.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(q.w, resp.Body); err != nil {
		n := q.broken(c, call, err)
		q.abort(n)
	}
	call.Keep(q.p.opt.Now(), resp, egress.Idle(ans.Keep))
	q.p.opt.Chooser.End(q.run, place.Completed)
	q.end("answered", resp.StatusCode)
	return next{done: true}
}

// abort breaks the caller's connection, so that a part of an answer is not taken for the whole.
func (q *request) abort(n next) {
	if !n.done {
		q.end("broken off: "+n.refusal.reason, 0)
	}
	panic(http.ErrAbortHandler)
}
