package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"

	"github.com/greengagewheel/greengagewheel/internal/broker"
	"github.com/greengagewheel/greengagewheel/internal/claim"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/once"
	"github.com/greengagewheel/greengagewheel/internal/relay"
	"github.com/greengagewheel/greengagewheel/internal/retry"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// serviceCall is one call to a service.
type serviceCall struct {
	caller      *caller
	cell        string
	call        relay.Call
	fingerprint string
	id          string
	// ranIfUnsent is whether a repeatable call ran, as long as this instance hasn't sent it: another instance may have done so.
	ranIfUnsent string
}

func (e *Entry) handleService(c *fiber.Ctx) error {
	name := c.Params("name")
	caller, p := e.admit(c, name, endpt.Service)
	if p != nil {
		return e.refuse(c, caller, p)
	}
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	sc := e.newServiceCall(c, caller, name)
	ctx, cancel := context.WithTimeout(e.ctx, caller.class.EffectiveMaxQueueTime()+e.opt.Limits.CallTimeout.Std())
	defer cancel()
	conn := c.Context().Conn()
	var reply relay.Reply
	if repeatable(c.Method(), caller) {
		e.wg.Go(func() { watchCaller(ctx, conn, cancel) })
		reply, p = e.callRepeatable(ctx, sc)
	} else {
		reply, p = e.callOnce(ctx, sc, conn)
	}
	if p != nil {
		return e.refuse(c, caller, p)
	}
	caller.metrics.CountOutcome(outcomeOK)
	if reply.ContentType != "" {
		c.Set("Content-Type", reply.ContentType)
	}
	return c.Status(reply.Status).Send(reply.Body)
}

// repeatable reports whether a call may be run more than once: its method is safe, or the contract declares its class idempotent.
func repeatable(method string, caller *caller) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return caller.class.Idempotent
}

func (e *Entry) newServiceCall(c *fiber.Ctx, caller *caller, name string) serviceCall {
	path := "/" + c.Params("*")
	query := string(c.Context().QueryArgs().QueryString())
	call := relay.Call{
		Method: c.Method(), Path: path, Query: query, ContentType: c.Get("Content-Type"), Key: c.Get(headerIdempotencyKey), Body: c.Body(),
	}
	id, _ := requestID(caller.contract.Customer, "")
	return serviceCall{
		caller: caller, cell: e.cellName(name), call: call, id: id, ranIfUnsent: ranIfRefused(c),
		fingerprint: contentFingerprint(call.Method, name, path, query, string(call.Body)),
	}
}

// requestGrant asks the scheduler for a grant for an endpoint.
func (e *Entry) requestGrant(
	ctx context.Context, sc serviceCall, attempt int, excludedBoots []string,
) (sched.Decision, *broker.Grant, *problem) {
	decision, grant, err := e.opt.Broker.RequestGrant(ctx, sc.cell, sched.Request{
		ID: sc.id, Entry: e.opt.Self.Boot, EntryAddr: e.opt.Self.Addr, Customer: sc.caller.contract.Customer, Class: sc.caller.class.Name,
		Zone: e.opt.Self.Zone, InputTokens: chat.EstimateTokens(string(sc.call.Body)), Attempt: attempt, ExcludedBoots: excludedBoots,
		Waited: time.Since(sc.caller.arrived),
	})
	switch {
	case err != nil:
		return decision, nil,
			newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant: %v", err).withRetryAfter(shortRetryDelay)
	case decision.Kind == sched.Refused:
		return decision, nil, refusalProblem(decision, chat.RanNo)
	case decision.Kind != sched.Granted:
		return decision, nil, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant").withRetryAfter(shortRetryDelay)
	}
	sc.caller.metrics.RecordQueueTime(decision.QueueTime)
	return decision, grant, nil
}

// callRepeatable runs a call that may be repeated. After a failure it retries on another endpoint.
func (e *Entry) callRepeatable(ctx context.Context, sc serviceCall) (relay.Reply, *problem) {
	e.retryBudget.AddRequest()
	var excludedBoots []string
	ran := sc.ranIfUnsent
	for attempt := 0; ; attempt++ {
		decision, grant, p := e.requestGrant(ctx, sc, attempt, excludedBoots)
		if p != nil {
			p.ran = ran
			return relay.Reply{}, p
		}
		callCtx, cancel := context.WithTimeout(ctx, e.opt.Limits.CallTimeout.Std())
		reply, err := e.relay.CallRepeatable(callCtx, decision.Target.Addr, sc.call)
		cancel()
		e.opt.Broker.Finish(sc.cell, grant, sched.Completion{EndpointFailed: err != nil && ctx.Err() == nil})
		if err == nil {
			return reply, nil
		}
		ran = chat.RanUnknown
		excludedBoots = append(excludedBoots, decision.Target.Boot)
		if ctx.Err() != nil || attempt+1 >= retry.MaxAttempts || !e.retryBudget.AllowRetry() {
			return relay.Reply{}, endpointProblem(err, ran)
		}
	}
}

// callOnce runs a call that may not be repeated, at most once, under a claim on its idempotency key.
func (e *Entry) callOnce(ctx context.Context, sc serviceCall, conn net.Conn) (relay.Reply, *problem) {
	if sc.call.Key == "" || len(sc.call.Key) > claim.MaxKeyBytes {
		return relay.Reply{}, newProblem(http.StatusBadRequest, codeKeyRequired, chat.RanNo,
			"a call that may not be repeated needs an %s header of 1 to %d bytes", headerIdempotencyKey, claim.MaxKeyBytes)
	}
	reply, err := e.once.Run(ctx, once.Call{
		Call: sc.call, Customer: sc.caller.contract.Customer, Nonce: uuid.NewString(), Fingerprint: sc.fingerprint,
		AcquireGrant: func(ctx context.Context) (once.Grant, error) { return e.acquireEndpoint(ctx, sc, conn) },
		CallerGone:   func() bool { return conns.PeerClosed(conn) },
	})
	if err != nil {
		return relay.Reply{}, onceProblem(err)
	}
	return reply, nil
}

// acquireEndpoint waits for an endpoint as long as the caller stays connected.
func (e *Entry) acquireEndpoint(ctx context.Context, sc serviceCall, conn net.Conn) (once.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.wg.Go(func() { watchCaller(ctx, conn, cancel) })
	decision, grant, p := e.requestGrant(ctx, sc, 0, nil)
	if p != nil {
		return once.Grant{}, p
	}
	return once.Grant{
		Target: decision.Target,
		Finish: func(completion sched.Completion) { e.opt.Broker.Finish(sc.cell, grant, completion) },
	}, nil
}
