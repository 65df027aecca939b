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

// serviceCall is one call of a plain service.
type serviceCall struct {
	cl    *caller
	cell  string
	call  relay.Call
	print string
	id    string
	// unsure is what is said of a call that may be repeated before it was sent from here.
	unsure string
}

func (e *Entry) service(c *fiber.Ctx) error {
	name := c.Params("name")
	cl, p := e.admit(c, name, endpt.Service)
	if p != nil {
		return e.refuse(c, cl, p)
	}
	e.busy.Add(1)
	defer e.busy.Add(-1)
	sc := e.serviceCall(c, cl, name)
	ctx, cancel := context.WithTimeout(e.ctx, cl.class.QueueTimeout()+e.opt.Limits.Call.Std())
	defer cancel()
	conn := c.Context().Conn()
	var rep relay.Reply
	if repeatable(c.Method(), cl) {
		e.wg.Go(func() { watch(ctx, conn, cancel) })
		rep, p = e.repeat(ctx, sc)
	} else {
		rep, p = e.callOnce(ctx, sc, conn)
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
	return cl.class.Repeatable
}

func (e *Entry) serviceCall(c *fiber.Ctx, cl *caller, name string) serviceCall {
	path := "/" + c.Params("*")
	query := string(c.Context().QueryArgs().QueryString())
	call := relay.Call{
		Method: c.Method(), Path: path, Query: query, ContentType: c.Get("Content-Type"), Key: c.Get(headerKey), Body: c.Body(),
	}
	id, _ := requestID(cl.contract.Customer, "")
	return serviceCall{
		cl: cl, cell: e.cell(name), call: call, id: id, unsure: unsure(c),
		print: fingerprint(call.Method, name, path, query, string(call.Body)),
	}
}

// grant asks for an endpoint.
func (e *Entry) grant(ctx context.Context, sc serviceCall, attempt int, avoid []string) (sched.Decision, *broker.Run, *problem) {
	v, held, err := e.opt.Broker.RequestGrant(ctx, sc.cell, sched.Request{
		ID: sc.id, Entry: e.opt.Self.Boot, EntryAddr: e.opt.Self.Addr, Customer: sc.cl.contract.Customer, Class: sc.cl.class.Name,
		Zone: e.opt.Self.Zone, InputTokens: chat.Tokens(string(sc.call.Body)), Attempt: attempt, ExcludedBoots: avoid,
		Waited: time.Since(sc.cl.arrived),
	})
	switch {
	case err != nil:
		return v, nil, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant: %v", err).after(retrySoon)
	case v.Kind == sched.Refused:
		return v, nil, refused(v, chat.RanNo)
	case v.Kind != sched.Granted:
		return v, nil, newProblem(http.StatusServiceUnavailable, codeNotReady, chat.RanNo, "no grant").after(retrySoon)
	}
	sc.cl.series.Queued(v.QueueTime)
	return v, held, nil
}

// repeat runs a call that may be repeated, on another endpoint after a failure.
func (e *Entry) repeat(ctx context.Context, sc serviceCall) (relay.Reply, *problem) {
	e.budget.Earn()
	var avoid []string
	ran := sc.unsure
	for attempt := 0; ; attempt++ {
		v, held, p := e.grant(ctx, sc, attempt, avoid)
		if p != nil {
			p.ran = ran
			return relay.Reply{}, p
		}
		cctx, cancel := context.WithTimeout(ctx, e.opt.Limits.Call.Std())
		rep, err := e.relay.Repeat(cctx, v.Target.Addr, sc.call)
		cancel()
		e.opt.Broker.Finish(sc.cell, held, sched.Completion{EndpointFailed: err != nil && ctx.Err() == nil})
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

// callOnce runs a call that may not be repeated, under a claim.
func (e *Entry) callOnce(ctx context.Context, sc serviceCall, conn net.Conn) (relay.Reply, *problem) {
	if sc.call.Key == "" || len(sc.call.Key) > claim.MaxKey {
		return relay.Reply{}, newProblem(http.StatusBadRequest, codeNeedKey, chat.RanNo,
			"a call that may not be repeated needs an %s header of 1 to %d bytes", headerKey, claim.MaxKey)
	}
	rep, err := e.once.Run(ctx, once.Call{
		Call: sc.call, Customer: sc.cl.contract.Customer, Nonce: uuid.NewString(), Print: sc.print,
		Place: func(ctx context.Context) (once.Grant, error) { return e.place(ctx, sc, conn) },
		Gone:  func() bool { return conns.PeerClosed(conn) },
	})
	if err != nil {
		return relay.Reply{}, unanswered(err)
	}
	return rep, nil
}

// place waits for an endpoint for as long as the caller does.
func (e *Entry) place(ctx context.Context, sc serviceCall, conn net.Conn) (once.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.wg.Go(func() { watch(ctx, conn, cancel) })
	v, held, p := e.grant(ctx, sc, 0, nil)
	if p != nil {
		return once.Grant{}, p
	}
	return once.Grant{Target: v.Target, Finish: func(d sched.Completion) { e.opt.Broker.Finish(sc.cell, held, d) }}, nil
}
