package proxy

import (
	"sync"

	"github.com/greengagewheel/greengagewheel/internal/retry"
)

// retryWindows holds the retry window of each service, which counts its requests and retries.
type retryWindows struct {
	mu      sync.RWMutex
	windows map[string]*retry.Window
}

func newRetryWindows() *retryWindows {
	return &retryWindows{windows: map[string]*retry.Window{}}
}

// window returns the retry window of a service and creates it on first use.
func (w *retryWindows) window(service string) *retry.Window {
	w.mu.RLock()
	win := w.windows[service]
	w.mu.RUnlock()
	if win != nil {
		return win
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if win = w.windows[service]; win == nil {
		win = retry.NewWindow()
		w.windows[service] = win
	}
	return win
}
