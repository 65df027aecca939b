package retry

import "sync"

const (
	// perRequest is the part of a retry that each new request earns.
	perRequest = 0.2
	// burst is the largest number of retries saved up, enough for the runs of a few endpoints lost at once.
	burst = 128
	// MaxAttempts is the largest number of endpoints that one request is given to.
	MaxAttempts = 5
)

// Budget is a store of retries that fills with each new request.
type Budget struct {
	mu    sync.Mutex
	level float64
}

// New returns a full budget.
func New() *Budget {
	return &Budget{level: burst}
}

// Earn notes a new request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+perRequest, burst)
}

// Spend takes one retry, or reports that none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
