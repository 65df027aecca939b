package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const (
	claimTimeout = 3 * time.Second
	// settleFor is how long the end of a claim is tried to be recorded in the background.
	settleFor   = 60 * time.Second
	settlePause = 500 * time.Millisecond
	// joinFor is how long a repeat waits for the claim of the same key to end.
	joinFor   = 5 * time.Second
	joinEvery = 200 * time.Millisecond
)

// serviceCall is one call of a plain service.
type serviceCall struct {
	cl    *caller
	cell  string
	call  relay.Call
	nonce string
	print string
	id    string
}

func (e *Entry) service(c *fiber.Ctx) error {
	name := c.Params("name")
	cl, p := e.admit(c, name)
	if p != nil {
		return e.refuse(c, cl, p)
	}
	e.busy.Add(1)
	defer e.busy.Add(-1)
	er := e.serviceCall(c, cl, name)
	ctx, cancel := context.WithTimeout(e.ctx, cl.class.Wait()+e.opt.Limits.Call.Std())
	defer cancel()
	conn := c.Context().Conn()
	var rep relay.Reply
	if repeatable(c.Method(), cl) {
		e.wg.Go(func() { watch(ctx, conn, cancel) })
		rep, p = e.repeat(ctx, er)
	} else {
		rep, p = e.once(ctx, er)
	}
	if p != nil {
		return e.refuse(c, cl, p)
	}
	cl.series.Outcome(outcomeOK)
	if rep.Type != "" {
		c.Set("Content-Type", rep.Type)
	}
	return c.Status(rep.Status).Send(rep.Body)
}

// repeatable reports whether a call may be run twice: by its method, or as the contract says of its class.
func repeatable(method string, cl *caller) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return cl.class.Repeat
}

func (e *Entry) serviceCall(c *fiber.Ctx, cl *caller, name string) serviceCall {
	path := "/" + c.Params("*")
	query := string(c.Context().QueryArgs().QueryString())
	call := relay.Call{
		Method: c.Method(), Path: path, Query: query, Type: c.Get("Content-Type"), Key: c.Get(headerKey), Body: c.Body(),
	}
	id, _ := requestID(cl.contract.Customer, "")
	return serviceCall{
		cl: cl, cell: e.cell(name), call: call, nonce: uuid.NewString(), id: id,
		print: fingerprint(call.Method, name, path, query, string(call.Body)),
	}
}

// grant asks for an endpoint.
func (e *Entry) grant(ctx context.Context, er serviceCall, attempt int, avoid []string) (sched.Verdict, *broker.Run, *problem) {
	v, held, err := e.opt.Broker.Ask(ctx, er.cell, sched.Ask{
		ID: er.id, Entry: e.opt.Self.Boot, Addr: e.opt.Self.Addr, Customer: er.cl.contract.Customer, Class: er.cl.class.Name,
		Zone: e.opt.Self.Zone, Input: chat.Tokens(string(er.call.Body)), Attempt: attempt, Avoid: avoid,
		Waited: time.Since(er.cl.arrived),
	})
	switch {
	case err != nil:
		return v, nil, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant: %v", err).after(retrySoon)
	case v.Verb == sched.Refused:
		return v, nil, refused(v, chat.RanNo)
	case v.Verb != sched.Granted:
		return v, nil, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant").after(retrySoon)
	}
	er.cl.series.Queued(v.Queued)
	return v, held, nil
}

// repeat runs a call that may be repeated, on another endpoint after a failure.
func (e *Entry) repeat(ctx context.Context, er serviceCall) (relay.Reply, *problem) {
	e.budget.Earn()
	var avoid []string
	ran := chat.RanNo
	for attempt := 0; ; attempt++ {
		v, held, p := e.grant(ctx, er, attempt, avoid)
		if p != nil {
			p.ran = ran
			return relay.Reply{}, p
		}
		cctx, cancel := context.WithTimeout(ctx, e.opt.Limits.Call.Std())
		rep, err := e.relay.Repeat(cctx, v.Target.Addr, er.call)
		cancel()
		e.opt.Broker.Finish(er.cell, held, sched.Done{Broken: err != nil && ctx.Err() == nil})
		if err == nil {
			return rep, nil
		}
		ran = chat.RanUnknown
		avoid = append(avoid, v.Target.Boot)
		if ctx.Err() != nil || attempt+1 >= retry.MaxAttempts || !e.budget.Spend() {
			return relay.Reply{}, failed(err, ran)
		}
	}
}

// once runs a call that may not be repeated, under a claim that a quorum has committed.
func (e *Entry) once(ctx context.Context, er serviceCall) (relay.Reply, *problem) {
	if er.call.Key == "" || len(er.call.Key) > claim.MaxKey {
		return relay.Reply{}, newProblem(http.StatusBadRequest, codeNeedKey, chat.RanNo,
			"a call that may not be repeated needs an %s header of 1 to %d bytes", headerKey, claim.MaxKey)
	}
	res, err := e.claim(ctx, er, claim.Cmd{To: claim.Open, Print: er.print, Holder: e.opt.Self.Name, Boot: e.opt.Self.Boot})
	if err != nil {
		e.settle(er, claim.Cmd{To: claim.Void, Print: er.print})
		return relay.Reply{}, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo,
			"the claim on the key could not be recorded").after(retrySoon)
	}
	if res.Code == ctrl.Held {
		return e.held(ctx, er, res.Claim)
	}
	v, held, p := e.grant(ctx, er, 0, nil)
	if p != nil {
		e.settle(er, claim.Cmd{To: claim.Void})
		return relay.Reply{}, p
	}
	if !e.opt.Fresh(time.Now()) {
		e.opt.Broker.Finish(er.cell, held, sched.Done{Unsent: true})
		e.settle(er, claim.Cmd{To: claim.Void})
		return relay.Reply{}, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo,
			"this instance cannot prove that its configuration is current").after(retrySoon)
	}
	return e.send(ctx, er, v, held)
}

// send gives the call to the endpoint, once, and records how it ended.
func (e *Entry) send(ctx context.Context, er serviceCall, v sched.Verdict, held *broker.Run) (relay.Reply, *problem) {
	cctx, cancel := context.WithTimeout(ctx, e.opt.Limits.Call.Std())
	defer cancel()
	rep, err := e.relay.Once(cctx, v.Target.Addr, er.call)
	unsent := errors.Is(err, relay.ErrUnsent)
	e.opt.Broker.Finish(er.cell, held, sched.Done{Broken: err != nil, Unsent: unsent})
	switch {
	case err == nil:
		e.conclude(ctx, er, claim.Cmd{To: claim.Done, Answer: answerOf(rep)})
		return rep, nil
	case unsent:
		e.settle(er, claim.Cmd{To: claim.Void})
		return relay.Reply{}, failed(err, chat.RanNo)
	}
	e.opt.Log.Warn("outcome of call unknown", zap.String("step", "call"), zap.String("peer", v.Target.Name),
		zap.String("customer", er.cl.contract.Customer), zap.Error(err))
	if rep, ok := e.lookup(ctx, er, v.Target); ok {
		return rep, nil
	}
	e.settle(er, claim.Cmd{To: claim.Doubt})
	return relay.Reply{}, unknownOutcome()
}
