package scale

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// planInterval is the time between two plans. The notice of a reclaim is ten times as long.
	planInterval = 200 * time.Millisecond
	// steadyFor is the time for which the number of a service's endpoints must not change before the first order for it, as endpoints
	// announce themselves one after the other.
	steadyFor = time.Second
	// retryAfter is the time to the next try after a call that was not carried out, or may not have been. Each try is a commit and a call.
	retryAfter = 400 * time.Millisecond
	// resendMargin is the time, on top of the boot time, for which the endpoints in service may differ from an order before it is sent again.
	// It doubles with each time, as a platform that has no more endpoints is not helped by calls.
	resendMargin = 6 * time.Second
	// maxResends bounds the doublings of the time.
	maxResends = 6
	// unknownCount stands for a number that this instance does not know. It differs from that of any order.
	unknownCount = -1
)

type (
	// Keeper gives this instance the right to make calls.
	Keeper interface {
		Holds(now time.Time) bool
		Grant(ctx context.Context, now time.Time, name duty.Name, subject string) (duty.Grant, error)
		Renew(ctx context.Context, now time.Time, name duty.Name, subject string) (duty.Grant, error)
		Refuse(grant duty.Grant)
	}

	// Platform takes orders.
	Platform interface {
		OrderEndpoints(ctx context.Context, addr netip.AddrPort, grant duty.Grant, order Order) error
	}

	// Log holds the orders that were committed.
	Log interface {
		CommitOrder(ctx context.Context, order Order) error
		Orders() []Order
	}

	// Fleet tells which endpoints are in service and what their load is.
	Fleet interface {
		// Services returns the services with scaling, with their demand and endpoints.
		Services(now time.Time) []State
	}

	// State is the present state of a service.
	State struct {
		Name      string
		Scaling   *table.Scaling
		Demand    place.Demand
		Endpoints []Endpoint
	}

	// Options configures a Runner. Addr is the platform's address.
	Options struct {
		Addr     netip.AddrPort
		Keeper   Keeper
		Platform Platform
		Log      Log
		Fleet    Fleet
		Now      func() time.Time
		Logger   *zap.Logger
	}

	// orderState is the last order of a kind and what became of it.
	orderState struct {
		LastOrder
		// accepted is the number that the platform has accepted last, or unknownCount.
		accepted int
		// refused is set if the platform refused this number, which is not sent again for a time.
		refused bool
		// inherited is set for an order of an earlier holder until it is first compared with the endpoints in service.
		inherited bool
		// differsSince is since when the endpoints in service differ from the number, or zero; resends counts the repeats for it.
		differsSince time.Time
		resends      int
	}

	// subjectState is the state of the calls about a service and zone.
	subjectState struct {
		calling bool
		// renew is set if an earlier call may still be carried out.
		renew   bool
		retryAt time.Time
	}

	// serviceState is what this instance remembers of a service while it holds the duty.
	serviceState struct {
		orders      map[Kind]*orderState
		reclaimedAt map[string]time.Time
		// reclaimed is the number of endpoints with a notice when they were last seen, by zone.
		reclaimed map[string]int
		target    int
		loweredAt time.Time
		// endpoints is the number of endpoints last seen, unchanged since steadySince.
		endpoints   int
		steadySince time.Time
		// fault is the error of the scaling that was logged.
		fault string
	}

	// Runner orders endpoints while this instance holds the duty.
	Runner struct {
		opt Options
		wg  conc.WaitGroup
		// mu guards the fields below.
		mu sync.Mutex
		// held is set while this instance holds the duty.
		held     bool
		services map[string]*serviceState
		subjects map[string]*subjectState
	}
)

// New returns a runner.
func New(opt Options) *Runner {
	return &Runner{opt: opt, services: map[string]*serviceState{}, subjects: map[string]*subjectState{}}
}

// Run plans and orders until the context is done.
func (r *Runner) Run(ctx context.Context) {
	pace.Every(ctx, planInterval, func() { r.step(ctx) })
	r.wg.Wait()
}

// step makes and commits one plan and starts the calls for it.
func (r *Runner) step(ctx context.Context) {
	now := r.opt.Now()
	if !r.hold(now) {
		return
	}
	for _, state := range r.opt.Fleet.Services(now) {
		if r.check(&state) {
			r.plan(ctx, now, &state)
		}
	}
	r.call(ctx, now)
}

// hold reports whether this instance holds the duty. What it remembers begins anew with each time, from the committed orders.
func (r *Runner) hold(now time.Time) bool {
	held := r.opt.Keeper.Holds(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if held == r.held {
		return held
	}
	r.held, r.services, r.subjects = held, map[string]*serviceState{}, map[string]*subjectState{}
	if held {
		for _, o := range r.opt.Log.Orders() {
			r.service(o.Service).orders[o.kind()] = &orderState{LastOrder: LastOrder{Count: o.Count, Since: now}, accepted: o.Count, inherited: true}
		}
	}
	return held
}

func (o *Order) kind() Kind {
	return Kind{o.Zone, o.Spot}
}

func (r *Runner) service(name string) *serviceState {
	s := r.services[name]
	if s == nil {
		s = &serviceState{orders: map[Kind]*orderState{}, reclaimedAt: map[string]time.Time{}, reclaimed: map[string]int{}}
		r.services[name] = s
	}
	return s
}

// check reports whether the scaling of a service is valid, and logs once if it is not. The endpoints of such a service stay as they are.
func (r *Runner) check(state *State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, fault := r.service(state.Name), ""
	if err := state.Scaling.Check(); err != nil {
		fault = err.Error()
	}
	if fault != s.fault && fault != "" {
		r.opt.Logger.Warn("service not scaled", zap.String("service", state.Name), zap.String("reason", fault))
	}
	s.fault = fault
	return fault == ""
}

// plan commits the orders for a service that differ from the last ones.
func (r *Runner) plan(ctx context.Context, now time.Time, state *State) {
	in, ready := r.observe(now, state)
	if !ready {
		return
	}
	decision := Decide(now, &in)
	for _, o := range decision.Orders {
		if err := r.opt.Log.CommitOrder(ctx, o); err != nil {
			r.opt.Logger.Warn("order of endpoints not committed", zap.String("service", o.Service), zap.String("zone", o.Zone), zap.Error(err))
			return
		}
		r.record(now, o, in.Orders[o.kind()].Count)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(state.Name)
	if s.target = decision.Target; decision.Lowered {
		s.loweredAt = now
	}
}

// observe updates what is remembered of a service and returns the input of its plan, or false if it is too early for one.
func (r *Runner) observe(now time.Time, state *State) (in Service, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(state.Name)
	if len(state.Endpoints) != s.endpoints || s.steadySince.IsZero() {
		s.endpoints, s.steadySince = len(state.Endpoints), now
	}
	serving, reclaimed := map[Kind]int{}, map[string]int{}
	for _, e := range state.Endpoints {
		if e.Reclaimed {
			// Reclaimed endpoints that left without reporting it stay registered for some time; they are no new reclaim.
			if reclaimed[e.Zone]++; reclaimed[e.Zone] > s.reclaimed[e.Zone] {
				s.reclaimedAt[e.Zone] = now
			}
		}
		if !e.Leaving {
			serving[Kind{e.Zone, e.Spot}]++
		}
	}
	s.reclaimed = reclaimed
	in = Service{
		Name: state.Name, Scaling: *state.Scaling, Demand: state.Demand, Endpoints: state.Endpoints, Orders: map[Kind]LastOrder{},
		ReclaimedAt: s.reclaimedAt, Target: s.target, LoweredAt: s.loweredAt,
	}
	for kind, o := range s.orders {
		o.compare(now, serving[kind], state.Scaling.Boot)
		last := o.LastOrder
		last.Accepted = max(0, o.accepted)
		in.Orders[kind] = last
	}
	return in, len(s.orders) > 0 || now.Sub(s.steadySince) >= steadyFor
}

// compare has an order sent again if the endpoints in service have differed from it for long. That of an earlier holder may not have been sent;
// if it was, a lease ago at least, its endpoints have had about the boot time.
func (o *orderState) compare(now time.Time, serving int, boot time.Duration) {
	if o.inherited {
		o.inherited, o.Since = false, now.Add(-boot)
		if serving != o.Count {
			o.differsSince = o.Since
		}
	}
	if serving == o.Count || o.refused || o.accepted != o.Count {
		if o.differsSince = (time.Time{}); serving == o.Count {
			o.resends = 0
		}
		return
	}
	if o.differsSince.IsZero() {
		o.differsSince = now
	}
	since := o.differsSince
	if o.Since.After(since) {
		since = o.Since
	}
	if now.Sub(since) > (boot+resendMargin)<<o.resends {
		o.accepted, o.differsSince, o.resends = unknownCount, time.Time{}, min(o.resends+1, maxResends)
	}
}

// record remembers and logs an order that was committed.
func (r *Runner) record(now time.Time, order Order, previous int) {
	r.opt.Logger.Info("endpoints ordered", zap.String("service", order.Service), zap.String("zone", order.Zone),
		zap.Bool("spot", order.Spot), zap.Int("count", order.Count), zap.Int("previous", previous), zap.String("reason", order.Reason))
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(order.Service)
	o := s.orders[order.kind()]
	if o == nil {
		o = &orderState{accepted: unknownCount}
		s.orders[order.kind()] = o
	}
	o.Count, o.Since, o.refused, o.differsSince = order.Count, now, false, time.Time{}
}

// call starts the calls for orders that the platform has not accepted, one at a time for each subject.
func (r *Runner) call(ctx context.Context, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		for kind, o := range s.orders {
			order := Order{Service: name, Zone: kind.Zone, Spot: kind.Spot, Count: o.Count}
			subject := r.subject(order.Subject())
			o.refused = o.refused && now.Sub(o.RefusedAt) < refusalPause
			if o.accepted == o.Count || o.refused || subject.calling || now.Before(subject.retryAt) {
				continue
			}
			// A repeat takes a new token, so that the order before is not carried out after it.
			subject.calling, subject.renew = true, subject.renew || o.resends > 0
			r.wg.Go(func() { r.send(ctx, order, o, subject) })
		}
	}
}

func (r *Runner) subject(name string) *subjectState {
	s := r.subjects[name]
	if s == nil {
		s = &subjectState{}
		r.subjects[name] = s
	}
	return s
}

// send sends an order and records what became of it.
func (r *Runner) send(ctx context.Context, order Order, o *orderState, subject *subjectState) {
	r.mu.Lock()
	renew := subject.renew
	r.mu.Unlock()
	grant, err := r.try(ctx, &order, renew)
	renewed := grant.Token != 0
	if errors.Is(err, duty.ErrStale) {
		// The platform may have seen a higher token. A second refusal means that no endpoints are to be had.
		r.opt.Keeper.Refuse(grant)
		if grant, err = r.try(ctx, &order, false); errors.Is(err, duty.ErrStale) {
			r.opt.Keeper.Refuse(grant)
		}
	}
	now := r.opt.Now()
	if err != nil {
		r.opt.Logger.Warn("order of endpoints not accepted", zap.String("service", order.Service), zap.String("zone", order.Zone),
			zap.Bool("spot", order.Spot), zap.Int("count", order.Count), zap.Uint64("token", grant.Token), zap.Error(err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	subject.calling = false
	if renewed {
		subject.renew = false
	}
	switch {
	case err == nil:
		if order.Count > o.accepted {
			o.RefusedAt = time.Time{}
		}
		o.accepted = order.Count
	case errors.Is(err, duty.ErrUnanswered):
		// The call may have been carried out, or be later. A larger token fences it off, and the order is sent again even if it is by then
		// for the number that the platform had accepted before.
		subject.renew, subject.retryAt, o.accepted = true, now.Add(retryAfter), unknownCount
	case errors.Is(err, duty.ErrBusy), errors.Is(err, duty.ErrNotHolder), ctx.Err() != nil:
		subject.retryAt = now.Add(retryAfter)
	default:
		o.RefusedAt, o.refused = now, o.Count == order.Count
	}
}

// try makes one call.
func (r *Runner) try(ctx context.Context, order *Order, renew bool) (duty.Grant, error) {
	take := r.opt.Keeper.Grant
	if renew {
		take = r.opt.Keeper.Renew
	}
	grant, err := take(ctx, r.opt.Now(), duty.Autoscaling, order.Subject())
	if err != nil {
		return duty.Grant{}, err
	}
	return grant, r.opt.Platform.OrderEndpoints(ctx, r.opt.Addr, grant, *order)
}
