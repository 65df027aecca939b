package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// lookup asks a service that can be asked what became of the key; only a run that took place resolves a doubt.
func (e *Entry) lookup(ctx context.Context, er serviceCall, t sched.Target) (relay.Reply, bool) {
	if !t.Lookup {
		return relay.Reply{}, false
	}
	rep, found, err := e.relay.Outcome(ctx, t.Addr, er.call.Key)
	if err != nil || !found {
		return relay.Reply{}, false
	}
	e.conclude(ctx, er, claim.Cmd{To: claim.Done, Answer: answerOf(rep)})
	return rep, true
}

func (e *Entry) claim(ctx context.Context, er serviceCall, cmd claim.Cmd) (ctrl.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	cmd.Customer, cmd.Key, cmd.Nonce = er.cl.contract.Customer, er.call.Key, er.nonce
	return e.opt.Quorum.Propose(ctx, ctrl.Command{Claim: &cmd})
}

// conclude records a claim's end before the caller is answered; what fails is tried on in the background.
func (e *Entry) conclude(ctx context.Context, er serviceCall, cmd claim.Cmd) {
	if _, err := e.claim(ctx, er, cmd); err != nil {
		e.settle(er, cmd)
	}
}

// settle records a claim's end in the background.
func (e *Entry) settle(er serviceCall, cmd claim.Cmd) {
	e.wg.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, settleFor)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := e.claim(ctx, er, cmd); err == nil {
				return
			}
			pace.Pause(ctx, settlePause)
		}
		e.opt.Log.Error("claim not settled", zap.String("customer", er.cl.contract.Customer), zap.String("to", string(cmd.To)))
	})
}

// held answers a call whose key has a claim: its answer, or what is known of it.
func (e *Entry) held(ctx context.Context, er serviceCall, rec *claim.Record) (relay.Reply, *problem) {
	until := time.Now().Add(joinFor)
	for {
		if rec == nil || !rec.Same(er.print) {
			return relay.Reply{}, newProblem(http.StatusUnprocessableEntity, codeKeyReused, chat.RanNo,
				"the %s was used for another call", headerKey)
		}
		switch rec.State {
		case claim.Done:
			return replay(rec.Answer)
		case claim.Void:
			return relay.Reply{}, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "send the call again").after(retrySoon)
		case claim.Doubt:
			return e.doubt(ctx, er, rec)
		}
		if e.lost(rec) {
			_, _ = e.claimAs(ctx, er, rec.Nonce, claim.Cmd{To: claim.Doubt})
			return e.doubt(ctx, er, rec)
		}
		if time.Now().After(until) {
			return relay.Reply{}, newProblem(http.StatusConflict, codeProgress, chat.RanUnknown,
				"a call with this key is in progress").after(retrySoon)
		}
		pace.Pause(ctx, joinEvery)
		v, err := e.opt.Quorum.Read(ctx, quorum.Query{Customer: er.cl.contract.Customer, Key: er.call.Key})
		if err != nil {
			return relay.Reply{}, newProblem(http.StatusServiceUnavailable, codeProgress, chat.RanUnknown,
				"the claim on the key could not be read").after(retrySoon)
		}
		rec = v.Claim
	}
}

func (e *Entry) claimAs(ctx context.Context, er serviceCall, nonce string, cmd claim.Cmd) (ctrl.Result, error) {
	er.nonce = nonce
	return e.claim(ctx, er, cmd)
}

// lost reports whether a claim's holder has restarted or gone.
func (e *Entry) lost(rec *claim.Record) bool {
	now, ok := e.opt.View().Instances[rec.Holder]
	return !ok || now.Boot != rec.Boot
}

// doubt tries to resolve a claim whose holder is lost by asking the service.
func (e *Entry) doubt(ctx context.Context, er serviceCall, rec *claim.Record) (relay.Reply, *problem) {
	er.nonce = rec.Nonce
	v, held, p := e.grant(ctx, er, 0, nil)
	if p != nil {
		return relay.Reply{}, unknownOutcome()
	}
	defer e.opt.Broker.Finish(er.cell, held, sched.Done{Unsent: true})
	if rep, ok := e.lookup(ctx, er, v.Target); ok {
		return rep, nil
	}
	return relay.Reply{}, unknownOutcome()
}

// replay returns a kept answer again.
func replay(a *claim.Answer) (relay.Reply, *problem) {
	if a.Large {
		return relay.Reply{}, newProblem(http.StatusConflict, codeProgress, chat.RanYes,
			"the call has run; its answer was too large to be kept")
	}
	return relay.Reply{Status: a.Status, Type: a.Type, Body: a.Body}, nil
}

// answerOf returns the answer as the claim keeps it; the body of one that is too large is not kept.
func answerOf(r relay.Reply) *claim.Answer {
	a := &claim.Answer{Status: r.Status, Type: r.Type, Body: r.Body}
	if len(a.Body) > claim.MaxAnswer {
		a.Body, a.Large = nil, true
	}
	return a
}

func unknownOutcome() *problem {
	return newProblem(http.StatusGatewayTimeout, codeUnknown, chat.RanUnknown,
		"the service may or may not have run the call; it is not run again under this key")
}
