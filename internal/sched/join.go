package sched

import (
	"time"
)

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
	addr, ok := c.past.answer(now, a)
	if !ok || a.Steal {
		return false
	}
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Elsewhere, Epoch: c.epoch, Entry: addr})
	return true
}

func (c *Core) elsewhere(a *Ask, at Ask) {
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Elsewhere, Epoch: c.epoch, Entry: at.Addr})
}

func (c *Core) grantAgain(a *Ask, r *run) {
	c.out = append(c.out, Verdict{ID: a.ID, Asker: a.Entry, Attempt: a.Attempt, Verb: Granted, Epoch: c.epoch, Target: r.target, Before: a.Named})
}
