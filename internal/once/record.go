package once

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/relay"
)

// as returns the call under another attempt's name.
func (c Call) as(nonce string) Call {
	c.Nonce = nonce
	return c
}

// claim proposes one change of the call's claim.
func (r *Runner) claim(ctx context.Context, c Call, cmd claim.Cmd) (ctrl.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opt.Times.Claim)
	defer cancel()
	cmd.Customer, cmd.Key, cmd.Nonce = c.Customer, c.Key, c.Nonce
	return r.opt.Log.Propose(ctx, ctrl.Command{Claim: &cmd})
}

// conclude records a claim's end before the caller is answered; what fails is tried on in the background.
func (r *Runner) conclude(ctx context.Context, c Call, cmd claim.Cmd) {
	if _, err := r.claim(ctx, c, cmd); err != nil {
		r.settle(c, cmd)
	}
}

// settle records a claim's end in the background.
func (r *Runner) settle(c Call, cmd claim.Cmd) {
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.opt.Times.Settle)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := r.claim(ctx, c, cmd); err == nil {
				return
			}
			pace.Pause(ctx, settlePause)
		}
		r.opt.Events.Error("claim not settled", zap.String("customer", c.Customer), zap.String("to", string(cmd.To)))
	})
}

// replay returns a kept answer again.
func replay(a *claim.Answer) (relay.Reply, error) {
	if a.Large {
		return relay.Reply{}, &Error{Why: Large}
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
