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

// Codes of refusals, beside those of package sched.
const (
	codeKey         = "invalid_api_key"
	codeBad         = "invalid_request"
	codeModel       = "model_not_found"
	codeTooLarge    = "too_large"
	codeNotReady    = "not_ready"
	codeQuarantined = "quarantined"
	codeEndpoint    = "endpoint_failed"
	codeTruncated   = "stream_broken"
	codeNeedKey     = "idempotency_key_required"
	codeKeyReused   = "idempotency_key_reused"
	codeProgress    = "in_progress"
	codeUnknown     = "outcome_unknown"
	codeReused      = "request_id_reused"
	codeGone        = "caller_gone"
	codeNoRoute     = "not_found"
)

// retrySoon is when to come back after a refusal that a moment may mend.
const retrySoon = time.Second

// problem is a refusal or failure as the caller sees it.
type problem struct {
	status  int
	code    string
	message string
	ran     string
	retry   time.Duration
}

// Error returns the code and the message.
func (p *problem) Error() string {
	return p.code + ": " + p.message
}

func newProblem(status int, code, ran, format string, args ...any) *problem {
	return &problem{status: status, code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// after sets when to come back.
func (p *problem) after(d time.Duration) *problem {
	p.retry = d
	return p
}

func (p *problem) body() chat.Failure {
	kind := "invalid_request_error"
	if p.status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	if p.status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return chat.Failure{Error: chat.Error{Message: p.message, Type: kind, Code: p.code, Ran: p.ran, Retry: p.seconds()}}
}

// seconds returns when to come back in whole seconds, rounded up; 0 means that coming back does not help.
func (p *problem) seconds() int {
	return int((p.retry + time.Second - 1) / time.Second)
}

// crashing refuses a request that crashed endpoints.
func crashing(ran string) *problem {
	return newProblem(http.StatusUnprocessableEntity, codeQuarantined, ran,
		"this request crashed the endpoints that ran it and is not run again")
}

// callerGone ends a run that nobody reads any more.
func callerGone(ran string) *problem {
	return newProblem(http.StatusServiceUnavailable, codeGone, ran, "the caller has gone")
}

// refused turns a scheduler's refusal into a problem; ran tells whether an earlier attempt of the request ran.
func refused(v sched.Decision, ran string) *problem {
	var p *problem
	switch v.Code {
	case sched.OverContract:
		p = newProblem(http.StatusTooManyRequests, string(v.Code), ran, "the request is beyond the limits of its own contract")
	case sched.CeilingReached:
		p = newProblem(http.StatusPaymentRequired, string(v.Code), ran, "the contract's spending ceiling is reached")
	case sched.NoEndpoint:
		p = newProblem(http.StatusServiceUnavailable, string(v.Code), ran, "no endpoint serves it at present")
	case sched.QueueTimeout:
		p = newProblem(http.StatusServiceUnavailable, string(v.Code), ran, "it waited as long as its class allows")
	default:
		p = newProblem(http.StatusServiceUnavailable, string(v.Code), ran, "demand is above capacity")
	}
	return p.after(max(v.RetryAfter, retrySoon))
}

// failed turns an endpoint's failure into a problem.
func failed(err error, ran string) *problem {
	var r *relay.Refusal
	if errors.As(err, &r) && r.Status >= 400 && r.Status < 500 {
		return newProblem(r.Status, codeBad, ran, "%s", r.Error())
	}
	return newProblem(http.StatusBadGateway, codeEndpoint, ran, "the endpoint failed: %v", err).after(retrySoon)
}

// unanswered turns the outcome of a call that may not be repeated into a problem.
func unanswered(err error) *problem {
	var p *problem
	var o *once.Error
	switch {
	case errors.As(err, &p) && !errors.As(err, &o):
		return p
	case !errors.As(err, &o):
		return newProblem(http.StatusInternalServerError, codeUnknown, chat.RanUnknown, "%v", err)
	}
	mk := func(status int, code string) *problem { return newProblem(status, code, o.Ran(), "%s", o.Why) }
	switch o.Why {
	case once.NoClaim, once.Voided, once.Outdated, once.Left:
		return mk(http.StatusServiceUnavailable, codeNotReady).after(retrySoon)
	case once.Unsent:
		return failed(o.Err, o.Ran())
	case once.Reused:
		return mk(http.StatusUnprocessableEntity, codeKeyReused)
	case once.Progress:
		return mk(http.StatusConflict, codeProgress).after(retrySoon)
	case once.Unreadable:
		return mk(http.StatusServiceUnavailable, codeProgress).after(retrySoon)
	case once.Large:
		return mk(http.StatusConflict, codeProgress)
	}
	return mk(http.StatusGatewayTimeout, codeUnknown)
}
