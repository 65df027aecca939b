package proxy

import (
	"sync"

	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// retryBudgets holds the retry window of each service, which counts its requests and retries.
type retryBudgets struct {
	mu      sync.RWMutex
	windows map[string]*retry.Window
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{windows: map[string]*retry.Window{}}
}

// window returns the retry window of a service and creates it on first use.
func (b *retryBudgets) window(service string) *retry.Window {
	b.mu.RLock()
	win := b.windows[service]
	b.mu.RUnlock()
	if win != nil {
		return win
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if win = b.windows[service]; win == nil {
		win = retry.NewWindow()
		b.windows[service] = win
	}
	return win
}
