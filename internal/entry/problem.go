package entry

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/once"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// Error codes of responses, in addition to those of package sched.
const (
	codeInvalidAPIKey   = "invalid_api_key"
	codeInvalidRequest  = "invalid_request"
	codeModelNotFound   = "model_not_found"
	codeTooLarge        = "too_large"
	codeNotReady        = "not_ready"
	codeQuarantined     = "quarantined"
	codeEndpointFailed  = "endpoint_failed"
	codeStreamBroken    = "stream_broken"
	codeKeyRequired     = "idempotency_key_required"
	codeKeyReused       = "idempotency_key_reused"
	codeInProgress      = "in_progress"
	codeOutcomeUnknown  = "outcome_unknown"
	codeRequestIDReused = "request_id_reused"
	codeCallerGone      = "caller_gone"
	codeNotFound        = "not_found"
)

// shortRetryDelay is the Retry-After of errors that are likely to be transient.
const shortRetryDelay = time.Second

// problem is an error response to the caller. ran is one of chat.RanYes, chat.RanNo and chat.RanUnknown; retryAfter is 0 if a retry
// doesn't help.
type problem struct {
	status     int
	code       string
	message    string
	ran        string
	retryAfter time.Duration
}

// Error returns the code and the message.
func (p *problem) Error() string {
	return p.code + ": " + p.message
}

func newProblem(status int, code, ran, format string, args ...any) *problem {
	return &problem{status: status, code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// withRetryAfter sets the delay after which the caller may retry, and returns the problem.
func (p *problem) withRetryAfter(delay time.Duration) *problem {
	p.retryAfter = delay
	return p
}

// response returns the body of the error response.
func (p *problem) response() chat.ErrorBody {
	errorType := "invalid_request_error"
	if p.status >= http.StatusInternalServerError {
		errorType = "server_error"
	}
	if p.status == http.StatusTooManyRequests {
		errorType = "rate_limit_error"
	}
	return chat.ErrorBody{Error: chat.Error{Message: p.message, Type: errorType, Code: p.code, Ran: p.ran, RetryAfter: p.retryAfterSeconds()}}
}

// retryAfterSeconds returns the retry delay in seconds, rounded up; 0 means that a retry doesn't help.
func (p *problem) retryAfterSeconds() int {
	return int((p.retryAfter + time.Second - 1) / time.Second)
}

// quarantinedProblem returns the problem of a request that is quarantined because it crashed endpoints.
func quarantinedProblem(ran string) *problem {
	return newProblem(http.StatusUnprocessableEntity, codeQuarantined, ran,
		"this request crashed the endpoints that ran it and is not run again")
}

// callerGoneProblem returns the problem of a run that has no readers left.
func callerGoneProblem(ran string) *problem {
	return newProblem(http.StatusServiceUnavailable, codeCallerGone, ran, "the caller has gone")
}

// refusalProblem returns the problem for a scheduler's refusal. ran is whether an earlier attempt of the request ran.
func refusalProblem(decision sched.Decision, ran string) *problem {
	var p *problem
	switch decision.Code {
	case sched.OverContract:
		p = newProblem(http.StatusTooManyRequests, string(decision.Code), ran, "the request is beyond the limits of its own contract")
	case sched.CeilingReached:
		p = newProblem(http.StatusPaymentRequired, string(decision.Code), ran, "the contract's spending ceiling is reached")
	case sched.NoEndpoint:
		p = newProblem(http.StatusServiceUnavailable, string(decision.Code), ran, "no endpoint serves it at present")
	case sched.QueueTimeout:
		p = newProblem(http.StatusServiceUnavailable, string(decision.Code), ran, "it waited as long as its class allows")
	default:
		p = newProblem(http.StatusServiceUnavailable, string(decision.Code), ran, "demand is above capacity")
	}
	return p.withRetryAfter(max(decision.RetryAfter, shortRetryDelay))
}

// endpointProblem returns the problem for an endpoint's error. A 4xx status of the endpoint is passed on.
func endpointProblem(err error, ran string) *problem {
	var refusal *relay.Refusal
	if errors.As(err, &refusal) && refusal.Status >= 400 && refusal.Status < 500 {
		return newProblem(refusal.Status, codeInvalidRequest, ran, "%s", refusal.Error())
	}
	return newProblem(http.StatusBadGateway, codeEndpointFailed, ran, "the endpoint failed: %v", err).withRetryAfter(shortRetryDelay)
}

// onceProblem returns the problem for the error of a call that may run at most once.
func onceProblem(err error) *problem {
	var p *problem
	var onceErr *once.Error
	switch {
	case errors.As(err, &p) && !errors.As(err, &onceErr):
		return p
	case !errors.As(err, &onceErr):
		return newProblem(http.StatusInternalServerError, codeOutcomeUnknown, chat.RanUnknown, "%v", err)
	}
	problemOf := func(status int, code string) *problem {
		return newProblem(status, code, onceErr.Ran(), "%s", onceErr.Reason)
	}
	switch onceErr.Reason {
	case once.ClaimNotRecorded, once.AttemptVoided, once.ConfigNotCurrent, once.CallerLeft:
		return problemOf(http.StatusServiceUnavailable, codeNotReady).withRetryAfter(shortRetryDelay)
	case once.EndpointUnreachable:
		return endpointProblem(onceErr.Err, onceErr.Ran())
	case once.KeyReused:
		return problemOf(http.StatusUnprocessableEntity, codeKeyReused)
	case once.InProgress:
		return problemOf(http.StatusConflict, codeInProgress).withRetryAfter(shortRetryDelay)
	case once.ClaimNotRead:
		return problemOf(http.StatusServiceUnavailable, codeInProgress).withRetryAfter(shortRetryDelay)
	case once.AnswerTooLarge:
		return problemOf(http.StatusConflict, codeInProgress)
	}
	return problemOf(http.StatusGatewayTimeout, codeOutcomeUnknown)
}
