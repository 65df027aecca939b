package cell

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	renewEvery   = 500 * time.Millisecond
	renewTimeout = time.Second
)

type (
	// Order names a cell and carries one request for its scheduler.
	Order struct {
		Cell     string          `json:"cell"`
		Ask      *sched.Ask      `json:"ask,omitempty"`
		Done     []sched.Done    `json:"done,omitempty"`
		Cancel   string          `json:"cancel,omitempty"`
		Entry    string          `json:"entry,omitempty"`
		Report   *sched.Report   `json:"report,omitempty"`
		Announce *endpt.Announce `json:"announce,omitempty"`
		Age      time.Duration   `json:"age,omitempty"`
	}

	// Answer is what the scheduler said; with Held unset this instance does not hold the cell's lease.
	Answer struct {
		Held    bool          `json:"held"`
		Epoch   uint64        `json:"epoch"`
		Verdict sched.Verdict `json:"verdict"`
		State   *sched.State  `json:"state,omitempty"`
	}

	// Options holds what the schedulers of an instance need.
	Options struct {
		Self  ctrl.Instance
		Sched sched.Options
		Prop  Proposer
		View  func() *ctrl.View
		Fresh func(now time.Time) bool
		// Keep makes a scheduler go on when its lease cannot be renewed, until it is known that another has it.
		Keep bool
		Log  *zap.Logger
	}

	// Cells holds the cells whose leases this instance has.
	Cells struct {
		opt     Options
		mu      sync.RWMutex
		cells   map[string]*holding
		renewed time.Time
		wg      conc.WaitGroup
		ctx     context.Context
		closed  bool
	}

	// holding is a held cell and the time from which its lease is trusted.
	holding struct {
		cell *Cell
		stop context.CancelFunc
		from time.Time
	}
)

// Check returns an error for an order that carries nothing or something broken.
func (o *Order) Check() error {
	switch {
	case o.Cell == "":
		return errors.New("order: cell is missing")
	case o.Ask != nil:
		return o.Ask.Check()
	case o.Announce != nil:
		return o.Announce.Check()
	}
	return nil
}

// New returns an empty set of cells that Run keeps alive.
func New(ctx context.Context, opt Options) *Cells {
	return &Cells{opt: opt, cells: map[string]*holding{}, ctx: ctx}
}

// Run renews the leases until the context ends, then hands them back.
func (s *Cells) Run(ctx context.Context) {
	pace.Every(ctx, renewEvery, func() { s.renew(ctx) })
}

// Take begins to schedule a cell under a lease that was won by a call sent at from.
func (s *Cells) Take(name string, epoch uint64, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if h := s.cells[name]; h != nil {
		if h.cell.epoch >= epoch {
			return
		}
		h.stop()
	}
	ctx, stop := context.WithCancel(s.ctx)
	c := newCell(time.Now(), name, epoch, s.opt.Sched, s.opt.Prop, s.opt.View, s.opt.Log)
	s.cells[name] = &holding{cell: c, stop: stop, from: from}
	s.wg.Go(func() { c.run(ctx) })
	s.wg.Go(func() { c.fetch(ctx) })
	s.opt.Log.Info("scheduling cell", zap.String("cell", name), zap.Uint64("epoch", epoch))
}

func (s *Cells) renew(ctx context.Context) {
	held := s.Names()
	if len(held) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sent := time.Now()
	res, err := s.opt.Prop.Propose(ctx, ctrl.Command{RenewLeases: &ctrl.RenewLeases{Boot: s.opt.Self.Boot, Cells: held}})
	if err != nil || res.Code != ctrl.OK {
		s.drop(time.Now())
		return
	}
	s.mu.Lock()
	s.renewed = sent
	for _, name := range res.LostCells {
		s.end(name)
	}
	s.mu.Unlock()
	s.drop(time.Now())
}

// end ends the scheduler of a cell whose lease is lost; its caller holds the lock.
func (s *Cells) end(name string) {
	h := s.cells[name]
	if h == nil {
		return
	}
	h.stop()
	delete(s.cells, name)
	s.opt.Log.Warn("lease of cell lapsed", zap.String("cell", name), zap.Uint64("epoch", h.cell.epoch))
}

// valid reports whether a lease is still trusted; it is asked again at each use.
func (s *Cells) valid(now time.Time, h *holding) bool {
	if s.opt.Keep {
		return true
	}
	from := h.from
	if s.renewed.After(from) {
		from = s.renewed
	}
	return now.Sub(from) < HolderTerm
}

// drop ends the schedulers whose lease is no longer trusted.
func (s *Cells) drop(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.cells {
		if s.valid(now, h) {
			continue
		}
		s.end(name)
	}
}

// get returns a cell that this instance may schedule now.
func (s *Cells) get(name string) *Cell {
	now := time.Now()
	s.mu.RLock()
	defer s.mu.RUnlock()
	h := s.cells[name]
	if h == nil || !s.valid(now, h) {
		return nil
	}
	return h.cell
}

// Serve carries out an order for a cell.
func (s *Cells) Serve(ctx context.Context, o Order) (Answer, error) {
	c := s.get(o.Cell)
	if c == nil {
		return Answer{}, nil
	}
	a := Answer{Held: true, Epoch: c.epoch}
	switch {
	case o.Ask != nil:
		if !s.opt.Fresh(clock.Now()) {
			return Answer{}, errors.New("configuration not proven current")
		}
		a.Verdict = c.Ask(ctx, *o.Ask)
		a.Held = s.get(o.Cell) == c
	case o.Report != nil:
		c.sync(*o.Report)
	case o.Announce != nil:
		c.announce(*o.Announce, o.Age)
	case o.Cancel != "":
		c.cancel(o.Cancel, o.Entry)
	case len(o.Done) > 0:
		c.finish(o.Done)
	default:
		st := c.show()
		a.State = &st
	}
	return a, nil
}

// Name names the cell of a model or service in a region.
func Name(what, region string) string {
	return what + "@" + region
}

// Names returns the names of all cells of a configuration; a lease that is no cell's has no region.
func Names(v *ctrl.View) []string {
	var out []string
	for n := range v.Cells {
		if strings.Contains(n, "@") {
			out = append(out, n)
		}
	}
	return out
}

// Names returns the names of the held cells.
func (s *Cells) Names() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []string
	for n := range s.cells {
		out = append(out, n)
	}
	return out
}

// Closed reports whether this instance schedules no more.
func (s *Cells) Closed() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.closed
}

// Close stops scheduling, gives back the unspent slices and then the leases.
func (s *Cells) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	held := s.cells
	s.cells = map[string]*holding{}
	s.mu.Unlock()
	for _, h := range held {
		h.stop()
		h.cell.giveBack(ctx)
	}
	if len(held) > 0 {
		if _, err := s.opt.Prop.Propose(ctx, ctrl.Command{RenewLeases: &ctrl.RenewLeases{Boot: s.opt.Self.Boot, Release: true}}); err != nil {
			s.opt.Log.Warn("leases not given up", zap.Error(err))
		}
	}
	s.wg.Wait()
}
