package retry

import (
	"sync"
	"time"
)

// steps is the number of parts in which a window slides.
const steps = 20

type (
	// Share is what one instance may repeat of a service's requests: a part of its own requests in each window, and a part
	// of the slack that all instances share.
	Share struct {
		Ratio  float64
		Slack  float64
		Window time.Duration
	}

	// Window counts requests and repeats in a window of time that slides.
	Window struct {
		mu      sync.Mutex
		at      int64
		first   [steps + 1]int
		repeats [steps + 1]int
	}
)

// NewWindow returns an empty window.
func NewWindow() *Window {
	return &Window{}
}

// Arrived counts a request.
func (w *Window) Arrived(now time.Time, s Share) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now, s)
	w.first[w.at%(steps+1)]++
}

// Repeat counts a repeat, or reports that the window has no room for it.
func (w *Window) Repeat(now time.Time, s Share) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slide(now, s)
	first, repeats := 0, 0
	for i := range w.first {
		first += w.first[i]
		repeats += w.repeats[i]
	}
	if float64(repeats+1) > s.Ratio*float64(first)+s.Slack {
		return false
	}
	w.repeats[w.at%(steps+1)]++
	return true
}

// slide forgets what lies before the window.
func (w *Window) slide(now time.Time, s Share) {
	at := now.UnixNano() / max(1, s.Window.Nanoseconds()/steps)
	for n := 0; w.at < at && n <= steps; n++ {
		w.at++
		w.first[w.at%(steps+1)], w.repeats[w.at%(steps+1)] = 0, 0
	}
	w.at = max(w.at, at)
}
