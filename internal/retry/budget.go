package retry

import "sync"

const (
	// retriesPerRequest is the number of retries added to the budget for each new request.
	retriesPerRequest = 0.2
	// maxSavedRetries is the maximum number of retries in the budget, enough to retry all requests of a few endpoints that fail at
	// the same time.
	maxSavedRetries = 128
	// MaxAttempts is the maximum number of endpoints that one request is sent to.
	MaxAttempts = 5
)

// Budget is a retry budget that is replenished by each new request. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available float64
}

// New returns a full Budget.
func New() *Budget {
	return &Budget{available: maxSavedRetries}
}

// AddRequest counts a new request, which adds retriesPerRequest to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+retriesPerRequest, maxSavedRetries)
}

// AllowRetry counts a retry; it returns false if the budget is spent.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
