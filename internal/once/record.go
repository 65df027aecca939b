package once

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/relay"
)

// asAttempt returns the call with the nonce of another attempt.
func (c Call) asAttempt(nonce string) Call {
	c.Nonce = nonce
	return c
}

// propose proposes a change of the call's claim.
func (r *Runner) propose(ctx context.Context, c Call, cmd claim.Command) (ctrl.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opt.Timeouts.Claim)
	defer cancel()
	cmd.Customer, cmd.Key, cmd.Nonce = c.Customer, c.Key, c.Nonce
	return r.opt.Log.Propose(ctx, ctrl.Command{Claim: &cmd})
}

// record records the end of a claim before the caller is answered. If the proposal fails, it is retried in the background.
func (r *Runner) record(ctx context.Context, c Call, cmd claim.Command) {
	if _, err := r.propose(ctx, c, cmd); err != nil {
		r.recordInBackground(c, cmd)
	}
}

// recordInBackground records the end of a claim in the background, with retries for up to Timeouts.Settle.
func (r *Runner) recordInBackground(c Call, cmd claim.Command) {
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, r.opt.Timeouts.Settle)
		defer cancel()
		for ctx.Err() == nil {
			if _, err := r.propose(ctx, c, cmd); err == nil {
				return
			}
			pace.Sleep(ctx, settleRetryInterval)
		}
		r.opt.Logger.Error("claim not settled", zap.String("customer", c.Customer), zap.String("to", string(cmd.To)))
	})
}

// keptReply returns the reply for an answer kept in a claim.
func keptReply(answer *claim.Answer) (relay.Reply, error) {
	if answer.TooLarge {
		return relay.Reply{}, &Error{Reason: AnswerTooLarge}
	}
	return relay.Reply{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// newAnswer returns the answer to keep in a claim, without the body if that is above claim.MaxAnswerBytes.
func newAnswer(reply relay.Reply) *claim.Answer {
	answer := &claim.Answer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}
	if len(answer.Body) > claim.MaxAnswerBytes {
		answer.Body, answer.TooLarge = nil, true
	}
	return answer
}
