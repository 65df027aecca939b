package sched

import (
	"net/netip"
	"sort"
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
	// lanePart is the part of the endpoints, one in lanePart, that suspects may run alone on at a time.
	lanePart = 4
	// retryEndpoint is when to come back to a cell without endpoints.
	retryEndpoint = 5 * time.Second
	serviceMean   = 0.05
	// noEndpointAfter is how long a cell may be without a live endpoint before its requests are told so.
	noEndpointAfter = 4 * time.Second
	// keepEnded is how long an entry keeps the answer of a run that ended.
	keepEnded = 55 * time.Second
	// maxEnded is the number of ended runs that are remembered.
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
		purses  map[string]*quota.Purse
		tiers   [16]int
		service float64
		rest    float64
		restAt  time.Time
		out     []Verdict
		wants   []Want
		dirty   bool
		picker  *route.Picker
		alive   time.Time
		ended   map[string]ending
		endings []string
	}

	// ending is where the answer of a run that ended is kept.
	ending struct {
		entry string
		addr  netip.AddrPort
		at    time.Time
	}
)

// New returns a scheduler for an epoch; it grants nothing until entries had time to report what they run.
func New(now time.Time, epoch uint64, opt Options) *Core {
	return &Core{
		opt: opt, epoch: epoch, settled: now.Add(opt.Settle), flows: map[flowKey]*flow{}, busy: map[*flow]bool{},
		eps: map[string]*route.Endpoint{}, queued: map[string]*item{}, running: map[string]*run{},
		purses: map[string]*quota.Purse{}, service: firstService.Seconds(), restAt: now, alive: now, ended: map[string]ending{}, picker: route.New(opt.Choice, opt.Seed),
	}
}

// Take returns the verdicts and the wishes for money since the last call.
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
		need: route.Need{Zone: a.Zone, Blocks: a.Blocks, Avoid: a.Avoid, Prefer: a.Prefer},
	}
	it.deadline = it.arrived.Add(t.Patience)
	if c.deserted(now) {
		c.refuse(&a, NoEndpoint, retryEndpoint)
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

// known answers an ask whose request is queued or runs already, and reports whether it did.
func (c *Core) known(now time.Time, a *Ask) bool {
	if it := c.queued[a.ID]; it != nil {
		switch {
		case it.ask.Entry == a.Entry && it.ask.Attempt == a.Attempt:
			it.seen = now
			c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Wait, Epoch: c.epoch})
			return true
		case it.ask.Entry != a.Entry && !a.Steal:
			c.elsewhere(a, it.ask)
			return true
		}
		c.dequeue(it)
		return false
	}
	r := c.running[a.ID]
	if r == nil {
		return c.knownEnded(now, a)
	}
	switch {
	case r.ask.Entry == a.Entry && r.ask.Attempt == a.Attempt:
		c.grantAgain(a, r)
		return true
	case r.ask.Entry != a.Entry && !a.Steal:
		c.elsewhere(a, r.ask)
		return true
	case r.ask.Entry != a.Entry:
		r.ask.Entry, r.ask.Addr, r.ask.Attempt = a.Entry, a.Addr, a.Attempt
		r.seen = now
		c.grantAgain(a, r)
		return true
	}
	c.release(now, r, Done{Unsent: true})
	return false
}

// knownEnded sends an ask to the entry that keeps the answer of its run, for as long as it does.
func (c *Core) knownEnded(now time.Time, a *Ask) bool {
	e, ok := c.ended[a.ID]
	if !ok || a.Steal || e.entry == a.Entry || now.Sub(e.at) > keepEnded {
		return false
	}
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Elsewhere, Epoch: c.epoch, Entry: e.addr})
	return true
}

// keepEnding notes where the answer of a run is kept whose caller may send it again.
func (c *Core) keepEnding(now time.Time, a *Ask) {
	if !a.Named {
		return
	}
	if _, ok := c.ended[a.ID]; !ok {
		c.endings = append(c.endings, a.ID)
	}
	c.ended[a.ID] = ending{entry: a.Entry, addr: a.Addr, at: now}
	for len(c.endings) > maxEnded || len(c.endings) > 0 && now.Sub(c.ended[c.endings[0]].at) > keepEnded {
		delete(c.ended, c.endings[0])
		c.endings = c.endings[1:]
	}
}

func (c *Core) elsewhere(a *Ask, at Ask) {
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Elsewhere, Epoch: c.epoch, Entry: at.Addr})
}

func (c *Core) grantAgain(a *Ask, r *run) {
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Granted, Epoch: c.epoch, Target: r.target})
}

// within refuses an ask that is beyond its contract's rates.
func (c *Core) within(now time.Time, f *flow, a *Ask) bool {
	if !f.toks.Take(now, float64(a.Input+f.guess)) {
		c.refuse(a, Over, f.toks.Wait(now))
		return false
	}
	if !f.reqs.Take(now, 1) {
		f.toks.Settle(now, float64(a.Input+f.guess))
		c.refuse(a, Over, f.reqs.Wait(now))
		return false
	}
	return true
}

func (c *Core) refuse(a *Ask, code Code, retry time.Duration) {
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Refused, Epoch: c.epoch, Code: code, Retry: retry})
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
		c.purse(it.ask.Customer).Release(it.reserved)
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
	case e != nil && e.Seen.After(made):
		return
	case e == nil || e.Ann.Boot != a.Boot:
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
	if e == nil || e.Ann.Boot != t.Boot {
		return nil
	}
	return e
}

// Finish takes in the end of a run; reports of runs that are not known are ignored.
func (c *Core) Finish(now time.Time, d Done) {
	r := c.running[d.ID]
	if r == nil || r.ask.Attempt != d.Attempt {
		return
	}
	c.release(now, r, d)
	c.dispatch(now)
}

// release frees what a run held and learns from it.
func (c *Core) release(now time.Time, r *run, d Done) {
	delete(c.running, r.ask.ID)
	r.flow.running--
	if e := c.endpoint(r.target); e != nil {
		e.End()
		if d.Broken {
			e.Down = true
		}
		if !d.Unsent {
			e.Observe(d.Gap, d.First)
			c.adapt(now, e)
		}
	}
	if d.Unsent {
		c.settle(now, r, 0, true)
		return
	}
	if !d.Broken {
		c.service += serviceMean * (now.Sub(r.started).Seconds() - c.service)
		r.flow.learn(d.Tokens)
		c.keepEnding(now, &r.ask)
	}
	c.settle(now, r, d.Tokens, false)
}

// settle books the actual tokens against what was estimated and reserved.
func (c *Core) settle(now time.Time, r *run, tokens int, unsent bool) {
	used := tokens
	if unsent {
		used = -r.ask.Input
	}
	r.flow.toks.Settle(now, float64(r.guess-used))
	if r.cost > 0 {
		actual := quota.Cost(r.ask.Input+tokens, r.flow.terms.Price)
		if unsent {
			actual = 0
		}
		c.purse(r.ask.Customer).Release(max(r.cost-actual, 0))
	}
}

// Sync takes in all that an entry runs, with the terms of each run's class: it rebuilds the table
// after a takeover, and frees what the entry no longer holds.
func (c *Core) Sync(now time.Time, rep Report, terms func(*Ask) (Terms, bool)) {
	held := make(map[string]bool, len(rep.Runs))
	for i := range rep.Runs {
		p := &rep.Runs[i]
		held[p.Ask.ID] = true
		c.syncRun(now, p, terms)
	}
	for id, r := range c.running {
		if r.ask.Entry == rep.Entry && !held[id] && now.Sub(r.started) > confirm {
			c.release(now, r, Done{Unsent: true})
		}
	}
	c.dispatch(now)
}

func (c *Core) syncRun(now time.Time, p *Progress, terms func(*Ask) (Terms, bool)) {
	r := c.running[p.Ask.ID]
	if r == nil {
		t, ok := terms(&p.Ask)
		if !ok {
			return
		}
		r = c.adopt(now, p, t)
	}
	if r.ask.Entry != p.Ask.Entry {
		return
	}
	r.seen = now
	if e := c.endpoint(r.target); e != nil && p.Gap > 0 {
		e.Observe(p.Gap, 0)
		c.adapt(now, e)
	}
}

// adapt lets an endpoint's limit follow what was observed, unless a simpler choice is compared.
func (c *Core) adapt(now time.Time, e *route.Endpoint) {
	if c.opt.Choice != "" && c.opt.Choice != route.ByLoad {
		return
	}
	e.Adapt(now, c.opt.Gap)
	c.dirty = true
}

// adopt takes a run of an earlier epoch into the table.
func (c *Core) adopt(now time.Time, p *Progress, t Terms) *run {
	if it := c.queued[p.Ask.ID]; it != nil {
		c.dequeue(it)
	}
	f := c.flow(now, &p.Ask, t)
	r := &run{ask: p.Ask, flow: f, target: p.Target, started: now.Add(-p.Since), seen: now, guess: f.guess}
	c.running[p.Ask.ID] = r
	f.running++
	if e := c.endpoint(p.Target); e != nil {
		e.Running++
	}
	return r
}

// Tick lets time pass: entries and waits that lapsed, the judging of endpoints, and further grants.
func (c *Core) Tick(now time.Time) {
	for _, r := range c.running {
		if now.Sub(r.seen) > lapse {
			c.release(now, r, Done{Unsent: true})
		}
	}
	c.tickQueue(now)
	if c.dirty {
		route.Judge(c.order)
		c.dirty = false
	}
	c.prune(now)
	c.dispatch(now)
}

// tickQueue drops items whose entry has gone, and refuses those that waited too long, highest tier first.
func (c *Core) tickQueue(now time.Time) {
	var late []*item
	solo := false
	deserted := c.deserted(now)
	for _, it := range c.queued {
		solo = solo || it.ask.Solo
		switch {
		case deserted:
			c.drop(now, it, NoEndpoint)
		case now.Sub(it.seen) > lapse:
			c.dequeue(it)
		case now.After(it.deadline):
			late = append(late, it)
		}
	}
	if !solo {
		c.unreserve()
	}
	sort.Slice(late, func(i, j int) bool { return before(late[j], late[i]) })
	for _, it := range late {
		if c.queued[it.ask.ID] == it {
			c.expire(now, it)
		}
	}
}

// unreserve gives the endpoints that were kept free for suspects back to all.
func (c *Core) unreserve() {
	for _, e := range c.order {
		e.Reserved = false
	}
}

// prune forgets endpoints that are long silent.
func (c *Core) prune(now time.Time) {
	const forget = 60 * time.Second
	kept := c.order[:0]
	for _, e := range c.order {
		if now.Sub(e.Seen) > forget && e.Running == 0 {
			delete(c.eps, e.Ann.Name)
			continue
		}
		kept = append(kept, e)
	}
	c.order = kept
}
