package once

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

const (
	settleRetryInterval = 500 * time.Millisecond
	joinPollInterval    = 200 * time.Millisecond
)

// Runner runs non-idempotent calls for one instance.
type Runner struct {
	opt Options
	ctx context.Context
	wg  conc.WaitGroup
}

// New returns a Runner whose background work ends with the context.
func New(ctx context.Context, opt Options) *Runner {
	return &Runner{opt: opt, ctx: ctx}
}

// Wait waits until the background work has ended; the context must be done.
func (r *Runner) Wait() {
	r.wg.Wait()
}

// Run makes the call, or returns the answer kept for its key. An error is either one of Call.AcquireGrant or an *Error.
func (r *Runner) Run(ctx context.Context, c Call) (relay.Reply, error) {
	res, err := r.propose(ctx, c, claim.Command{To: claim.Open, Fingerprint: c.Fingerprint, Holder: r.opt.Self.Name, Boot: r.opt.Self.Boot})
	if err != nil {
		r.recordInBackground(c, claim.Command{To: claim.Void, Fingerprint: c.Fingerprint})
		return relay.Reply{}, &Error{Reason: ClaimNotRecorded, Err: err}
	}
	if res.Code == ctrl.Held {
		return r.joinClaim(ctx, c, res.Claim)
	}
	grant, err := c.AcquireGrant(ctx)
	if err != nil {
		r.recordInBackground(c, claim.Command{To: claim.Void})
		return relay.Reply{}, err
	}
	if reason := r.reasonNotToSend(c); reason != "" {
		grant.Finish(sched.Completion{Unsent: true})
		r.recordInBackground(c, claim.Command{To: claim.Void})
		return relay.Reply{}, &Error{Reason: reason}
	}
	return r.send(ctx, c, grant)
}

// reasonNotToSend returns why a call that has a grant is not sent, or "".
func (r *Runner) reasonNotToSend(c Call) Reason {
	switch {
	case !r.opt.ConfigCurrent(clock.Now()):
		return ConfigNotCurrent
	case c.CallerGone():
		return CallerLeft
	}
	return ""
}

// send sends the call to the endpoint once and records the outcome.
func (r *Runner) send(ctx context.Context, c Call, grant Grant) (relay.Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, r.opt.Timeouts.Call)
	defer cancel()
	reply, err := r.opt.Service.CallOnce(callCtx, grant.Target.Addr, c.Call)
	unsent := errors.Is(err, relay.ErrUnsent)
	grant.Finish(sched.Completion{EndpointFailed: err != nil, Unsent: unsent})
	switch {
	case err == nil:
		r.record(ctx, c, claim.Command{To: claim.Done, Answer: newAnswer(reply)})
		return reply, nil
	case unsent:
		r.recordInBackground(c, claim.Command{To: claim.Void})
		return relay.Reply{}, &Error{Reason: EndpointUnreachable, Err: err}
	}
	r.opt.Logger.Warn("outcome of call unknown", zap.String("step", "call"), zap.String("peer", grant.Target.Name),
		zap.String("customer", c.Customer), zap.Error(err))
	if lateReply, ok := r.lookUpOutcome(ctx, c, grant.Target); ok {
		return lateReply, nil
	}
	r.recordInBackground(c, claim.Command{To: claim.InDoubt})
	return relay.Reply{}, &Error{Reason: OutcomeUnknown, Err: err}
}

// lookUpOutcome asks a service that supports lookups for the outcome of the key. Only a run that took place resolves a claim in
// doubt.
func (r *Runner) lookUpOutcome(ctx context.Context, c Call, target sched.Target) (relay.Reply, bool) {
	if !target.Lookup {
		return relay.Reply{}, false
	}
	reply, found, err := r.opt.Service.Outcome(ctx, target.Addr, c.Key)
	if err != nil || !found {
		return relay.Reply{}, false
	}
	r.record(ctx, c, claim.Command{To: claim.Done, Answer: newAnswer(reply)})
	return reply, true
}

// joinClaim answers a call whose key already has a claim: it waits until the other attempt has ended and returns its answer, or an
// error with what is known of it.
func (r *Runner) joinClaim(ctx context.Context, c Call, rec *claim.Record) (relay.Reply, error) {
	deadline := time.Now().Add(r.opt.Timeouts.Join)
	for {
		if rec == nil || !rec.Matches(c.Fingerprint) {
			return relay.Reply{}, &Error{Reason: KeyReused}
		}
		switch rec.State {
		case claim.Done:
			return keptReply(rec.Answer)
		case claim.Void:
			return r.takeOver(ctx, c)
		case claim.InDoubt:
			return r.resolveInDoubt(ctx, c, rec)
		}
		if r.opt.RegisteredBoot(rec.Holder) != rec.Boot {
			_, _ = r.propose(ctx, c.asAttempt(rec.Nonce), claim.Command{To: claim.InDoubt})
			return r.resolveInDoubt(ctx, c, rec)
		}
		if time.Now().After(deadline) {
			return relay.Reply{}, &Error{Reason: InProgress}
		}
		pace.Sleep(ctx, joinPollInterval)
		result, err := r.opt.Log.Read(ctx, quorum.Query{Customer: c.Customer, Key: c.Key})
		if err != nil {
			return relay.Reply{}, &Error{Reason: ClaimNotRead, Err: err}
		}
		rec = result.Claim
	}
}

// takeOver runs a call whose other attempt was abandoned before it was sent. It does so once for each call.
func (r *Runner) takeOver(ctx context.Context, c Call) (relay.Reply, error) {
	if c.takenOver {
		return relay.Reply{}, &Error{Reason: AttemptVoided}
	}
	c.takenOver = true
	return r.Run(ctx, c)
}

// resolveInDoubt tries to resolve a claim in doubt by asking the service for the outcome. It uses a grant to choose the endpoint to
// ask, and returns it unsent.
func (r *Runner) resolveInDoubt(ctx context.Context, c Call, rec *claim.Record) (relay.Reply, error) {
	grant, err := c.AcquireGrant(ctx)
	if err != nil {
		return relay.Reply{}, &Error{Reason: OutcomeUnknown, Err: err}
	}
	defer grant.Finish(sched.Completion{Unsent: true})
	if reply, ok := r.lookUpOutcome(ctx, c.asAttempt(rec.Nonce), grant.Target); ok {
		return reply, nil
	}
	return relay.Reply{}, &Error{Reason: OutcomeUnknown}
}
