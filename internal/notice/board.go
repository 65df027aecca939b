package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// retention is how long a notice of an endpoint is kept after it has left the configuration, as it may come back.
const retention = 10 * time.Minute

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
		// size is the number of notices, so that a request without any takes no lock.
		size atomic.Int64
	}
)

// New returns a Board without notices.
func New() *Board {
	return &Board{leaving: map[Start]time.Time{}}
}

// MarkLeaving records that an endpoint is leaving, and reports whether that is new.
func (b *Board) MarkLeaving(now time.Time, ep Start) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.leaving[ep]; ok {
		return false
	}
	b.leaving[ep] = now
	b.size.Store(int64(len(b.leaving)))
	return true
}

// Unwilling returns the IDs of the endpoints in eps that take no new request of this instance. A later start with the ID of an
// endpoint that was leaving takes requests.
func (b *Board) Unwilling(eps map[string]roster.Endpoint) []string {
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
	return ids
}

// Prune removes the notices of endpoints that have long left the configuration.
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
	b.size.Store(int64(len(b.leaving)))
}

// isCurrent reports whether the configuration has this start of an endpoint.
func isCurrent(ep Start, eps map[string]roster.Endpoint) bool {
	known, ok := eps[ep.ID]
	return ok && known.StartedAtMS == ep.StartedAtMS
}
