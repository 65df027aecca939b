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
