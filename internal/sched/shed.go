package sched

import "time"

// Bounds of the retry delay given with a refusal.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// capacity returns the current capacity of the cell, in concurrent requests. Slow endpoints do not count.
func (s *Scheduler) capacity(now time.Time) float64 {
	sum := 0.0
	for _, e := range s.endpointList {
		if e.Live(now) && !e.Slow {
			sum += e.Limit
		}
	}
	return sum
}

// grantRate returns the number of grants per second that the given number of slots sustains.
func (s *Scheduler) grantRate(slots float64) float64 {
	return slots / max(s.serviceTime, 0.001)
}

// expectedDelay estimates the wait of the last item of a flow: the time to serve all queued items of its tier and above,
// or those of its own flow at the guaranteed rate, whichever is shorter.
func (s *Scheduler) expectedDelay(now time.Time, f *flow) time.Duration {
	rate := s.grantRate(s.capacity(now))
	if rate == 0 {
		return maxRetryAfter
	}
	ahead := 0
	for tier := 0; tier <= f.terms.Tier; tier++ {
		ahead += s.queuedByTier[tier]
	}
	wait := float64(ahead) / rate
	if f.terms.Share > 0 {
		wait = min(wait, float64(len(f.queue))/(f.terms.Share*rate))
	}
	return time.Duration(min(wait, maxRetryAfter.Seconds()) * float64(time.Second))
}

// shedForArrival refuses one request if the new item overfills the queue or is not expected to be served before its deadline:
// an unprotected item of a lower tier if there is one, else the new item. A repeated attempt is refused only if the queue is full.
func (s *Scheduler) shedForArrival(now time.Time, it *queueItem) {
	full := len(s.queued) > s.opt.MaxQueued
	late := now.After(s.settledAt) && s.capacity(now) > 0 && s.expectedDelay(now, it.flow) > it.deadline.Sub(now)
	if s.opt.Policy == FIFO {
		late = false
	}
	if !full && !late {
		return
	}
	if candidate := s.shedCandidate(now, it.flow.terms.Tier); candidate != nil {
		s.drop(now, candidate, Overloaded)
		return
	}
	if it.req.Attempt > 0 && !full {
		return
	}
	s.drop(now, it, Overloaded)
}

// expireItem refuses an item whose deadline has passed. If an unprotected item of a lower tier is queued, that one is refused
// instead, and the deadline of this one is extended; but an item that was held back by a limit of its contract, or that finds the
// cell without capacity, is always refused.
func (s *Scheduler) expireItem(now time.Time, it *queueItem) {
	if it.atRunningLimit || !it.costReserved && s.lacksFunds(it) {
		code := OverContract
		if !it.atRunningLimit {
			code = CeilingReached
		}
		s.drop(now, it, code)
		return
	}
	if s.capacity(now) == 0 {
		s.drop(now, it, NoEndpoint)
		return
	}
	if candidate := s.shedCandidate(now, it.flow.terms.Tier); candidate != nil {
		s.drop(now, candidate, Overloaded)
		it.deadline = now.Add(it.flow.terms.MaxQueueTime)
		return
	}
	s.drop(now, it, QueueTimeout)
}

// drop removes a queued item and refuses it. The retry delay is the expected delay of its class, within bounds.
func (s *Scheduler) drop(now time.Time, it *queueItem, code RefusalCode) {
	retryAfter := min(max(s.expectedDelay(now, it.flow), minRetryAfter), maxRetryAfter)
	s.dequeue(it)
	it.flow.shed++
	it.flow.tokenBucket.Adjust(now, float64(it.req.InputTokens+it.flow.estimatedOutput))
	s.refuse(now, &it.req, code, retryAfter)
}

// shedCandidate returns the newest item, in the lowest tier below the given one, that no guaranteed share protects, or nil.
func (s *Scheduler) shedCandidate(now time.Time, tier int) *queueItem {
	if s.opt.Policy == FIFO {
		return nil
	}
	slots := s.capacity(now)
	var found *queueItem
	for f := range s.backlogged {
		if f.terms.Tier <= tier || len(f.queue) <= f.protectedItems(slots) {
			continue
		}
		last := newestItem(f)
		if found == nil || shedBefore(last, found) {
			found = last
		}
	}
	return found
}

// shedBefore reports whether a is shed in preference to b.
func shedBefore(a, b *queueItem) bool {
	if a.flow.terms.Tier != b.flow.terms.Tier {
		return a.flow.terms.Tier > b.flow.terms.Tier
	}
	if !a.arrivedAt.Equal(b.arrivedAt) {
		return a.arrivedAt.After(b.arrivedAt)
	}
	return a.req.ID > b.req.ID
}

// newestItem returns the item of a flow that arrived last; the queue is ordered by deadline instead.
func newestItem(f *flow) *queueItem {
	last := f.queue[0]
	for _, it := range f.queue[1:] {
		if it.arrivedAt.After(last.arrivedAt) {
			last = it
		}
	}
	return last
}
