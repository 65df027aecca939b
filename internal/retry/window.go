package retry

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets that a window spans. One more is kept, as the current bucket covers only a part of its
// time.
const windowBuckets = 20

type (
	// Allowance is the share of a service's retries that one instance may use. In each window it may retry the fraction Ratio of its
	// own requests plus Slack requests, its part of the slack of all instances.
	Allowance struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Window counts requests and retries in a sliding window. It is safe for concurrent use.
	Window struct {
		mu sync.Mutex
		// current is the number of the current bucket since the Unix epoch; its counters are at current modulo the array length.
		current  int64
		requests [windowBuckets + 1]int
		retries  [windowBuckets + 1]int
	}
)

// NewWindow returns an empty Window.
func NewWindow() *Window {
	return &Window{}
}

// AddRequest counts a request.
func (w *Window) AddRequest(now time.Time, limit Allowance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limit)
	w.requests[w.current%(windowBuckets+1)]++
}

// AllowRetry counts a retry; it returns false if the limit is reached.
func (w *Window) AllowRetry(now time.Time, limit Allowance) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now, limit)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries+1) > limit.Ratio*float64(requests)+limit.Slack {
		return false
	}
	w.retries[w.current%(windowBuckets+1)]++
	return true
}

// advance moves the window to the current time and clears the counters of the new buckets.
func (w *Window) advance(now time.Time, limit Allowance) {
	bucket := now.UnixNano() / max(1, limit.Window.Nanoseconds()/windowBuckets)
	for n := 0; w.current < bucket && n <= windowBuckets; n++ {
		w.current++
		w.requests[w.current%(windowBuckets+1)], w.retries[w.current%(windowBuckets+1)] = 0, 0
	}
	w.current = max(w.current, bucket)
}
