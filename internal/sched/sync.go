package sched

import (
	"time"
)

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

// adopt takes a run of an earlier epoch into the table.
func (c *Core) adopt(now time.Time, p *Progress, t Terms) *run {
	if it := c.queued[p.Ask.ID]; it != nil {
		c.dequeue(it)
	}
	f := c.flow(now, &p.Ask, t)
	r := &run{ask: p.Ask, flow: f, target: p.Target, started: now.Add(-p.Since), seen: now, guess: f.guess}
	c.running[p.Ask.ID] = r
	c.past.note(now, &p.Ask)
	f.running++
	if e := c.endpoint(p.Target); e != nil {
		e.Running++
	}
	return r
}
