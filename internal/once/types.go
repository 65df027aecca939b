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

// Why a call has no answer.
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
	// Log is the replicated log as this package uses it.
	Log interface {
		Propose(context.Context, ctrl.Command) (ctrl.Result, error)
		Read(context.Context, quorum.Query) (quorum.QueryResult, error)
	}

	// Service sends calls to endpoints: Once never a second time, Outcome asks for the answer of a key.
	Service interface {
		Once(context.Context, netip.AddrPort, relay.Call) (relay.Reply, error)
		Outcome(context.Context, netip.AddrPort, string) (relay.Reply, bool, error)
	}

	// Grant is an endpoint that the call may go to; Finish gives it back and is called once.
	Grant struct {
		Target sched.Target
		Finish func(sched.Completion)
	}

	// Place waits for an endpoint.
	Place func(context.Context) (Grant, error)

	// Call is a call of a customer's key; Nonce names this attempt, Print the call's content, and Gone tells whether its
	// caller has left, so that a call not yet sent is given up.
	Call struct {
		relay.Call
		Customer string
		Nonce    string
		Print    string
		Place    Place
		Gone     func() bool
		joined   bool
	}

	// Times bounds the waits: Call for the endpoint's answer, Claim for one change of the claim, Settle for the end of a
	// claim in the background, Join for another attempt's end.
	Times struct {
		Call   time.Duration
		Claim  time.Duration
		Settle time.Duration
		Join   time.Duration
	}

	// Options holds what a Runner needs; Boot tells the registered boot of an instance, or "".
	Options struct {
		Self    ctrl.Instance
		Times   Times
		Log     Log
		Service Service
		Current func(now time.Time) bool
		Boot    func(instance string) string
		Events  *zap.Logger
	}

	// Why tells why a call has no answer.
	Why string

	// Error is the outcome of a call without an answer.
	Error struct {
		Why Why
		Err error
	}
)

// DefaultTimes returns the times in use, for endpoints that answer within call.
func DefaultTimes(call time.Duration) Times {
	return Times{Call: call, Claim: 3 * time.Second, Settle: 60 * time.Second, Join: 5 * time.Second}
}

// Error returns the reason and its cause.
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

// Ran tells whether the call ran, as pkg/chat names it. Without the claim nothing is known of other attempts.
func (e *Error) Ran() string {
	switch e.Why {
	case Voided, Outdated, Left, Unsent, Reused:
		return chat.RanNo
	case Large:
		return chat.RanYes
	}
	return chat.RanUnknown
}
