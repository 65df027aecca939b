package sched

import (
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/route"
)

// Tick lets time pass: entries and waits that lapsed, the judging of endpoints, and further grants.
func (c *Core) Tick(now time.Time) {
	for _, r := range c.running {
		if now.Sub(r.seen) > lapse {
			c.release(now, r, Done{Unsent: true})
		}
	}
	c.tickQueue(now)
	if c.dirty {
		route.MarkStragglers(c.order)
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
		if now.Sub(e.LastSeen) > forget && e.Running == 0 {
			delete(c.eps, e.Info.Name)
			continue
		}
		kept = append(kept, e)
	}
	c.order = kept
}
