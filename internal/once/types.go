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
	NoClaim    Why = "the claim on the key could not be recorded"
	Voided     Why = "an earlier attempt with this key was given up before it was sent"
	Outdated   Why = "this instance cannot prove that its configuration is current"
	Unsent     Why = "the endpoint could not be reached"
	Reused     Why = "the key was used for another call"
	Progress   Why = "a call with this key is in progress"
	Unreadable Why = "the claim on the key could not be read"
	Large      Why = "the call has run; its answer was too large to be kept"
	Left       Why = "the caller has gone"
	Unknown    Why = "the service may or may not have run the call; it is not run again under this key"
)

type (
	// Log is the replicated log.
	Log interface {
		Propose(context.Context, ctrl.Command) (ctrl.Result, error)
		Read(context.Context, quorum.Query) (quorum.View, error)
	}

	// Service sends calls to endpoints. Once sends a call without any retry, Outcome asks an endpoint for the answer of an earlier
	// call with the given key.
	Service interface {
		Once(context.Context, netip.AddrPort, relay.Call) (relay.Reply, error)
		Outcome(context.Context, netip.AddrPort, string) (relay.Reply, bool, error)
	}

	// Grant is the permission to send a call to an endpoint. Finish releases it and must be called once.
	Grant struct {
		Target sched.Target
		Finish func(sched.Done)
	}

	// Place waits for a grant for an endpoint.
	Place func(context.Context) (Grant, error)

	// Call is a call under a customer's idempotency key. Nonce identifies this attempt and Print is the fingerprint of the call's
	// content. Gone reports whether the caller has disconnected; a call that isn't sent yet is then abandoned.
	Call struct {
		relay.Call
		Customer  string
		Nonce     string
		Print     string
		Place     Place
		Gone      func() bool
		takenOver bool
	}

	// Times holds the timeouts: Call for the endpoint's answer, Claim for one change of the claim, Settle for recording the end of a
	// claim in the background, Join for waiting until another attempt with the same key has ended.
	Times struct {
		Call   time.Duration
		Claim  time.Duration
		Settle time.Duration
		Join   time.Duration
	}

	// Options configures a Runner. Current reports whether the configuration is proven current. Boot returns the registered boot ID
	// of an instance, or "".
	Options struct {
		Self    ctrl.Instance
		Times   Times
		Log     Log
		Service Service
		Current func(now time.Time) bool
		Boot    func(instance string) string
		Events  *zap.Logger
	}

	// Why is the reason why a call has no answer.
	Why string

	// Error is the error of a call that has no answer. Err is the cause, or nil.
	Error struct {
		Why Why
		Err error
	}
)

// DefaultTimes returns the default timeouts, with the given one for the endpoint's answer.
func DefaultTimes(call time.Duration) Times {
	return Times{Call: call, Claim: 3 * time.Second, Settle: 60 * time.Second, Join: 5 * time.Second}
}

// Error returns the reason and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Why)
	}
	return string(e.Why) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Ran reports whether the call ran: chat.RanYes, chat.RanNo or chat.RanUnknown. It is unknown if the claim couldn't be recorded or
// read, as another attempt may have run the call.
func (e *Error) Ran() string {
	switch e.Why {
	case Voided, Outdated, Left, Unsent, Reused:
		return chat.RanNo
	case Large:
		return chat.RanYes
	}
	return chat.RanUnknown
}
