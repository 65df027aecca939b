package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

// Finish takes in the end of a run; reports of runs that are not known are ignored.
func (c *Core) Finish(now time.Time, d Done) {
	r := c.running[d.ID]
	if r == nil || r.ask.Attempt != d.Attempt {
		return
	}
	c.release(now, r, d)
	if d.Unsent {
		c.past.unsent(&r.ask)
	}
	c.dispatch(now)
}

// release frees what a run held and learns from it.
func (c *Core) release(now time.Time, r *run, d Done) {
	c.past.note(now, &r.ask)
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
		c.past.ended(now, &r.ask)
	}
	c.settle(now, r, d.Tokens, false)
}

// adapt lets an endpoint's limit follow what was observed, unless a simpler choice is compared.
func (c *Core) adapt(now time.Time, e *route.Endpoint) {
	if c.opt.Choice != "" && c.opt.Choice != route.ByLoad {
		return
	}
	e.Adapt(now, c.opt.Gap)
	c.dirty = true
}

// settle books the actual tokens against what was estimated and reserved.
func (c *Core) settle(now time.Time, r *run, tokens int, unsent bool) {
	used := tokens
	if unsent {
		used = -r.ask.Input
	}
	r.flow.toks.Adjust(now, float64(r.guess-used))
	if r.cost > 0 {
		actual := quota.Cost(r.ask.Input+tokens, r.flow.terms.Price)
		if unsent {
			actual = 0
		}
		c.slice(r.ask.Customer).Release(max(r.cost-actual, 0))
	}
}
