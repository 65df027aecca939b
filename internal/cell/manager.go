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
	// renewInterval is the time between two renewals of the leases.
	renewInterval = 500 * time.Millisecond
	// renewTimeout is the time limit of one renewal.
	renewTimeout = time.Second
)

type (
	// Call is one call to the scheduler of a cell. At most one of Request, Report, Announcement, CancelID and Completions is set;
	// a call without any of them asks for the state. Entry is the entry that cancels the request CancelID.
	Call struct {
		Cell            string              `json:"cell"`
		Request         *sched.Request      `json:"ask,omitempty"`
		Completions     []sched.Completion  `json:"done,omitempty"`
		CancelID        string              `json:"cancel,omitempty"`
		Entry           string              `json:"entry,omitempty"`
		Report          *sched.EntryReport  `json:"report,omitempty"`
		Announcement    *endpt.Announcement `json:"announce,omitempty"`
		AnnouncementAge time.Duration       `json:"age,omitempty"`
	}

	// Reply is the scheduler's reply to a call. It is valid only if Held is set; otherwise this instance does not hold the
	// lease of the cell.
	Reply struct {
		Held     bool           `json:"held"`
		Epoch    uint64         `json:"epoch"`
		Decision sched.Decision `json:"verdict"`
		State    *sched.State   `json:"state,omitempty"`
	}

	// Options configures the schedulers of an instance.
	Options struct {
		Self      ctrl.Instance
		Scheduler sched.Options
		Proposer  Proposer
		// View returns the current configuration.
		View func() *ctrl.View
		// ConfigCurrent reports whether the configuration is proven current at a time of package clock.
		ConfigCurrent func(now time.Time) bool
		// KeepLeases makes a scheduler continue when its lease cannot be renewed, until another holder is known.
		KeepLeases bool
		Log        *zap.Logger
	}

	// Manager runs the schedulers of the cells whose leases this instance holds.
	Manager struct {
		opt Options
		// mu guards leases, lastRenewal and closed.
		mu sync.RWMutex
		// leases is indexed by the name of the cell.
		leases map[string]*lease
		// lastRenewal is when the last successful renewal was sent.
		lastRenewal time.Time
		wg          conc.WaitGroup
		ctx         context.Context
		closed      bool
	}

	// lease is the lease of a cell, held since the given time, and the cell's scheduler.
	lease struct {
		cell  *Cell
		stop  context.CancelFunc
		since time.Time
	}
)

// Check returns an error for a call without a cell or with an invalid request or announcement.
func (call *Call) Check() error {
	switch {
	case call.Cell == "":
		return errors.New("order: cell is missing")
	case call.Request != nil:
		return call.Request.Check()
	case call.Announcement != nil:
		return call.Announcement.Check()
	}
	return nil
}

// New returns a manager without cells. The schedulers end with the context; Run renews their leases.
func New(ctx context.Context, opt Options) *Manager {
	return &Manager{opt: opt, leases: map[string]*lease{}, ctx: ctx}
}

// Run renews the leases until the context ends. It does not release them; Close does.
func (m *Manager) Run(ctx context.Context) {
	pace.Every(ctx, renewInterval, func() { m.renewLeases(ctx) })
}

// Start starts to schedule a cell under a lease that was acquired by a call sent at since. The leader starts the term of the lease
// later than that, so that counting from the time of sending is safe. A lease whose epoch is not higher than the present one is
// ignored.
func (m *Manager) Start(name string, epoch uint64, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	if held := m.leases[name]; held != nil {
		if held.cell.epoch >= epoch {
			return
		}
		held.stop()
	}
	ctx, stop := context.WithCancel(m.ctx)
	cell := newCell(time.Now(), name, epoch, m.opt.Scheduler, m.opt.Proposer, m.opt.View, m.opt.Log)
	m.leases[name] = &lease{cell: cell, stop: stop, since: since}
	m.wg.Go(func() { cell.runTicks(ctx) })
	m.wg.Go(func() { cell.acquireSlices(ctx) })
	m.opt.Log.Info("scheduling cell", zap.String("cell", name), zap.Uint64("epoch", epoch))
}

// renewLeases renews all leases at once, and stops the cells whose lease is lost or no longer trusted.
func (m *Manager) renewLeases(ctx context.Context) {
	cells := m.HeldCells()
	if len(cells) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := time.Now()
	result, err := m.opt.Proposer.Propose(ctx, ctrl.Command{RenewLeases: &ctrl.RenewLeases{Boot: m.opt.Self.Boot, Cells: cells}})
	if err != nil || result.Code != ctrl.OK {
		m.stopUntrusted(time.Now())
		return
	}
	m.mu.Lock()
	m.lastRenewal = sentAt
	for _, name := range result.LostCells {
		m.stop(name)
	}
	m.mu.Unlock()
	m.stopUntrusted(time.Now())
}

// stop stops the scheduler of a cell whose lease is lost. The caller holds mu.
func (m *Manager) stop(name string) {
	held := m.leases[name]
	if held == nil {
		return
	}
	held.stop()
	delete(m.leases, name)
	m.opt.Log.Warn("lease of cell lapsed", zap.String("cell", name), zap.Uint64("epoch", held.cell.epoch))
}

// trusted reports whether a lease can still be relied on. It is evaluated at each use, since a lease expires without an event.
func (m *Manager) trusted(now time.Time, held *lease) bool {
	if m.opt.KeepLeases {
		return true
	}
	since := held.since
	if m.lastRenewal.After(since) {
		since = m.lastRenewal
	}
	return now.Sub(since) < TrustedLeaseTerm
}

// stopUntrusted stops the schedulers whose lease can no longer be relied on.
func (m *Manager) stopUntrusted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, held := range m.leases {
		if m.trusted(now, held) {
			continue
		}
		m.stop(name)
	}
}

// cell returns the named cell, or nil if this instance may not schedule it now.
func (m *Manager) cell(name string) *Cell {
	now := time.Now()
	m.mu.RLock()
	defer m.mu.RUnlock()
	held := m.leases[name]
	if held == nil || !m.trusted(now, held) {
		return nil
	}
	return held.cell
}

// Handle executes a call for a cell. It returns a reply without Held if this instance does not hold the lease, and an error if
// a grant is requested while the configuration is not proven current. The lease is checked again after the wait for a decision,
// because it may have been lost in the meantime.
func (m *Manager) Handle(ctx context.Context, call Call) (Reply, error) {
	cell := m.cell(call.Cell)
	if cell == nil {
		return Reply{}, nil
	}
	reply := Reply{Held: true, Epoch: cell.epoch}
	switch {
	case call.Request != nil:
		if !m.opt.ConfigCurrent(clock.Now()) {
			return Reply{}, errors.New("configuration not proven current")
		}
		reply.Decision = cell.RequestGrant(ctx, *call.Request)
		reply.Held = m.cell(call.Cell) == cell
	case call.Report != nil:
		cell.sync(*call.Report)
	case call.Announcement != nil:
		cell.announce(*call.Announcement, call.AnnouncementAge)
	case call.CancelID != "":
		cell.cancel(call.CancelID, call.Entry)
	case len(call.Completions) > 0:
		cell.finish(call.Completions)
	default:
		state := cell.state()
		reply.State = &state
	}
	return reply, nil
}

// Name returns the name of the cell of a model or service in a region.
func Name(model, region string) string {
	return model + "@" + region
}

// Names returns the names of all cells of a configuration. Leases for other purposes have no region in their name and are left out.
func Names(view *ctrl.View) []string {
	var names []string
	for name := range view.Cells {
		if strings.Contains(name, "@") {
			names = append(names, name)
		}
	}
	return names
}

// HeldCells returns the names of the held cells.
func (m *Manager) HeldCells() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var names []string
	for name := range m.leases {
		names = append(names, name)
	}
	return names
}

// Closed reports whether Close was called, that is, whether this instance accepts no more leases.
func (m *Manager) Closed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.closed
}

// Close stops all schedulers, returns their unspent slices, releases the leases and waits for the schedulers to end.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	m.closed = true
	leases := m.leases
	m.leases = map[string]*lease{}
	m.mu.Unlock()
	for _, held := range leases {
		held.stop()
		held.cell.returnSlices(ctx)
	}
	if len(leases) > 0 {
		if _, err := m.opt.Proposer.Propose(ctx, ctrl.Command{RenewLeases: &ctrl.RenewLeases{Boot: m.opt.Self.Boot, Release: true}}); err != nil {
			m.opt.Log.Warn("leases not released", zap.Error(err))
		}
	}
	m.wg.Wait()
}
