package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

// dispatch grants while an endpoint is free and a flow may use it.
func (c *Core) dispatch(now time.Time) {
	if now.Before(c.settled) || len(c.queued) == 0 {
		return
	}
	free := c.free(now)
	if free == 0 {
		return
	}
	slots := c.slots(now)
	rate := c.rate(slots)
	c.rest = min(c.rest+now.Sub(c.restAt).Seconds()*restShare*rate, max(1, restShare*slots))
	c.restAt = now
	skip := map[*flow]bool{}
	for f := range c.busy {
		f.accrue(now, rate, slots)
	}
	for free > 0 {
		f, rest := c.nextFlow(skip)
		if f == nil {
			return
		}
		if !c.grantFirst(now, f) {
			skip[f] = true
			continue
		}
		free--
		f.credit = max(f.credit-1, 0)
		if rest {
			c.rest--
		}
	}
}

func (c *Core) free(now time.Time) int {
	n := 0
	for _, e := range c.order {
		n += e.FreeSlots(now)
		if e.Reserved && e.Running == 0 && e.Live(now) {
			n++
		}
	}
	return n
}

// nextFlow chooses whose turn it is: a class with guaranteed credit; then, from the part kept for them,
// the class without a share that was served longest ago; then spare capacity by tier and by share.
func (c *Core) nextFlow(skip map[*flow]bool) (best *flow, rest bool) {
	if c.opt.Policy == FIFO {
		return c.oldest(skip), false
	}
	var owed, unshared, spare *flow
	for f := range c.busy {
		if skip[f] {
			continue
		}
		if f.terms.Share > 0 && f.credit >= 1 && (owed == nil || owedBefore(f, owed)) {
			owed = f
		}
		if f.terms.Share == 0 && c.rest >= 1 && (unshared == nil || servedBefore(f, unshared)) {
			unshared = f
		}
		if spare == nil || spareBefore(f, spare) {
			spare = f
		}
	}
	switch {
	case owed != nil:
		return owed, false
	case unshared != nil:
		return unshared, true
	}
	return spare, false
}

// oldest returns the flow whose first item arrived first.
func (c *Core) oldest(skip map[*flow]bool) *flow {
	var best *flow
	for f := range c.busy {
		if skip[f] {
			continue
		}
		if best == nil || f.queue[0].arrived.Before(best.queue[0].arrived) {
			best = f
		}
	}
	return best
}

func owedBefore(a, b *flow) bool {
	if a.terms.Tier != b.terms.Tier {
		return a.terms.Tier < b.terms.Tier
	}
	if a.credit != b.credit {
		return a.credit > b.credit
	}
	return keyBefore(a, b)
}

func servedBefore(a, b *flow) bool {
	if !a.served.Equal(b.served) {
		return a.served.Before(b.served)
	}
	return keyBefore(a, b)
}

func spareBefore(a, b *flow) bool {
	if a.terms.Tier != b.terms.Tier {
		return a.terms.Tier < b.terms.Tier
	}
	la, lb := float64(a.running)/a.weight(), float64(b.running)/b.weight()
	if la != lb {
		return la < lb
	}
	return servedBefore(a, b)
}

func keyBefore(a, b *flow) bool {
	if a.key.customer != b.key.customer {
		return a.key.customer < b.key.customer
	}
	return a.key.class < b.key.class
}

// grantFirst grants the first item of a flow that may run now.
func (c *Core) grantFirst(now time.Time, f *flow) bool {
	const look = 8
	capped := f.atLimit()
	for i, it := range f.queue {
		it.capped = capped
		if i >= look || capped {
			return false
		}
		if !c.fund(now, it) {
			continue
		}
		e := c.place(now, it)
		if e == nil {
			continue
		}
		c.grant(now, it, e)
		return true
	}
	return false
}

// place chooses the endpoint for an item; a suspect needs one that runs nothing else.
func (c *Core) place(now time.Time, it *item) *route.Endpoint {
	if it.ask.Solo {
		return c.exclusive(now, it)
	}
	return c.picker.Pick(now, c.order, &it.need)
}

// exclusive returns an empty endpoint for a suspect, or keeps one free of new work until it is empty.
func (c *Core) exclusive(now time.Time, it *item) *route.Endpoint {
	taken := 0
	var least *route.Endpoint
	for _, e := range c.order {
		if !e.Live(now) || it.need.Avoids(e.Info.Boot) {
			continue
		}
		if e.Exclusive {
			taken++
			continue
		}
		if e.Running == 0 {
			return e
		}
		if e.Reserved {
			taken++
			continue
		}
		if least == nil || e.Running < least.Running {
			least = e
		}
	}
	if least != nil && taken < max(1, len(c.order)/exclusivePart) {
		least.Reserved = true
	}
	return nil
}

func (c *Core) grant(now time.Time, it *item, e *route.Endpoint) {
	e.Start(now)
	if it.ask.Solo {
		e.Exclusive, e.Reserved = true, false
	}
	r := &run{
		ask: it.ask, flow: it.flow, started: now, seen: now, cost: it.reserved, guess: it.flow.guess,
		target: Target{
			Name: e.Info.Name, Boot: e.Info.Boot, Addr: e.Info.Addr, Zone: e.Info.Zone, Kind: e.Info.Kind, Lookup: e.Info.Lookup,
		},
	}
	it.reserved = 0
	c.dequeue(it)
	c.running[it.ask.ID] = r
	before := c.past.mayHaveRun(now, &it.ask)
	c.past.note(now, &it.ask)
	it.flow.running++
	it.flow.grants++
	it.flow.served = now
	c.out = append(c.out, Verdict{
		ID: it.ask.ID, Asker: it.ask.Entry, Attempt: it.ask.Attempt, Verb: Granted, Epoch: c.epoch, Target: r.target, Queued: now.Sub(it.arrived),
		Before: before,
	})
}

func (c *Core) slice(customer string) *quota.BudgetSlice {
	p := c.slices[customer]
	if p == nil {
		p = &quota.BudgetSlice{}
		c.slices[customer] = p
	}
	return p
}

// fund reserves an item's worst cost from the customer's slice, and asks for a slice where there is none.
func (c *Core) fund(now time.Time, it *item) bool {
	t := it.flow.terms
	if it.funded || !t.Capped || t.Price == 0 {
		it.funded = true
		return true
	}
	cost := quota.Cost(it.ask.Input+it.ask.Bound, t.Price)
	p := c.slice(it.ask.Customer)
	if p.Reserve(cost) {
		it.reserved, it.funded = cost, true
		return true
	}
	if amount := p.AmountToRequest(now); amount > 0 {
		c.wants = append(c.wants, Want{Customer: it.ask.Customer, Amount: amount})
	}
	return false
}

func (c *Core) unfunded(it *item) bool {
	t := it.flow.terms
	return t.Capped && t.Price > 0 && !it.funded
}

// Funded takes in the slice that was got for a customer; ended tells that the ceiling is reached.
func (c *Core) Funded(now time.Time, customer string, amount int64, ended bool) {
	p := c.slice(customer)
	p.AddAllotment(amount, ended)
	for f := range c.busy {
		if f.key.customer != customer {
			continue
		}
		for _, it := range append([]*item(nil), f.queue...) {
			if c.unfunded(it) && p.Exhausted(quota.Cost(it.ask.Input+it.ask.Bound, f.terms.Price)) {
				c.drop(now, it, Spent)
			}
		}
	}
	c.dispatch(now)
}

// Unspent empties all slices and returns what was left in each, for a scheduler that stops.
func (c *Core) Unspent() map[string]int64 {
	out := map[string]int64{}
	for customer, p := range c.slices {
		if left := p.Drain(); left > 0 {
			out[customer] = left
		}
	}
	return out
}
