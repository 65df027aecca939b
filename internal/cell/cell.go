package cell

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// hold is how long an ask waits for its verdict before the entry asks again.
	hold = time.Second
	tick = 25 * time.Millisecond
	// keepMissed is how long a verdict that nobody waited for is kept.
	keepMissed   = 5 * time.Second
	sliceTimeout = 3 * time.Second
	// HolderTerm is how long a holder trusts its last renewal; it is shorter than the lease's term by the drift and the delay that are allowed for.
	HolderTerm = 2500 * time.Millisecond
)

type (
	// Proposer commits commands.
	Proposer interface {
		Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
	}

	// missed is a verdict that arrived while nobody waited for it.
	missed struct {
		v  sched.Verdict
		at time.Time
	}

	// Cell is the scheduler of one cell behind a lock.
	Cell struct {
		name    string
		epoch   uint64
		prop    Proposer
		view    func() *ctrl.View
		log     *zap.Logger
		mu      sync.Mutex
		core    *sched.Core
		waiting map[string]chan sched.Verdict
		missed  map[string]missed
		wants   chan sched.Want
		swept   time.Time
	}
)

func newCell(now time.Time, name string, epoch uint64, opt sched.Options, prop Proposer, view func() *ctrl.View, log *zap.Logger) *Cell {
	const pendingWants = 1024
	return &Cell{
		name: name, epoch: epoch, prop: prop, view: view, log: log, core: sched.New(now, epoch, opt),
		waiting: map[string]chan sched.Verdict{}, missed: map[string]missed{}, wants: make(chan sched.Want, pendingWants),
	}
}

// waitKey names a wait: several entries may ask for the same request.
func waitKey(id, asker string, attempt int) string {
	return fmt.Sprintf("%s#%s#%d", id, asker, attempt)
}

// Terms returns what the present contract says of an ask's class, in the scheduler's units.
func Terms(view *ctrl.View, a *sched.Ask) (sched.Terms, bool) {
	c := view.Contracts.Get(a.Customer)
	if c == nil {
		return sched.Terms{}, false
	}
	l, err := c.Class(a.Class)
	if err != nil {
		return sched.Terms{}, false
	}
	const percent = 100
	return sched.Terms{
		Tier: l.Tier, Share: l.Share / percent, Patience: l.Wait(), Rate: l.Rate, Burst: l.Burst,
		Tokens: l.Tokens, Running: l.Running, Price: l.Price, Capped: c.Ceiling > 0,
	}, true
}

// Ask waits for the verdict on an ask, for hold at the most.
func (c *Cell) Ask(ctx context.Context, a sched.Ask) sched.Verdict {
	terms, ok := Terms(c.view(), &a)
	if !ok {
		return sched.Verdict{ID: a.ID, Attempt: a.Attempt, Verb: sched.Refused, Epoch: c.epoch, Code: sched.Over, Before: a.Named}
	}
	key := waitKey(a.ID, a.Entry, a.Attempt)
	to := make(chan sched.Verdict, 1)
	c.mu.Lock()
	if m, ok := c.missed[key]; ok {
		delete(c.missed, key)
		c.mu.Unlock()
		return m.v
	}
	c.waiting[key] = to
	c.core.Offer(time.Now(), a, terms)
	c.deliver()
	c.mu.Unlock()
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case v := <-to:
		return v
	case <-t.C:
	case <-ctx.Done():
	}
	return c.leave(key, to, a)
}

// leave ends a wait; a verdict that came in between is returned.
func (c *Cell) leave(key string, to chan sched.Verdict, a sched.Ask) sched.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[key] == to {
		delete(c.waiting, key)
	}
	select {
	case v := <-to:
		return v
	default:
		return sched.Verdict{ID: a.ID, Attempt: a.Attempt, Verb: sched.Wait, Epoch: c.epoch}
	}
}

// deliver hands verdicts to those who wait for them; its caller holds the lock.
func (c *Cell) deliver() {
	out, wants := c.core.Take()
	for _, v := range out {
		key := waitKey(v.ID, v.Asker, v.Attempt)
		to, ok := c.waiting[key]
		switch {
		case ok && v.Verb == sched.Wait:
		case ok:
			delete(c.waiting, key)
			to <- v
		case v.Verb == sched.Refused:
			c.missed[key] = missed{v: v, at: time.Now()}
		}
	}
	for _, w := range wants {
		select {
		case c.wants <- w:
		default:
		}
	}
}

// with runs f on the core under the lock and delivers what it decided.
func (c *Cell) with(f func(now time.Time, core *sched.Core)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now(), c.core)
	c.deliver()
}

func (c *Cell) finish(ds []sched.Done) {
	c.with(func(now time.Time, core *sched.Core) {
		for _, d := range ds {
			core.Finish(now, d)
		}
	})
}

func (c *Cell) cancel(id, entry string) {
	c.with(func(now time.Time, core *sched.Core) { core.Cancel(now, id, entry) })
}

func (c *Cell) announce(a endpt.Announce, age time.Duration) {
	c.with(func(now time.Time, core *sched.Core) { core.Announce(now, a, age) })
}

func (c *Cell) sync(r sched.Report) {
	view := c.view()
	c.with(func(now time.Time, core *sched.Core) {
		core.Sync(now, r, func(a *sched.Ask) (sched.Terms, bool) { return Terms(view, a) })
	})
}

func (c *Cell) show() sched.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Show(time.Now())
}

// run ticks the scheduler until the context ends.
func (c *Cell) run(ctx context.Context) {
	pace.Every(ctx, tick, func() {
		c.with(func(now time.Time, core *sched.Core) { core.Tick(now) })
		c.forget(time.Now())
	})
}

func (c *Cell) forget(now time.Time) {
	if now.Sub(c.swept) < keepMissed {
		return
	}
	c.swept = now
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, m := range c.missed {
		if now.Sub(m.at) > keepMissed {
			delete(c.missed, k)
		}
	}
}

// fetch gets slices of customers' ceilings until the context ends.
func (c *Cell) fetch(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case w := <-c.wants:
			c.slice(ctx, w, n)
		}
	}
}

// holderID names the holder of this scheduler's slices.
func (c *Cell) holderID() string {
	return fmt.Sprintf("%s#%d", c.name, c.epoch)
}

func (c *Cell) slice(ctx context.Context, w sched.Want, n int) {
	ctx, cancel := context.WithTimeout(ctx, sliceTimeout)
	defer cancel()
	cmd := ctrl.Command{SpendingSlice: &ctrl.SpendingSlice{
		ID: fmt.Sprintf("%s/%d", c.holderID(), n), Customer: w.Customer, Period: period(time.Now()),
		Holder: c.holderID(), Take: w.Amount,
	}}
	res, err := c.prop.Propose(ctx, cmd)
	if err != nil {
		c.log.Warn("slice of ceiling not got", zap.String("cell", c.name), zap.String("customer", w.Customer), zap.Error(err))
		c.with(func(now time.Time, core *sched.Core) { core.Funded(now, w.Customer, 0, false) })
		return
	}
	ended := res.Code == ctrl.CeilingReached || res.Amount < w.Amount
	c.with(func(now time.Time, core *sched.Core) { core.Funded(now, w.Customer, res.Amount, ended) })
}

// giveBack returns the unspent slices of a scheduler that stops.
func (c *Cell) giveBack(ctx context.Context) {
	c.mu.Lock()
	left := c.core.Unspent()
	c.mu.Unlock()
	for customer, amount := range left {
		cmd := ctrl.Command{SpendingSlice: &ctrl.SpendingSlice{
			ID: c.holderID() + "/back/" + customer, Customer: customer, Period: period(time.Now()), Holder: c.holderID(), Return: amount,
		}}
		if _, err := c.prop.Propose(ctx, cmd); err != nil {
			c.log.Warn("slice of ceiling not returned", zap.String("customer", customer), zap.Error(err))
		}
	}
}

// period names the calendar month, in UTC, for which a ceiling holds.
func period(now time.Time) string {
	return now.UTC().Format("2006-01")
}
