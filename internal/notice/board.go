package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// retention is how long a notice of an endpoint is kept after it has left the configuration, as it may come back.
	retention = 10 * time.Minute
	// maxPause bounds the pause that an endpoint can ask for.
	maxPause = 10 * time.Minute
	// returnInterval is the time between two requests to an endpoint whose pause has ended, until it has answered one.
	returnInterval = 100 * time.Millisecond
)

type (
	// Start identifies one process start of an endpoint. StartedAtMS is the time of the start in Unix milliseconds.
	Start struct {
		ID          string
		StartedAtMS int64
	}

	// Board holds the notices of endpoints. It is safe for concurrent use.
	Board struct {
		mu sync.Mutex
		// leaving holds the endpoints that are leaving and when each was last in the configuration.
		leaving map[Start]time.Time
		pauses  map[Start]pause
		// size is the number of notices, so that a request without any takes no lock.
		size atomic.Int64
	}

	// pause is the time for which an endpoint asked for no requests. Its end is confirmed by the first answer after it.
	pause struct {
		until time.Time
		// nextTry is when the next request may be sent after the pause.
		nextTry time.Time
	}
)

// New returns a Board without notices.
func New() *Board {
	return &Board{leaving: map[Start]time.Time{}, pauses: map[Start]pause{}}
}

// MarkLeaving records that an endpoint is leaving, and reports whether that is new.
func (b *Board) MarkLeaving(now time.Time, ep Start) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.leaving[ep]; ok {
		return false
	}
	b.leaving[ep] = now
	b.updateSize()
	return true
}

// MarkPaused records that an endpoint wants no requests of this instance for a time, at most 10 minutes.
func (b *Board) MarkPaused(now time.Time, ep Start, length time.Duration) {
	if length <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	until := now.Add(min(length, maxPause))
	if known := b.pauses[ep].until; known.After(until) {
		until = known
	}
	b.pauses[ep] = pause{until: until, nextTry: until}
	b.updateSize()
}

// Admit reports whether a request may be sent to an endpoint now. After a pause it admits one request at a time, until one is
// answered.
func (b *Board) Admit(now time.Time, ep Start) bool {
	if b.size.Load() == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.leaving[ep]; ok {
		return false
	}
	p, ok := b.pauses[ep]
	if !ok {
		return true
	}
	if now.Before(p.nextTry) {
		return false
	}
	p.nextTry = now.Add(returnInterval)
	b.pauses[ep] = p
	return true
}

// MarkAnswered records that an endpoint answered a request without asking for a pause, which confirms the end of an earlier one.
func (b *Board) MarkAnswered(now time.Time, ep Start) {
	if b.size.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.pauses[ep]; ok && !now.Before(p.until) {
		delete(b.pauses, ep)
		b.updateSize()
	}
}

// Unwilling returns the IDs of the endpoints in eps that take no request of this instance now. A later start with the ID of an
// endpoint that gave a notice takes requests.
func (b *Board) Unwilling(now time.Time, eps map[string]roster.Endpoint) []string {
	if b.size.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for ep := range b.leaving {
		if isCurrent(ep, eps) {
			ids = append(ids, ep.ID)
		}
	}
	for ep, p := range b.pauses {
		if now.Before(p.nextTry) && isCurrent(ep, eps) {
			ids = append(ids, ep.ID)
		}
	}
	return ids
}

// PauseLeft returns the time until the first endpoint of a service, and of a software version unless build is empty, can be tried
// again, if all of them that are ready pause or leave and one at least pauses; else 0.
func (b *Board) PauseLeft(now time.Time, service, build string, eps map[string]roster.Endpoint) time.Duration {
	if b.size.Load() == 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var left time.Duration
	for id, known := range eps {
		if known.Service != service || build != "" && known.Build != build || known.State != roster.Ready {
			continue
		}
		ep := Start{ID: id, StartedAtMS: known.StartedAtMS}
		if _, ok := b.leaving[ep]; ok {
			continue
		}
		endpointLeft := b.pauses[ep].nextTry.Sub(now)
		if endpointLeft <= 0 {
			return 0
		}
		if left == 0 || endpointLeft < left {
			left = endpointLeft
		}
	}
	return left
}

// Prune removes the notices of endpoints that have long left the configuration, and pauses that ended long ago.
func (b *Board) Prune(now time.Time, eps map[string]roster.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for ep, lastSeen := range b.leaving {
		switch {
		case isCurrent(ep, eps):
			b.leaving[ep] = now
		case now.Sub(lastSeen) > retention:
			delete(b.leaving, ep)
		}
	}
	for ep, p := range b.pauses {
		if now.Sub(p.until) > retention {
			delete(b.pauses, ep)
		}
	}
	b.updateSize()
}

func (b *Board) updateSize() {
	b.size.Store(int64(len(b.leaving) + len(b.pauses)))
}

// isCurrent reports whether the configuration has this start of an endpoint.
func isCurrent(ep Start, eps map[string]roster.Endpoint) bool {
	known, ok := eps[ep.ID]
	return ok && known.StartedAtMS == ep.StartedAtMS
}
