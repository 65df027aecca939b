package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// lapse is how long an entry may be silent about a request that it waits for or runs.
	lapse = 5 * time.Second
	// confirm is the time within which an entry must report a granted run.
	confirm = 3 * time.Second
	// firstService is the expected service time of a cell that has served nothing yet.
	firstService = time.Second
	// restShare is the part of a cell for classes without a guaranteed share.
	restShare = 0.05
	// exclusivePart is the part of the endpoints, one in exclusivePart, that suspects may run alone on at a time.
	exclusivePart = 4
	// retryEndpoint is when to come back to a cell without endpoints.
	retryEndpoint = 5 * time.Second
	serviceMean   = 0.05
	// noEndpointAfter is how long a cell may be without a live endpoint before its requests are told so.
	noEndpointAfter = 4 * time.Second
	// keepEnded is how long an entry keeps the answer of a run that ended.
	keepEnded = 55 * time.Second
	// maxEnded is the number of runs that are remembered after their end.
	maxEnded = 20_000
)

type (
	// run is one granted request.
	run struct {
		ask     Ask
		flow    *flow
		target  Target
		started time.Time
		seen    time.Time
		cost    int64
		guess   int
	}

	// Want asks for a slice of a customer's ceiling, in micro-euros.
	Want struct {
		Customer string
		Amount   int64
	}

	// Core is the scheduler of one cell; its owner calls it from one goroutine at a time.
	Core struct {
		opt     Options
		epoch   uint64
		settled time.Time
		flows   map[flowKey]*flow
		busy    map[*flow]bool
		eps     map[string]*route.Endpoint
		order   []*route.Endpoint
		queued  map[string]*item
		running map[string]*run
		slices  map[string]*quota.BudgetSlice
		tiers   [16]int
		service float64
		rest    float64
		restAt  time.Time
		out     []Verdict
		wants   []Want
		dirty   bool
		picker  *route.Picker
		alive   time.Time
		past    *past
	}
)

// New returns a scheduler for an epoch; it grants nothing until entries had time to report what they run.
func New(now time.Time, epoch uint64, opt Options) *Core {
	return &Core{
		opt: opt, epoch: epoch, settled: now.Add(opt.Settle), flows: map[flowKey]*flow{}, busy: map[*flow]bool{},
		eps: map[string]*route.Endpoint{}, queued: map[string]*item{}, running: map[string]*run{},
		slices: map[string]*quota.BudgetSlice{}, service: firstService.Seconds(), restAt: now, alive: now, past: newPast(now, epoch), picker: route.New(opt.Choice, opt.Seed),
	}
}

// Take returns the verdicts and the desired for money since the last call.
func (c *Core) Take() ([]Verdict, []Want) {
	out, wants := c.out, c.wants
	c.out, c.wants = nil, nil
	return out, wants
}

func (c *Core) flow(now time.Time, a *Ask, t Terms) *flow {
	key := flowKey{a.Customer, a.Class}
	f := c.flows[key]
	if f == nil {
		f = newFlow(now, key, t)
		c.flows[key] = f
		return f
	}
	f.tune(now, t)
	return f
}

// Offer takes in an ask, or renews one that is known; the verdict comes from Take.
func (c *Core) Offer(now time.Time, a Ask, t Terms) {
	if c.known(now, &a) {
		return
	}
	f := c.flow(now, &a, t)
	if a.Attempt == 0 && !c.within(now, f, &a) {
		return
	}
	it := &item{
		ask: a, flow: f, arrived: now.Add(-a.Waited), seen: now,
		need: route.Request{Zone: a.Zone, Blocks: a.Blocks, Avoid: a.Avoid},
	}
	it.deadline = it.arrived.Add(t.Patience)
	if c.deserted(now) {
		c.refuse(now, &a, NoEndpoint, retryEndpoint)
		return
	}
	c.enqueue(it)
	c.makeRoom(now, it)
	c.dispatch(now)
}

// deserted reports whether the cell has been without a live endpoint for long.
func (c *Core) deserted(now time.Time) bool {
	for _, e := range c.order {
		if e.Live(now) {
			c.alive = now
			return false
		}
	}
	return now.Sub(c.alive) > noEndpointAfter
}

// within refuses an ask that is beyond its contract's rates.
func (c *Core) within(now time.Time, f *flow, a *Ask) bool {
	if !f.toks.Take(now, float64(a.Input+f.guess)) {
		c.refuse(now, a, Over, f.toks.Wait(now))
		return false
	}
	if !f.reqs.Take(now, 1) {
		f.toks.Adjust(now, float64(a.Input+f.guess))
		c.refuse(now, a, Over, f.reqs.Wait(now))
		return false
	}
	return true
}

func (c *Core) refuse(now time.Time, a *Ask, code Code, retry time.Duration) {
	c.out = append(c.out, Verdict{
		ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Refused, Epoch: c.epoch, Code: code, Retry: retry,
		Before: c.past.mayHaveRun(now, a),
	})
}

func (c *Core) enqueue(it *item) {
	it.flow.add(it)
	c.queued[it.ask.ID] = it
	c.tiers[it.flow.terms.Tier]++
	c.busy[it.flow] = true
}

func (c *Core) dequeue(it *item) {
	it.flow.remove(it)
	delete(c.queued, it.ask.ID)
	c.tiers[it.flow.terms.Tier]--
	if len(it.flow.queue) == 0 {
		delete(c.busy, it.flow)
	}
	if it.reserved > 0 {
		c.slice(it.ask.Customer).Release(it.reserved)
	}
}

// Cancel forgets a queued ask, or a run that was never sent, of an entry whose caller has gone.
func (c *Core) Cancel(now time.Time, id, entry string) {
	if it := c.queued[id]; it != nil && it.ask.Entry == entry {
		c.dequeue(it)
	}
	c.dispatch(now)
}

// Announce takes in an endpoint's announcement that was made age ago; one older than what is known is ignored.
func (c *Core) Announce(now time.Time, a endpt.Announce, age time.Duration) {
	made := now.Add(-age)
	e := c.eps[a.Name]
	switch {
	case e != nil && e.LastSeen.After(made):
		return
	case e == nil || e.Info.Boot != a.Boot:
		c.addEndpoint(made, a)
	default:
		e.Update(made, a)
	}
	c.dispatch(now)
}

func (c *Core) addEndpoint(now time.Time, a endpt.Announce) {
	e := route.NewEndpoint(now, a, c.opt.Shared)
	if old := c.eps[a.Name]; old != nil {
		for i, o := range c.order {
			if o == old {
				c.order[i] = e
			}
		}
	} else {
		c.order = append(c.order, e)
	}
	c.eps[a.Name] = e
	for _, r := range c.running {
		if r.target.Boot == a.Boot {
			e.Running++
		}
	}
}

// endpoint returns the endpoint that a run is on, unless it has restarted or gone.
func (c *Core) endpoint(t Target) *route.Endpoint {
	e := c.eps[t.Name]
	if e == nil || e.Info.Boot != t.Boot {
		return nil
	}
	return e
}
