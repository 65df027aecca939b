package once

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// Reasons why a call has no answer.
const (
	ClaimNotRecorded    Reason = "the claim on the key could not be recorded"
	AttemptVoided       Reason = "an earlier attempt with this key was given up before it was sent"
	ConfigNotCurrent    Reason = "this instance cannot prove that its configuration is current"
	EndpointUnreachable Reason = "the endpoint could not be reached"
	KeyReused           Reason = "the key was used for another call"
	InProgress          Reason = "a call with this key is in progress"
	ClaimNotRead        Reason = "the claim on the key could not be read"
	AnswerTooLarge      Reason = "the call has run; its answer was too large to be kept"
	CallerLeft          Reason = "the caller has gone"
	OutcomeUnknown      Reason = "the service may or may not have run the call; it is not run again under this key"
)

type (
	// Log is the replicated log.
	Log interface {
		Propose(context.Context, ctrl.Command) (ctrl.Result, error)
		Read(context.Context, quorum.Query) (quorum.QueryResult, error)
	}

	// Service sends calls to endpoints. CallOnce sends a call without any retry, Outcome asks an endpoint for the answer of an
	// earlier call with the given key.
	Service interface {
		CallOnce(context.Context, netip.AddrPort, relay.Call) (relay.Reply, error)
		Outcome(context.Context, netip.AddrPort, string) (relay.Reply, bool, error)
	}

	// Grant is the permission to send a call to an endpoint. Finish releases it and must be called once.
	Grant struct {
		Target sched.Target
		Finish func(sched.Completion)
	}

	// AcquireGrant waits for a grant for an endpoint.
	AcquireGrant func(context.Context) (Grant, error)

	// Call is a call under a customer's idempotency key. Nonce identifies this attempt and Fingerprint the content of the call.
	// CallerGone reports whether the caller has disconnected; a call that isn't sent yet is then abandoned.
	Call struct {
		relay.Call
		Customer     string
		Nonce        string
		Fingerprint  string
		AcquireGrant AcquireGrant
		CallerGone   func() bool
		takenOver    bool
	}

	// Timeouts holds the timeouts: Call for the endpoint's answer, Claim for one change of the claim, Settle for recording the end of a
	// claim in the background, Join for waiting until another attempt with the same key has ended.
	Timeouts struct {
		Call   time.Duration
		Claim  time.Duration
		Settle time.Duration
		Join   time.Duration
	}

	// Options configures a Runner. ConfigCurrent reports whether the configuration is proven current. RegisteredBoot returns the
	// registered boot ID of an instance, or "".
	Options struct {
		Self           ctrl.Instance
		Timeouts       Timeouts
		Log            Log
		Service        Service
		ConfigCurrent  func(now time.Time) bool
		RegisteredBoot func(instance string) string
		Logger         *zap.Logger
	}

	// Reason is the reason why a call has no answer.
	Reason string

	// Error is the error of a call that has no answer. Err is the cause, or nil.
	Error struct {
		Reason Reason
		Err    error
	}
)

// DefaultTimeouts returns the default timeouts, with the given one for the endpoint's answer.
func DefaultTimeouts(call time.Duration) Timeouts {
	return Timeouts{Call: call, Claim: 3 * time.Second, Settle: 60 * time.Second, Join: 5 * time.Second}
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Ran reports whether the call ran: chat.RanYes, chat.RanNo or chat.RanUnknown. It is unknown if the claim couldn't be recorded or
// read, as another attempt may have run the call.
func (e *Error) Ran() string {
	switch e.Reason {
	case AttemptVoided, ConfigNotCurrent, CallerLeft, EndpointUnreachable, KeyReused:
		return chat.RanNo
	case AnswerTooLarge:
		return chat.RanYes
	}
	return chat.RanUnknown
}
