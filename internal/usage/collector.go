package usage

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// clockDrift is the rate at which the steady clocks of two machines may drift apart, in parts per million. Crystals of machines keep
	// within 100.
	clockDrift = 200
	// clockReportAge is the age up to which a reported time of day counts. Entries without traffic report every second.
	clockReportAge = 5 * time.Second
)

type (
	// entryKey identifies one process start of an entry.
	entryKey struct {
		entry, boot string
	}

	// entryState is what a replica knows of one process start of an entry. Times of the entry's steady clock are in microseconds.
	entryState struct {
		// offset is the difference between the replica's steady clock and the entry's, as of offsetAt. It includes the shortest delay of
		// the entry's messages.
		offset   int64
		offsetAt time.Time
		// wallOffset is the difference between the entry's time of day and its steady clock.
		wallOffset int64
		// heardAt is when the entry sent its last message, on the replica's clock.
		heardAt time.Time
		// since is when the entry began to count, now the time of its last message, through the time up to which all counts are here.
		since, now, through int64
		numbers             map[cell]int
		// uncopied holds the cells that changed since the last copy.
		uncopied map[cell]bool
	}

	// Collector gathers the counts of all entries on one replica. It is safe for concurrent use.
	Collector struct {
		wall func() time.Time
		// retention is how long counts are kept.
		retention time.Duration
		mu        sync.Mutex
		entries   map[entryKey]*entryState
		replicas  map[netip.AddrPort]replicaClock
		prunedAt  time.Time
	}

	// replicaClock is the difference between another replica's time of day and this one's steady clock, in microseconds.
	replicaClock struct {
		offset   int64
		reportAt time.Time
	}
)

// NewCollector returns a collector without counts. wall returns the time of day of this instance, retention is how long counts are
// kept.
func NewCollector(retention time.Duration, wall func() time.Time) *Collector {
	return &Collector{wall: wall, retention: retention, entries: map[entryKey]*entryState{}, replicas: map[netip.AddrPort]replicaClock{}}
}

// Receive takes a message of an entry. now is the steady clock, as in all functions.
func (c *Collector) Receive(now time.Time, entry, boot string, msg *Message) Ack {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	s := c.entry(entryKey{entry, boot}, msg.Since)
	s.updateOffset(now, now.UnixMicro()-msg.Now)
	if msg.Now >= s.now {
		s.now, s.wallOffset, s.heardAt = msg.Now, msg.Wall-msg.Now, now
	}
	s.merge(msg.Now, msg.Counts)
	if msg.After <= s.through {
		s.through = max(s.through, msg.Through)
	}
	return Ack{Through: s.through}
}

// entry returns the state of an entry, a new one if it was not heard of before. The caller holds c.mu.
func (c *Collector) entry(key entryKey, since int64) *entryState {
	s := c.entries[key]
	if s == nil {
		s = &entryState{since: since, numbers: map[cell]int{}, uncopied: map[cell]bool{}}
		c.entries[key] = s
	}
	return s
}

// updateOffset takes a measured difference of the clocks. Delays make it too large, so the smallest one counts; it ages with the drift.
func (s *entryState) updateOffset(now time.Time, offset int64) {
	if s.offsetAt.IsZero() {
		s.offset = offset
	}
	s.offset = min(s.offset+now.Sub(s.offsetAt).Microseconds()*clockDrift/1e6, offset)
	s.offsetAt = now
}

// merge takes cumulative counts whose ages refer to a time of the entry's clock. Repeated and older ones change nothing.
func (s *entryState) merge(sentAt int64, counts []Count) {
	current := bucketOf(sentAt)
	for _, count := range counts {
		key := cell{current - count.Age, count.Organisation}
		if s.numbers[key] < count.Number {
			s.numbers[key] = count.Number
			s.uncopied[key] = true
		}
	}
}

// prune drops what no window to be reported can need. The caller holds c.mu.
func (c *Collector) prune(now time.Time) {
	if now.Sub(c.prunedAt) < time.Second {
		return
	}
	c.prunedAt = now
	for key, s := range c.entries {
		if now.Sub(s.heardAt) > c.retention {
			delete(c.entries, key)
			continue
		}
		oldestKept := bucketOf(now.Add(-c.retention).UnixMicro() - s.offset)
		for key := range s.numbers {
			if key.bucket < oldestKept {
				delete(s.numbers, key)
				delete(s.uncopied, key)
			}
		}
	}
}

// Copy returns the counts to send to another replica: those that changed since the last call, or with all those that are
// kept.
func (c *Collector) Copy(now time.Time, all bool) Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Copy{Now: now.UnixMicro()}
	for key, s := range c.entries {
		e := EntryCopy{
			Entry: key.entry, Boot: key.boot, Offset: s.offset, WallOffset: s.wallOffset, Since: s.since, Now: s.now,
			SilentFor: max(0, now.Sub(s.heardAt).Microseconds()),
		}
		current, oldest := bucketOf(s.now), bucketOf(now.Add(-c.retention).UnixMicro()-s.offset)
		for cell, number := range s.numbers {
			if (all && cell.bucket >= oldest || !all && s.uncopied[cell]) && cell.bucket <= current {
				e.Counts = append(e.Counts, Count{Age: current - cell.bucket, Organisation: cell.organisation, Number: number})
			}
		}
		clear(s.uncopied)
		if all || len(e.Counts) > 0 {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// ReceiveCopy takes counts from another replica.
func (c *Collector) ReceiveCopy(now time.Time, from *Copy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune(now)
	for i := range from.Entries {
		e := &from.Entries[i]
		s := c.entry(entryKey{e.Entry, e.Boot}, e.Since)
		s.updateOffset(now, e.Offset+now.UnixMicro()-from.Now)
		if e.Now > s.now {
			s.now, s.wallOffset = e.Now, e.WallOffset
		}
		if heardAt := now.Add(-time.Duration(e.SilentFor) * time.Microsecond); heardAt.After(s.heardAt) {
			s.heardAt = heardAt
		}
		s.merge(e.Now, e.Counts)
	}
}

// recordClock takes the time of day of another replica, which answered a message sent at sentAt.
func (c *Collector) recordClock(sentAt, now time.Time, replica netip.AddrPort, wall int64) {
	if wall <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	middle := sentAt.Add(now.Sub(sentAt) / 2)
	c.replicas[replica] = replicaClock{offset: wall - middle.UnixMicro(), reportAt: now}
}

// Serve answers another replica.
func (c *Collector) Serve(now time.Time, msg *Copy) Copy {
	c.ReceiveCopy(now, msg)
	reply := Copy{Now: now.UnixMicro()}
	if msg.Want {
		reply = c.Copy(now, true)
	}
	reply.Wall = c.wall().UnixMicro()
	return reply
}

// trueOffset returns the difference between the true time of day and this replica's steady clock, in microseconds. It is the median over
// all instances heard lately and this one, so that it does not follow the steps of a minority of clocks. The caller holds c.mu.
func (c *Collector) trueOffset(now time.Time) int64 {
	offsets := []int64{c.wall().UnixMicro() - now.UnixMicro()}
	for _, s := range c.entries {
		if now.Sub(s.heardAt) <= clockReportAge {
			offsets = append(offsets, s.wallOffset-s.offset)
		}
	}
	for _, replica := range c.replicas {
		if now.Sub(replica.reportAt) <= clockReportAge {
			offsets = append(offsets, replica.offset)
		}
	}
	slices.Sort(offsets)
	return offsets[(len(offsets)-1)/2]
}

// TrueTime returns the estimate of the true time of day.
func (c *Collector) TrueTime(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.UnixMicro(now.UnixMicro() + c.trueOffset(now))
}

// window returns the counts of the requests that began from one true time to another. known is unset if nothing is known of that time.
// whole is set if all entries that were heard since the beginning of the window before have reported all of it: one that did not reach this
// replica for a whole window may have begun requests in it.
func (c *Collector) window(now, from, to time.Time) (counts map[string]int, known, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	trueOffset := c.trueOffset(now)
	counts, whole = map[string]int{}, true
	for key, s := range c.entries {
		begin, end := from.UnixMicro()-trueOffset-s.offset, to.UnixMicro()-trueOffset-s.offset
		for cell, number := range s.numbers {
			if middle := cell.bucket*bucketLength.Microseconds() + bucketLength.Microseconds()/2; middle >= begin && middle < end {
				counts[cell.organisation] += number
				known = true
			}
		}
		known = known || s.since <= begin && s.through >= end
		if s.now >= begin-(end-begin) && s.through < end && !c.superseded(key, s) {
			whole = false
		}
	}
	return counts, known, whole
}

// superseded reports whether a later process start of the same entry was heard. The caller holds c.mu.
func (c *Collector) superseded(key entryKey, s *entryState) bool {
	for other, t := range c.entries {
		if other.entry == key.entry && other.boot != key.boot && t.heardAt.After(s.heardAt) {
			return true
		}
	}
	return false
}

// earliest returns the true time at which the first of the known entries began to count, or false if none is known.
func (c *Collector) earliest(now time.Time) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, found := int64(0), false
	for _, s := range c.entries {
		if since := s.since + s.offset; !found || since < first {
			first, found = since, true
		}
	}
	return time.UnixMicro(first + c.trueOffset(now)), found
}
