package place

import (
	"slices"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// shortRead is the time that reading a prompt may take for the request to be sent at once; it hardly delays others.
	shortRead = 60 * time.Millisecond
	// mostBacklog is the backlog of an engine above which it gets no long prompt that can wait: a short request that comes next
	// must still be on time there.
	mostBacklog = 100 * time.Millisecond
	// waitPercent is the part of its target, in percent, by which a request that waits must be expected to be answered.
	waitPercent = 60
)

type (
	// waiting is a request that waits for an engine.
	waiting struct {
		q       Request
		arrived time.Time
	}

	// Grant is the choice for a request that has waited.
	Grant struct {
		Run    string
		Choice Choice
	}
)

// Offer chooses the endpoint for a request as Place does, or lets it wait where its prompt is long, each engine that suits it has
// others to read, and its target allows it. Dispatch tells later where it goes.
func (b *Board) Offer(now time.Time, q Request) (c Choice, queued, found bool) {
	if b.waits(q.Run) {
		return c, true, true
	}
	l := b.best(now, &q)
	if l == nil {
		return c, false, false
	}
	w := waiting{q: q, arrived: now.Add(-q.Waited)}
	if b.runs[q.Run] == nil && w.mayWait(now, l) {
		b.queue = append(b.queue, w)
		slices.SortStableFunc(b.queue, func(x, y waiting) int { return x.due().Compare(y.due()) })
		return c, true, true
	}
	c, found = b.Place(now, q)
	return c, false, found
}

// due is when the answer must come to be on time.
func (w *waiting) due() time.Time {
	return w.arrived.Add(w.q.Target)
}

// mayWait reports whether a request need not be sent to the endpoint that suits it best now.
func (w *waiting) mayWait(now time.Time, l *load) bool {
	if !l.engine || l.speed.reading(l.need(&w.q)) < shortRead || l.backlog(now) <= mostBacklog {
		return false
	}
	latest := w.arrived.Add(w.q.Target * waitPercent / 100)
	return now.Add(l.expect(now, &w.q)).Before(latest)
}

// Dispatch chooses the endpoints for requests that need not wait longer, those due first.
func (b *Board) Dispatch(now time.Time) []Grant {
	var out []Grant
	left := b.queue[:0]
	for _, w := range b.queue {
		l := b.best(now, &w.q)
		if l == nil || w.mayWait(now, l) {
			left = append(left, w)
			continue
		}
		if c, ok := b.Place(now, w.q); ok {
			out = append(out, Grant{Run: w.q.Run, Choice: c})
		}
	}
	clear(b.queue[len(left):])
	b.queue = left
	return out
}

func (b *Board) waits(run string) bool {
	return slices.ContainsFunc(b.queue, func(w waiting) bool { return w.q.Run == run })
}

// Knows reports whether a run waits or is under way.
func (b *Board) Knows(run string) bool {
	return b.runs[run] != nil || b.waits(run)
}

// Waiting returns the number of requests that wait.
func (b *Board) Waiting() int {
	return len(b.queue)
}

// unqueue forgets a request that waits.
func (b *Board) unqueue(run string) {
	b.queue = slices.DeleteFunc(b.queue, func(w waiting) bool { return w.q.Run == run })
}

// best returns the endpoint that suits a request best, or nil.
func (b *Board) best(now time.Time, q *Request) *load {
	var best *load
	var bestCost time.Duration
	for _, l := range b.services[q.Service] {
		if l.ep.State != roster.Ready || slices.Contains(q.Avoid, l.ep.ID) {
			continue
		}
		cost := l.cost(now, q)
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}
