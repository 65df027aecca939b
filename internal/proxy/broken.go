package proxy

import (
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/detour"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// refusalBodyTimeout bounds the wait for the body of a refusal, which tells whether the refusal is broken. Without the end of the body,
	// the connection is not kept.
	refusalBodyTimeout = 50 * time.Millisecond
	// fullRetryAfter is the Retry-After when endpoints are at capacity.
	fullRetryAfter = 500 * time.Millisecond
)

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

// handleNotRun handles an endpoint's response that it has not run the request. declined is unset if the response is broken, and the request
// may have run.
func (req *request) handleNotRun(choice place.Choice, call exchange, resp *http.Response, info ResponseInfo,
	outcome place.Outcome) (result attemptResult, declined bool) {
	err := call.SetReadTimeout(min(refusalBodyTimeout, req.deadline.Sub(req.proxy.opt.Now())))
	if err == nil {
		err = call.SkipBody(resp)
	}
	switch {
	case err == nil:
		releaseRefused(req.proxy.opt.Now(), call, resp, info)
	case isTimeout(err), errors.Is(err, answer.ErrTooLarge):
		req.log.Debug("rest of a refusal not read", zap.String("endpoint", choice.ID), zap.Error(err))
		call.Abort()
	default:
		return req.handleBroken(choice, call, err), false
	}
	req.declinedCount++
	req.proxy.opt.Chooser.RecordOutcome(req.attemptID, outcome)
	req.log.Info("endpoint declined", zap.String("run", req.attemptID), zap.String("endpoint", choice.ID), zap.Int("status", resp.StatusCode),
		zap.Bool("named", info.ID != ""), zap.Bool("reused", call.Reused()), zap.Duration("after", req.proxy.opt.Now().Sub(req.sentAt)))
	return attemptResult{retry: true, rejection: &rejection{
		status: http.StatusServiceUnavailable, reason: "endpoint full", retryAfter: fullRetryAfter,
	}}, true
}

// refusalOutcome returns the outcome of an attempt that was refused as not run.
func refusalOutcome(info ResponseInfo) place.Outcome {
	if info.Misdirected {
		return place.WrongEndpoint
	}
	return place.Declined
}

// releaseRefused ends an exchange whose request was refused as not run. The connection is closed if the refusal does not name its
// request, or is not marked as a failure by its status: a late copy of it could not be told from the answer to a later request.
func releaseRefused(now time.Time, call exchange, resp *http.Response, info ResponseInfo) {
	if info.ID == "" || resp.StatusCode < http.StatusBadRequest {
		call.Abort()
		return
	}
	call.Release(now, resp, egress.IdleTimeout(info.IdleTimeout))
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

// impliesNotRun reports whether a status tells the caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
