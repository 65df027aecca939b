package engctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

const (
	// LeaseName is the name of the lease under which orders are sent; it names no cell.
	LeaseName = "orders"
	// roundInterval is the time between two rounds over all engines.
	roundInterval = 500 * time.Millisecond
	// controlTimeout is the time limit of the calls to the log and the schedulers.
	controlTimeout = 2 * time.Second
	// trustedLeaseTerm is how long the holder considers the lease valid after it sent its last successful renewal. It is below
	// ctrl.LeaseTerm, so that the holder stops before the lease expires.
	trustedLeaseTerm = 2500 * time.Millisecond
	// maxStateBytes bounds an engine's answer to an order, in bytes.
	maxStateBytes = 64 << 10
)

type (
	// Log proposes changes of the control state and acquires leases.
	Log interface {
		Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
		Holder(ctx context.Context, h quorum.HolderRequest) (ctrl.Result, error)
	}

	// Options configures an Executor. DesiredStates returns the desired states by endpoint, and none if this instance doesn't lead
	// the log. Engines returns the engines known to the schedulers, by endpoint.
	Options struct {
		Self          ctrl.Instance
		Log           Log
		DesiredStates func() map[string]ctrl.DesiredState
		Engines       func(ctx context.Context) map[string]sched.EndpointState
		Logger        *zap.Logger
	}

	// Executor sends orders to engines while it holds the lease.
	Executor struct {
		opt    Options
		client *http.Client
		// heldSince is when the lease was acquired, and trustedUntil the time until which the last renewal is relied on.
		heldSince    time.Time
		trustedUntil time.Time
		epoch        uint64
		// observed holds the last known state of each engine, by endpoint.
		observed map[string]observation
	}

	// observation is an engine's state and the time at which it was read.
	observation struct {
		state order.State
		at    time.Time
	}
)

// New returns an Executor that doesn't hold the lease yet.
func New(opt Options) *Executor {
	return &Executor{
		// An answer does not name its order: over a connection that served others, it might be that of an earlier one.
		opt: opt, client: &http.Client{Timeout: order.Timeout, Transport: conns.NewUnpooledTransport()},
		observed: map[string]observation{},
	}
}

// Run sends orders until the context ends.
func (e *Executor) Run(ctx context.Context) {
	pace.Every(ctx, roundInterval, func() { e.runRound(ctx) })
}

// runRound reconciles all engines once, if there are orders and the lease is held.
func (e *Executor) runRound(ctx context.Context) {
	desired := e.opt.DesiredStates()
	if len(desired) == 0 {
		return
	}
	controlCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if !e.holdLease(controlCtx) {
		return
	}
	engines := e.opt.Engines(controlCtx)
	for name, wanted := range desired {
		if engine, ok := engines[name]; ok && engine.Live {
			e.reconcile(ctx, name, order.DesiredState{Fence: wanted.Fence, DoneFence: wanted.DoneFence, Values: wanted.Values}, engine)
		}
	}
}

// holdLease acquires or renews the lease and reports whether it is held.
func (e *Executor) holdLease(ctx context.Context) bool {
	sentAt := time.Now()
	res, err := e.opt.Log.Holder(ctx, quorum.HolderRequest{Cell: LeaseName, Requester: e.opt.Self, Create: true})
	if err != nil || res.Holder.Boot != e.opt.Self.Boot {
		return false
	}
	if res.Epoch != e.epoch {
		e.epoch, e.heldSince, e.observed = res.Epoch, time.Now(), map[string]observation{}
		e.trustedUntil = sentAt.Add(trustedLeaseTerm)
		return true
	}
	if renewed, err := e.opt.Log.Propose(ctx, ctrl.Command{
		RenewLeases: &ctrl.RenewLeases{Boot: e.opt.Self.Boot, Cells: []string{LeaseName}},
	}); err != nil || renewed.Code != ctrl.OK {
		return e.leaseTrusted()
	}
	e.trustedUntil = sentAt.Add(trustedLeaseTerm)
	return true
}

// leaseTrusted reports whether the lease is still valid by the last renewal. It is checked again before each order, as the process
// may have been frozen in between.
func (e *Executor) leaseTrusted() bool {
	return time.Now().Before(e.trustedUntil)
}

// reconcile takes the next step that brings an engine to its desired state.
func (e *Executor) reconcile(ctx context.Context, name string, desired order.DesiredState, engine sched.EndpointState) {
	known := order.Engine{EnforcesFence: engine.EnforcesFence}
	if obs, ok := e.observed[name]; ok {
		known.State, known.StateReadAt = &obs.state, obs.at
	}
	action, orders := order.NextAction(time.Now(), e.heldSince, ctrl.LeaseTerm, desired, known)
	switch action {
	case order.ReadState:
		e.readState(ctx, name, engine.Addr)
	case order.SendOrders:
		e.sendOrders(ctx, name, desired, engine, orders)
	case order.MarkDone:
		e.markDone(ctx, name, desired.Fence)
	}
}

func (e *Executor) readState(ctx context.Context, name string, addr netip.AddrPort) {
	state, err := e.request(ctx, http.MethodGet, addr, nil)
	if err != nil {
		e.opt.Logger.Warn("engine's state not read", zap.String("peer", name), zap.Error(err))
		return
	}
	e.observed[name] = observation{state: state, at: time.Now()}
}

// sendOrders sends orders one at a time and stops at the first failure.
func (e *Executor) sendOrders(
	ctx context.Context, name string, desired order.DesiredState, engine sched.EndpointState, orders []order.Order,
) {
	for _, o := range orders {
		if !e.leaseTrusted() {
			return
		}
		state, err := e.request(ctx, http.MethodPost, engine.Addr, o)
		if err != nil {
			delete(e.observed, name)
			e.opt.Logger.Warn("order failed", zap.String("peer", name), zap.Uint64("fence", o.Fence), zap.Error(err))
			return
		}
		e.observed[name] = observation{state: state, at: time.Now()}
		e.opt.Logger.Info("order carried out", zap.String("peer", name), zap.Uint64("fence", o.Fence),
			zap.String("kind", string(o.Kind)), zap.String("value", o.Value))
	}
	e.markDone(ctx, name, desired.Fence)
}

// markDone records in the log that the orders up to a fencing token were carried out. A failure is ignored, as a later round
// tries again.
func (e *Executor) markDone(ctx context.Context, name string, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	_, _ = e.opt.Log.Propose(ctx, ctrl.Command{Order: &ctrl.Order{Endpoint: name, DoneFence: fence}})
}

// request reads an engine's state, or sends it the order in body; both return the engine's state.
func (e *Executor) request(ctx context.Context, method string, addr netip.AddrPort, body any) (order.State, error) {
	var state order.State
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return state, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/orders", addr), bytes.NewReader(data))
	if err != nil {
		return state, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return state, fault.Wrap("order", addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return state, fault.Errorf("order", addr.String(), "status %d", resp.StatusCode)
	}
	answered, whole, err := answer.ReadBody(resp, maxStateBytes)
	if err != nil {
		return state, fault.Wrap("order", addr.String(), err)
	}
	if !whole {
		return state, fault.Errorf("order", addr.String(), "the answer has more than %d bytes", maxStateBytes)
	}
	err = json.Unmarshal(answered, &state)
	return state, fault.Wrap("order", addr.String(), err)
}
