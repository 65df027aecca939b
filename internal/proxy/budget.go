package proxy

import (
	"sync"

	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// budgets holds the window of requests and repeats of each service.
type budgets struct {
	mu  sync.RWMutex
	all map[string]*retry.Window
}

func newBudgets() *budgets {
	return &budgets{all: map[string]*retry.Window{}}
}

func (b *budgets) of(service string) *retry.Window {
	b.mu.RLock()
	w := b.all[service]
	b.mu.RUnlock()
	if w != nil {
		return w
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w = b.all[service]; w == nil {
		w = retry.NewWindow()
		b.all[service] = w
	}
	return w
}
