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

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/order"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
)

const (
	// LeaseName is the lease under which orders are carried out; it is no cell.
	LeaseName   = "orders"
	every       = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	// trust is how long a holder trusts its last renewal.
	trust = 2500 * time.Millisecond
)

type (
	// Log changes the control state.
	Log interface {
		Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
		Holder(ctx context.Context, h quorum.HolderRequest) (ctrl.Result, error)
	}

	// Options holds what an executor needs. Desired returns the orders, and none where this instance does not lead the
	// log; Engines tells the engines that schedulers know.
	Options struct {
		Self    ctrl.Instance
		Log     Log
		Desired func() map[string]ctrl.DesiredState
		Engines func(ctx context.Context) map[string]sched.EndpointState
		Events  *zap.Logger
	}

	// Executor carries out orders while it holds the lease.
	Executor struct {
		opt    Options
		client *http.Client
		held   time.Time
		until  time.Time
		epoch  uint64
		seen   map[string]seen
	}

	seen struct {
		state order.State
		at    time.Time
	}
)

// New returns an executor that does not hold the lease yet.
func New(opt Options) *Executor {
	return &Executor{opt: opt, client: &http.Client{Timeout: order.Timeout}, seen: map[string]seen{}}
}

// Run carries out orders until the context ends.
func (x *Executor) Run(ctx context.Context) {
	pace.Every(ctx, every, func() { x.round(ctx) })
}

// round looks at all orders once, if there are any and the lease is held.
func (x *Executor) round(ctx context.Context) {
	desired := x.opt.Desired()
	if len(desired) == 0 {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !x.hold(cctx) {
		return
	}
	engines := x.opt.Engines(cctx)
	for name, w := range desired {
		if e, ok := engines[name]; ok && e.Live {
			x.engine(ctx, name, order.DesiredState{Fence: w.Fence, Done: w.Done, Want: w.Want}, e)
		}
	}
}

// hold takes or renews the lease and reports whether it is held.
func (x *Executor) hold(ctx context.Context) bool {
	sent := time.Now()
	res, err := x.opt.Log.Holder(ctx, quorum.HolderRequest{Cell: LeaseName, Asker: x.opt.Self, Create: true})
	if err != nil || res.Holder.Boot != x.opt.Self.Boot {
		return false
	}
	if res.Epoch != x.epoch {
		x.epoch, x.held, x.seen = res.Epoch, time.Now(), map[string]seen{}
		x.until = sent.Add(trust)
		return true
	}
	if r, err := x.opt.Log.Propose(ctx, ctrl.Command{Renew: &ctrl.Renew{Boot: x.opt.Self.Boot, Cells: []string{LeaseName}}}); err != nil || r.Code != ctrl.OK {
		return x.trusted()
	}
	x.until = sent.Add(trust)
	return true
}

// trusted is asked again before each order, as the process may have been frozen.
func (x *Executor) trusted() bool {
	return time.Now().Before(x.until)
}

func (x *Executor) engine(ctx context.Context, name string, w order.DesiredState, e sched.EndpointState) {
	known := order.Engine{Fences: e.Fences}
	if s, ok := x.seen[name]; ok {
		known.Seen, known.SeenAt = &s.state, s.at
	}
	action, orders := order.Step(time.Now(), x.held, ctrl.LeaseTerm, w, known)
	switch action {
	case order.Look:
		x.look(ctx, name, e.Addr)
	case order.Send:
		x.send(ctx, name, w, e, orders)
	case order.Settle:
		x.done(ctx, name, w.Fence)
	}
}

func (x *Executor) look(ctx context.Context, name string, addr netip.AddrPort) {
	st, err := x.do(ctx, http.MethodGet, addr, nil)
	if err != nil {
		x.opt.Events.Warn("engine's state not read", zap.String("peer", name), zap.Error(err))
		return
	}
	x.seen[name] = seen{state: st, at: time.Now()}
}

// send gives orders one at a time.
func (x *Executor) send(ctx context.Context, name string, w order.DesiredState, e sched.EndpointState, orders []order.Order) {
	for _, o := range orders {
		if !x.trusted() {
			return
		}
		st, err := x.do(ctx, http.MethodPost, e.Addr, o)
		if err != nil {
			delete(x.seen, name)
			x.opt.Events.Warn("order failed", zap.String("peer", name), zap.Uint64("fence", o.Fence), zap.Error(err))
			return
		}
		x.seen[name] = seen{state: st, at: time.Now()}
		x.opt.Events.Info("order carried out", zap.String("peer", name), zap.Uint64("fence", o.Fence),
			zap.String("kind", string(o.Kind)), zap.String("value", o.Value))
	}
	x.done(ctx, name, w.Fence)
}

func (x *Executor) done(ctx context.Context, name string, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = x.opt.Log.Propose(ctx, ctrl.Command{Order: &ctrl.Order{Endpoint: name, Done: fence}})
}

func (x *Executor) do(ctx context.Context, method string, addr netip.AddrPort, body any) (order.State, error) {
	var st order.State
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return st, err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/v1/orders", addr), bytes.NewReader(data))
	if err != nil {
		return st, err
	}
	resp, err := x.client.Do(q)
	if err != nil {
		return st, fault.At("order", addr.String(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st, fault.New("order", addr.String(), "status %d", resp.StatusCode)
	}
	return st, json.NewDecoder(resp.Body).Decode(&st)
}
