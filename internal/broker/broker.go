package broker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/cell"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	askTimeout   = 1500 * time.Millisecond
	callTimeout  = time.Second
	findTimeout  = 4 * time.Second
	syncEvery    = time.Second
	retryPause   = 40 * time.Millisecond
	doneTimeout  = 5 * time.Second
	pendingDones = 4096
	maxDones     = 256
)

var (
	// ErrNoCell tells that no endpoint ever served the model or service.
	ErrNoCell   = errors.New("no endpoint serves it")
	errNoHolder = errors.New("nobody schedules the cell at present")
)

type (
	// Options holds what the broker needs.
	Options struct {
		Self  ctrl.Instance
		Links *peer.Links
		Find  *quorum.Client
		Cells *cell.Cells
		Log   *zap.Logger
	}

	// Broker finds the schedulers and keeps the table of what runs here.
	Broker struct {
		opt   Options
		mu    sync.Mutex
		cells map[string]*cellClient
		wg    conc.WaitGroup
		ctx   context.Context
	}

	// cellClient is what this instance has to do with one cell.
	cellClient struct {
		name  string
		find  sync.Mutex
		mu    sync.Mutex
		addr  netip.AddrPort
		epoch uint64
		anns  map[string]announcement
		runs  map[string]*Run
		dones chan sched.Done
	}

	// announcement is an announcement and when it came.
	announcement struct {
		ann endpt.Announce
		at  time.Time
	}

	// Run is one granted request that this instance relays.
	Run struct {
		mu     sync.Mutex
		ask    sched.Ask
		target sched.Target
		since  time.Time
		gap    time.Duration
	}
)

// New returns a broker whose reports end with the context.
func New(ctx context.Context, opt Options) *Broker {
	return &Broker{opt: opt, cells: map[string]*cellClient{}, ctx: ctx}
}

// Observe notes the present mean time between tokens of a run.
func (r *Run) Observe(gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gap = gap
}

func (b *Broker) cellClient(name string) *cellClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.cells[name]
	if o == nil {
		o = &cellClient{name: name, anns: map[string]announcement{}, runs: map[string]*Run{}, dones: make(chan sched.Done, pendingDones)}
		b.cells[name] = o
		b.wg.Go(func() { b.reports(o) })
		b.wg.Go(func() { b.finishes(o) })
	}
	return o
}

// holder returns the address of a cell's scheduler, and looks for it where it is not known; create is the kind of a new cell's
// endpoints, or "" where none is made.
func (b *Broker) holder(ctx context.Context, o *cellClient, create endpt.Kind) (netip.AddrPort, error) {
	if addr, ok := o.known(); ok {
		return addr, nil
	}
	o.find.Lock()
	defer o.find.Unlock()
	if addr, ok := o.known(); ok {
		return addr, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	sent := time.Now()
	q := quorum.Holder{Cell: o.name, Asker: b.opt.Self, Create: create != "", Kind: create, Decline: b.opt.Cells.Closed()}
	res, err := b.opt.Find.Holder(ctx, q)
	if err != nil {
		return netip.AddrPort{}, fault.At("find scheduler", o.name, err)
	}
	if res.Code == ctrl.NotFound {
		return netip.AddrPort{}, ErrNoCell
	}
	if !res.Holder.Addr.IsValid() {
		return netip.AddrPort{}, errNoHolder
	}
	if res.Holder.Boot == b.opt.Self.Boot {
		b.opt.Cells.Take(o.name, res.Epoch, sent)
	}
	b.moved(o, res.Holder.Addr, res.Epoch)
	return res.Holder.Addr, nil
}

func (o *cellClient) known() (netip.AddrPort, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addr, o.addr.IsValid()
}

// forget drops a holder that did not answer as one.
func (o *cellClient) forget(addr netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.addr == addr {
		o.addr = netip.AddrPort{}
	}
}

// moved notes a holder, and tells a new one at once what runs here and which endpoints were announced here.
func (b *Broker) moved(o *cellClient, addr netip.AddrPort, epoch uint64) {
	o.mu.Lock()
	fresh := o.epoch != epoch
	o.addr, o.epoch = addr, epoch
	var anns []announcement
	for name, h := range o.anns {
		if time.Since(h.at) > endpt.Stale {
			delete(o.anns, name)
			continue
		}
		anns = append(anns, h)
	}
	o.mu.Unlock()
	if !fresh {
		return
	}
	b.wg.Go(func() {
		b.report(o, addr)
		for _, h := range anns {
			q := cell.Order{Announce: &h.ann, Age: time.Since(h.at)}
			_, _ = b.call(b.ctx, o, addr, q, callTimeout)
		}
	})
}

// call gives an order to a cell's scheduler at an address, here or there.
func (b *Broker) call(ctx context.Context, o *cellClient, to netip.AddrPort, q cell.Order, timeout time.Duration) (cell.Answer, error) {
	q.Cell = o.name
	var a cell.Answer
	var err error
	if to == b.opt.Self.Addr {
		a, err = b.opt.Cells.Serve(ctx, q)
	} else {
		err = b.opt.Links.Call(ctx, to, method(&q), timeout, q, &a)
	}
	if err == nil && !a.Held {
		err = fault.New("call scheduler", to.String(), "does not hold the lease of %s", o.name)
	}
	if err != nil && ctx.Err() == nil {
		o.forget(to)
	}
	return a, err
}

// method returns the protocol method that carries an order.
func method(q *cell.Order) func(peer.Peer, context.Context, *peer.Frame) (*peer.Frame, error) {
	switch {
	case q.Ask != nil:
		return peer.Ask
	case q.Report != nil:
		return peer.Sync
	case q.Announce != nil:
		return peer.Announce
	case len(q.Done) > 0 || q.Cancel != "":
		return peer.Finish
	}
	return peer.Show
}

// Ask waits for the verdict on an ask, through changes of the scheduler, until the context ends.
// A run that is granted must be ended by Finish.
func (b *Broker) Ask(ctx context.Context, name string, a sched.Ask) (sched.Verdict, *Run, error) {
	o := b.cellClient(name)
	started := time.Now()
	waited := a.Waited
	var last error
	for ctx.Err() == nil {
		addr, err := b.holder(ctx, o, "")
		if errors.Is(err, ErrNoCell) {
			return sched.Verdict{}, nil, err
		}
		if err == nil {
			a.Waited = waited + time.Since(started)
			var ans cell.Answer
			ans, err = b.call(ctx, o, addr, cell.Order{Ask: &a}, askTimeout)
			if err == nil && ans.Verdict.Verb == sched.Wait {
				continue
			}
			if err == nil {
				return ans.Verdict, b.begin(o, a, ans.Verdict), nil
			}
		}
		last = err
		pace.Pause(ctx, retryPause)
	}
	b.cancel(o, a)
	return sched.Verdict{}, nil, fault.At("ask for grant", name, errors.Join(ctx.Err(), last))
}

// begin enters a granted run in the table; other verdicts give no run.
func (b *Broker) begin(o *cellClient, a sched.Ask, v sched.Verdict) *Run {
	if v.Verb != sched.Granted {
		return nil
	}
	r := &Run{ask: a, target: v.Target, since: time.Now()}
	o.mu.Lock()
	o.runs[a.ID] = r
	o.mu.Unlock()
	return r
}

// cancel takes back an ask whose caller has gone; a grant that was under way is ended too.
func (b *Broker) cancel(o *cellClient, a sched.Ask) {
	addr, ok := o.known()
	if !ok {
		return
	}
	b.wg.Go(func() {
		_, _ = b.call(b.ctx, o, addr, cell.Order{Cancel: a.ID, Entry: a.Entry}, callTimeout)
		b.finish(o, sched.Done{ID: a.ID, Attempt: a.Attempt, Unsent: true})
	})
}

// Show returns the state of each cell's scheduler that can be reached.
func (b *Broker) Show(ctx context.Context, names []string) map[string]sched.State {
	out := map[string]sched.State{}
	for _, name := range names {
		o := b.cellClient(name)
		addr, err := b.holder(ctx, o, "")
		if err != nil {
			continue
		}
		a, err := b.call(ctx, o, addr, cell.Order{}, callTimeout)
		if err == nil && a.State != nil {
			out[name] = *a.State
		}
	}
	return out
}

// Running returns the number of runs in the table.
func (b *Broker) Running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, o := range b.cells {
		o.mu.Lock()
		n += len(o.runs)
		o.mu.Unlock()
	}
	return n
}
