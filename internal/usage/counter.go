package usage

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// idleInterval is the longest time between two messages of an entry without traffic. They tell the leader that there was none, and the
	// entry's time of day.
	idleInterval = time.Second
	// unsupportedFor is the time for which nothing is reported to a leader that acknowledges no counts, as its build does not know them.
	unsupportedFor = 5 * time.Second
)

type (
	// cell identifies the count of an organisation's requests in a bucket.
	cell struct {
		bucket       int64
		organisation string
	}

	// Counter counts the requests of one entry and reports them to the leader. It is safe for concurrent use.
	Counter struct {
		now     func() time.Time
		wall    func() time.Time
		changed chan struct{}
		// retention is how long counts are kept.
		retention time.Duration

		mu    sync.Mutex
		since int64
		// numbers holds the counts, order their cells from the oldest bucket to the newest.
		numbers map[cell]int
		order   []cell
		// leader is the receiver that ackedThrough and the fields below are about.
		leader       netip.AddrPort
		ackedThrough int64
		sentAt       time.Time
		silentUntil  time.Time
	}
)

// NewCounter returns a counter without counts. now is the steady clock, wall the time of day, retention how long counts are kept.
func NewCounter(retention time.Duration, now, wall func() time.Time) *Counter {
	return &Counter{
		now: now, wall: wall, retention: retention, changed: make(chan struct{}, 1), since: now().UnixMicro(), numbers: map[cell]int{},
	}
}

// Count counts a request of an organisation that an endpoint has begun.
func (c *Counter) Count(organisation string) {
	c.mu.Lock()
	key := cell{bucketOf(c.now().UnixMicro()), organisation}
	if c.numbers[key]++; c.numbers[key] == 1 {
		c.order = append(c.order, key)
	}
	c.mu.Unlock()
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Changed returns a channel that receives a value after requests were counted.
func (c *Counter) Changed() <-chan struct{} {
	return c.changed
}

// Due reports whether the leader should get a message although there is nothing else to send.
func (c *Counter) Due(leader netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	switch {
	case leader != c.leader:
		return true
	case now.Before(c.silentUntil):
		return false
	case now.Sub(c.sentAt) >= idleInterval:
		return true
	}
	return len(c.order) > 0 && c.order[len(c.order)-1].bucket >= bucketOf(c.ackedThrough)
}

// Message returns the counts that a leader has not acknowledged, or nil if it takes none. A new leader gets all that are kept.
func (c *Counter) Message(leader netip.AddrPort) *Message {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if leader != c.leader {
		c.leader, c.ackedThrough, c.silentUntil = leader, 0, time.Time{}
	}
	if now.Before(c.silentUntil) {
		return nil
	}
	c.sentAt = now
	c.prune(now)
	msg := &Message{Now: now.UnixMicro(), Wall: c.wall().UnixMicro(), Since: c.since, After: c.ackedThrough, Through: now.UnixMicro()}
	current := bucketOf(msg.Now)
	first := len(c.order)
	for first > 0 && c.order[first-1].bucket >= bucketOf(msg.After) {
		first--
	}
	for _, key := range c.order[first:] {
		if len(msg.Counts) == maxCounts {
			// The bucket that does not fit as a whole is sent again with the next message.
			msg.Through = key.bucket * bucketLength.Microseconds()
			break
		}
		msg.Counts = append(msg.Counts, Count{Age: current - key.bucket, Organisation: key.organisation, Number: c.numbers[key]})
	}
	return msg
}

// prune drops the counts that are older than the retention, and what was acknowledged if counts after it are dropped. The caller holds
// c.mu.
func (c *Counter) prune(now time.Time) {
	oldestKept := now.Add(-c.retention).UnixMicro()
	n := 0
	for n < len(c.order) && c.order[n].bucket < bucketOf(oldestKept) {
		delete(c.numbers, c.order[n])
		n++
	}
	c.order = c.order[n:]
	if c.ackedThrough < oldestKept {
		c.ackedThrough = 0
	}
}

// Acknowledge records a leader's answer to a message; a nil ack means that the leader does not know usage.
func (c *Counter) Acknowledge(leader netip.AddrPort, msg *Message, ack *Ack) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case msg == nil || leader != c.leader:
	case ack == nil:
		c.silentUntil = c.now().Add(unsupportedFor)
	case ack.Through < msg.After:
		c.ackedThrough = 0
	default:
		// An answer of an earlier process start at the address cannot acknowledge more than the message holds.
		c.ackedThrough = max(c.ackedThrough, min(ack.Through, msg.Through))
	}
}
