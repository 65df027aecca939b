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
	// decisionTimeout is how long a call waits for a decision before it returns that the request is still queued.
	decisionTimeout = time.Second
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 25 * time.Millisecond
	// undeliveredRetention is how long a decision is kept if no call waited for it.
	undeliveredRetention = 5 * time.Second
	// sliceTimeout is the time limit for acquiring a slice of a spending ceiling.
	sliceTimeout = 3 * time.Second
	// TrustedLeaseTerm is how long the holder of a lease relies on its last renewal. It is shorter than the term of the lease, to
	// allow for clock drift and delay.
	TrustedLeaseTerm = 2500 * time.Millisecond
)

type (
	// Proposer commits commands to the replicated control state.
	Proposer interface {
		// Propose commits a command and returns its result. After an error the command may or may not have been committed.
		Propose(ctx context.Context, c ctrl.Command) (ctrl.Result, error)
	}

	// undelivered is a decision that was made while no call waited for it.
	undelivered struct {
		decision  sched.Decision
		arrivedAt time.Time
	}

	// Cell serializes access to the scheduler of one cell, and delivers its decisions to the calls that wait for them.
	Cell struct {
		name     string
		epoch    uint64
		proposer Proposer
		view     func() *ctrl.View
		log      *zap.Logger
		// mu guards scheduler, waiters and undelivered.
		mu        sync.Mutex
		scheduler *sched.Scheduler
		// waiters and undelivered are indexed by waiterKey.
		waiters       map[string]chan sched.Decision
		undelivered   map[string]undelivered
		sliceRequests chan sched.SliceRequest
		// lastSweep is when expired undelivered decisions were last removed.
		lastSweep time.Time
	}
)

func newCell(
	now time.Time, name string, epoch uint64, opt sched.Options, proposer Proposer, view func() *ctrl.View, log *zap.Logger,
) *Cell {
	const maxSliceRequests = 1024
	return &Cell{
		name: name, epoch: epoch, proposer: proposer, view: view, log: log, scheduler: sched.New(now, epoch, opt),
		waiters: map[string]chan sched.Decision{}, undelivered: map[string]undelivered{},
		sliceRequests: make(chan sched.SliceRequest, maxSliceRequests),
	}
}

// waiterKey identifies a waiting call. The ID of the request is not enough, since several entries may ask for the same one.
func waiterKey(id, entry string, attempt int) string {
	return fmt.Sprintf("%s#%s#%d", id, entry, attempt)
}

// Terms returns the current contract terms of a request's class in the scheduler's units, or false if the customer has no
// contract or the contract has no such class.
func Terms(view *ctrl.View, req *sched.Request) (sched.Terms, bool) {
	contract := view.Contracts.Get(req.Customer)
	if contract == nil {
		return sched.Terms{}, false
	}
	class, err := contract.Class(req.Class)
	if err != nil {
		return sched.Terms{}, false
	}
	const percent = 100
	return sched.Terms{
		Tier: class.Tier, Share: class.Share / percent, MaxQueueTime: class.EffectiveMaxQueueTime(),
		RequestRate: class.RequestRate, RequestBurst: class.RequestBurst, TokenRate: class.TokenRate,
		MaxRunning: class.MaxRunning, Price: class.Price, HasCeiling: contract.Ceiling > 0,
	}, true
}

// RequestGrant submits a request and waits up to decisionTimeout for the decision. If there is none by then, or if the context ends, it
// returns that the request is still queued.
func (c *Cell) RequestGrant(ctx context.Context, req sched.Request) sched.Decision {
	terms, ok := Terms(c.view(), &req)
	if !ok {
		return sched.Decision{
			ID: req.ID, Attempt: req.Attempt, Kind: sched.Refused, Epoch: c.epoch, Code: sched.OverContract, MayHaveRun: req.IDFromCaller,
		}
	}
	key := waiterKey(req.ID, req.Entry, req.Attempt)
	decided := make(chan sched.Decision, 1)
	c.mu.Lock()
	if early, ok := c.undelivered[key]; ok {
		delete(c.undelivered, key)
		c.mu.Unlock()
		return early.decision
	}
	c.waiters[key] = decided
	c.scheduler.Submit(time.Now(), req, terms)
	c.deliver()
	c.mu.Unlock()
	timer := time.NewTimer(decisionTimeout)
	defer timer.Stop()
	select {
	case decision := <-decided:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.stopWaiting(key, decided, req)
}

// stopWaiting ends a wait. It returns a decision that was made in the meantime, or that the request is still queued.
func (c *Cell) stopWaiting(key string, decided chan sched.Decision, req sched.Request) sched.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiters[key] == decided {
		delete(c.waiters, key)
	}
	select {
	case decision := <-decided:
		return decision
	default:
		return sched.Decision{ID: req.ID, Attempt: req.Attempt, Kind: sched.Waiting, Epoch: c.epoch}
	}
}

// deliver passes decisions to the calls that wait for them and queues requests for slices. A refusal that no call waits for is
// kept for the next one; a grant need not be, as the scheduler repeats it. The caller holds mu.
func (c *Cell) deliver() {
	decisions, sliceRequests := c.scheduler.TakeOutput()
	for _, decision := range decisions {
		key := waiterKey(decision.ID, decision.Requester, decision.Attempt)
		decided, ok := c.waiters[key]
		switch {
		case ok && decision.Kind == sched.Waiting:
		case ok:
			delete(c.waiters, key)
			decided <- decision
		case decision.Kind == sched.Refused:
			c.undelivered[key] = undelivered{decision: decision, arrivedAt: time.Now()}
		}
	}
	for _, req := range sliceRequests {
		select {
		case c.sliceRequests <- req:
		default:
		}
	}
}

// withScheduler calls f with the scheduler, under the lock, and delivers the resulting decisions.
func (c *Cell) withScheduler(f func(now time.Time, scheduler *sched.Scheduler)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(time.Now(), c.scheduler)
	c.deliver()
}

func (c *Cell) finish(completions []sched.Completion) {
	c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) {
		for _, completion := range completions {
			scheduler.Finish(now, completion)
		}
	})
}

func (c *Cell) cancel(id, entry string) {
	c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) { scheduler.Cancel(now, id, entry) })
}

func (c *Cell) announce(ann endpt.Announcement, age time.Duration) {
	c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) { scheduler.Announce(now, ann, age) })
}

func (c *Cell) sync(report sched.EntryReport) {
	view := c.view()
	c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) {
		scheduler.Sync(now, report, func(req *sched.Request) (sched.Terms, bool) { return Terms(view, req) })
	})
}

func (c *Cell) state() sched.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scheduler.State(time.Now())
}

// runTicks ticks the scheduler until the context ends.
func (c *Cell) runTicks(ctx context.Context) {
	pace.Every(ctx, tickInterval, func() {
		c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) { scheduler.Tick(now) })
		c.sweepUndelivered(time.Now())
	})
}

// sweepUndelivered removes undelivered decisions whose retention has ended.
func (c *Cell) sweepUndelivered(now time.Time) {
	if now.Sub(c.lastSweep) < undeliveredRetention {
		return
	}
	c.lastSweep = now
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, kept := range c.undelivered {
		if now.Sub(kept.arrivedAt) > undeliveredRetention {
			delete(c.undelivered, key)
		}
	}
}

// acquireSlices acquires the requested slices of spending ceilings until the context ends.
func (c *Cell) acquireSlices(ctx context.Context) {
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case req := <-c.sliceRequests:
			c.acquireSlice(ctx, req, n)
		}
	}
}

// sliceHolder returns the name under which this scheduler holds slices.
func (c *Cell) sliceHolder() string {
	return fmt.Sprintf("%s#%d", c.name, c.epoch)
}

// acquireSlice acquires one slice and passes it to the scheduler; n distinguishes the acquisitions of this scheduler.
func (c *Cell) acquireSlice(ctx context.Context, req sched.SliceRequest, n int) {
	ctx, cancel := context.WithTimeout(ctx, sliceTimeout)
	defer cancel()
	cmd := ctrl.Command{SpendingSlice: &ctrl.SpendingSlice{
		ID: fmt.Sprintf("%s/%d", c.sliceHolder(), n), Customer: req.Customer, Period: billingPeriod(time.Now()),
		Holder: c.sliceHolder(), Take: req.Amount,
	}}
	result, err := c.proposer.Propose(ctx, cmd)
	if err != nil {
		c.log.Warn("slice of spending ceiling not acquired",
			zap.String("cell", c.name), zap.String("customer", req.Customer), zap.Error(err))
		c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) { scheduler.AddSlice(now, req.Customer, 0, false) })
		return
	}
	ceilingReached := result.Code == ctrl.CeilingReached || result.Amount < req.Amount
	c.withScheduler(func(now time.Time, scheduler *sched.Scheduler) {
		scheduler.AddSlice(now, req.Customer, result.Amount, ceilingReached)
	})
}

// returnSlices returns the unspent slices when the scheduler stops.
func (c *Cell) returnSlices(ctx context.Context) {
	c.mu.Lock()
	unspent := c.scheduler.DrainSlices()
	c.mu.Unlock()
	for customer, amount := range unspent {
		cmd := ctrl.Command{SpendingSlice: &ctrl.SpendingSlice{
			ID: c.sliceHolder() + "/back/" + customer, Customer: customer, Period: billingPeriod(time.Now()),
			Holder: c.sliceHolder(), Return: amount,
		}}
		if _, err := c.proposer.Propose(ctx, cmd); err != nil {
			c.log.Warn("slice of spending ceiling not returned", zap.String("customer", customer), zap.Error(err))
		}
	}
}

// billingPeriod returns the calendar month in UTC, the period of a spending ceiling, as "2006-01".
func billingPeriod(now time.Time) string {
	return now.UTC().Format("2006-01")
}
