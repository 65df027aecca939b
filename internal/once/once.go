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
	settlePause = 500 * time.Millisecond
	joinPause   = 200 * time.Millisecond
)

// Runner runs calls for one instance.
type Runner struct {
	opt Options
	ctx context.Context
	wg  conc.WaitGroup
}

// New returns a runner whose background work ends with the context.
func New(ctx context.Context, opt Options) *Runner {
	return &Runner{opt: opt, ctx: ctx}
}

// Wait waits for the background work after the context has ended.
func (r *Runner) Wait() {
	r.wg.Wait()
}

// Run makes the call, or returns the kept answer of its key; its errors are those of Place and *Error.
func (r *Runner) Run(ctx context.Context, c Call) (relay.Reply, error) {
	res, err := r.claim(ctx, c, claim.Cmd{To: claim.Open, Print: c.Print, Holder: r.opt.Self.Name, Boot: r.opt.Self.Boot})
	if err != nil {
		r.settle(c, claim.Cmd{To: claim.Void, Print: c.Print})
		return relay.Reply{}, &Error{Why: NoClaim, Err: err}
	}
	if res.Code == ctrl.Held {
		return r.held(ctx, c, res.Claim)
	}
	g, err := c.Place(ctx)
	if err != nil {
		r.settle(c, claim.Cmd{To: claim.Void})
		return relay.Reply{}, err
	}
	if why := r.hinders(c); why != "" {
		g.Finish(sched.Completion{Unsent: true})
		r.settle(c, claim.Cmd{To: claim.Void})
		return relay.Reply{}, &Error{Why: why}
	}
	return r.send(ctx, c, g)
}

// hinders tells why a call that has an endpoint is not sent, or "".
func (r *Runner) hinders(c Call) Why {
	switch {
	case !r.opt.Current(clock.Now()):
		return Outdated
	case c.Gone():
		return Left
	}
	return ""
}

// send gives the call to the endpoint, once, and records how it ended.
func (r *Runner) send(ctx context.Context, c Call, g Grant) (relay.Reply, error) {
	cctx, cancel := context.WithTimeout(ctx, r.opt.Times.Call)
	defer cancel()
	rep, err := r.opt.Service.Once(cctx, g.Target.Addr, c.Call)
	unsent := errors.Is(err, relay.ErrUnsent)
	g.Finish(sched.Completion{EndpointFailed: err != nil, Unsent: unsent})
	switch {
	case err == nil:
		r.conclude(ctx, c, claim.Cmd{To: claim.Done, Answer: answerOf(rep)})
		return rep, nil
	case unsent:
		r.settle(c, claim.Cmd{To: claim.Void})
		return relay.Reply{}, &Error{Why: Unsent, Err: err}
	}
	r.opt.Events.Warn("outcome of call unknown", zap.String("step", "call"), zap.String("peer", g.Target.Name),
		zap.String("customer", c.Customer), zap.Error(err))
	if rep, ok := r.lookup(ctx, c, g.Target); ok {
		return rep, nil
	}
	r.settle(c, claim.Cmd{To: claim.Doubt})
	return relay.Reply{}, &Error{Why: Unknown, Err: err}
}

// lookup asks a service that can be asked what became of the key; only a run that took place resolves a doubt.
func (r *Runner) lookup(ctx context.Context, c Call, t sched.Target) (relay.Reply, bool) {
	if !t.Lookup {
		return relay.Reply{}, false
	}
	rep, found, err := r.opt.Service.Outcome(ctx, t.Addr, c.Key)
	if err != nil || !found {
		return relay.Reply{}, false
	}
	r.conclude(ctx, c, claim.Cmd{To: claim.Done, Answer: answerOf(rep)})
	return rep, true
}

// held answers a call whose key has a claim: its answer, or what is known of it.
func (r *Runner) held(ctx context.Context, c Call, rec *claim.Record) (relay.Reply, error) {
	until := time.Now().Add(r.opt.Times.Join)
	for {
		if rec == nil || !rec.Same(c.Print) {
			return relay.Reply{}, &Error{Why: Reused}
		}
		switch rec.State {
		case claim.Done:
			return replay(rec.Answer)
		case claim.Void:
			return r.takeOver(ctx, c)
		case claim.Doubt:
			return r.doubt(ctx, c, rec)
		}
		if r.opt.Boot(rec.Holder) != rec.Boot {
			_, _ = r.claim(ctx, c.as(rec.Nonce), claim.Cmd{To: claim.Doubt})
			return r.doubt(ctx, c, rec)
		}
		if time.Now().After(until) {
			return relay.Reply{}, &Error{Why: Progress}
		}
		pace.Pause(ctx, joinPause)
		v, err := r.opt.Log.Read(ctx, quorum.Query{Customer: c.Customer, Key: c.Key})
		if err != nil {
			return relay.Reply{}, &Error{Why: Unreadable, Err: err}
		}
		rec = v.Claim
	}
}

// takeOver makes a call, once, whose earlier attempt was given up before it was sent while this one waited for it.
func (r *Runner) takeOver(ctx context.Context, c Call) (relay.Reply, error) {
	if c.joined {
		return relay.Reply{}, &Error{Why: Voided}
	}
	c.joined = true
	return r.Run(ctx, c)
}

// doubt tries to resolve a claim whose holder is lost by asking the service.
func (r *Runner) doubt(ctx context.Context, c Call, rec *claim.Record) (relay.Reply, error) {
	g, err := c.Place(ctx)
	if err != nil {
		return relay.Reply{}, &Error{Why: Unknown, Err: err}
	}
	defer g.Finish(sched.Completion{Unsent: true})
	if rep, ok := r.lookup(ctx, c.as(rec.Nonce), g.Target); ok {
		return rep, nil
	}
	return relay.Reply{}, &Error{Why: Unknown}
}
