package sched

import "time"

const (
	minRetry = time.Second
	maxRetry = 60 * time.Second
)

// slots returns the cell's present capacity in requests.
func (c *Core) slots(now time.Time) float64 {
	sum := 0.0
	for _, e := range c.order {
		if e.Live(now) && !e.Slow {
			sum += e.Limit
		}
	}
	return sum
}

// rate returns the grants a second that so many slots can give.
func (c *Core) rate(slots float64) float64 {
	return slots / max(c.service, 0.001)
}

// delay predicts how long the last item of a flow waits: behind all of its tier and above,
// or behind its own flow at the guaranteed rate, whichever is less.
func (c *Core) delay(now time.Time, f *flow) time.Duration {
	rate := c.rate(c.slots(now))
	if rate == 0 {
		return maxRetry
	}
	ahead := 0
	for t := 0; t <= f.terms.Tier; t++ {
		ahead += c.tiers[t]
	}
	wait := float64(ahead) / rate
	if f.terms.Share > 0 {
		wait = min(wait, float64(len(f.queue))/(f.terms.Share*rate))
	}
	return time.Duration(min(wait, maxRetry.Seconds()) * float64(time.Second))
}

// makeRoom refuses what the new item makes one too many: for a full queue, or for a wait beyond patience.
func (c *Core) makeRoom(now time.Time, it *item) {
	full := len(c.queued) > c.opt.Queue
	late := now.After(c.settled) && c.slots(now) > 0 && c.delay(now, it.flow) > it.deadline.Sub(now)
	if c.opt.Policy == FIFO {
		late = false
	}
	if !full && !late {
		return
	}
	if low := c.lowest(now, it.flow.terms.Tier); low != nil {
		c.drop(now, low, Shed)
		return
	}
	if it.ask.Attempt > 0 && !full {
		return
	}
	c.drop(now, it, Shed)
}

// expire refuses an item that waited as long as its class allows.
// While an item of a lower tier holds a place beyond its guarantee, that one goes and this one stays.
func (c *Core) expire(now time.Time, it *item) {
	if it.capped || !it.funded && c.unfunded(it) {
		code := Over
		if !it.capped {
			code = Spent
		}
		c.drop(now, it, code)
		return
	}
	if c.slots(now) == 0 {
		c.drop(now, it, NoEndpoint)
		return
	}
	if low := c.lowest(now, it.flow.terms.Tier); low != nil {
		c.drop(now, low, Shed)
		it.deadline = now.Add(it.flow.terms.Patience)
		return
	}
	c.drop(now, it, Late)
}

// drop refuses a queued item, with the time after which its class has room again.
func (c *Core) drop(now time.Time, it *item, code Code) {
	retry := min(max(c.delay(now, it.flow), minRetry), maxRetry)
	c.dequeue(it)
	it.flow.shed++
	it.flow.toks.Adjust(now, float64(it.ask.Input+it.flow.guess))
	c.refuse(now, &it.ask, code, retry)
}

// lowest returns the newest item of the lowest tier below the given one that no guarantee protects.
func (c *Core) lowest(now time.Time, tier int) *item {
	if c.opt.Policy == FIFO {
		return nil
	}
	slots := c.slots(now)
	var found *item
	for f := range c.busy {
		if f.terms.Tier <= tier || len(f.queue) <= f.protected(slots) {
			continue
		}
		last := newest(f)
		if found == nil || before(last, found) {
			found = last
		}
	}
	return found
}

// before reports whether a is to be shed before b.
func before(a, b *item) bool {
	if a.flow.terms.Tier != b.flow.terms.Tier {
		return a.flow.terms.Tier > b.flow.terms.Tier
	}
	if !a.arrived.Equal(b.arrived) {
		return a.arrived.After(b.arrived)
	}
	return a.ask.ID > b.ask.ID
}

func newest(f *flow) *item {
	last := f.queue[0]
	for _, it := range f.queue[1:] {
		if it.arrived.After(last.arrived) {
			last = it
		}
	}
	return last
}
