package entry

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/relay"
)

type (
	// run is one generation and all who read it: the caller, and those who sent the same request again.
	run struct {
		id     string
		print  string
		stop   context.CancelFunc
		mu     sync.Mutex
		events []relay.Event
		size   int
		ended  bool
		fault  *problem
		change chan struct{}
		reader int
		ending time.Time
	}

	// runs is the table of the runs of this instance, with those that ended of late.
	runs struct {
		mu   sync.Mutex
		byID map[string]*run
		size int
		old  []*run
	}
)

const (
	// keepRun is how long the answer of an ended run is kept for a caller that sends its request again.
	keepRun = 60 * time.Second
	// keepBytes bounds the answers that are kept, in bytes.
	keepBytes = 32 << 20
	// eventBytes is what one kept token costs beside its text, in bytes.
	eventBytes = 64
)

func newRuns() *runs {
	return &runs{byID: map[string]*run{}}
}

// join returns the run with an ID and enters its reader; a run that failed is not joined.
func (t *runs) join(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || !r.enter() {
		return nil
	}
	return r
}

// begin enters a new run with one reader, or joins the one that is there; fresh tells which.
func (t *runs) begin(id, print string, stop context.CancelFunc) (r *run, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.byID[id]; r != nil && r.enter() {
		return r, false
	}
	r = &run{id: id, print: print, stop: stop, change: make(chan struct{}), reader: 1}
	t.byID[id] = r
	return r, true
}

// retire keeps an ended run for a while, within the bound on memory.
func (t *runs) retire(now time.Time, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.mu.Lock()
	r.ending = now
	bad := r.fault != nil
	t.size += r.size
	r.mu.Unlock()
	t.old = append(t.old, r)
	if bad {
		t.remove(r)
	}
	t.prune(now)
}

// remove takes a run out of the table, unless another has taken its ID.
func (t *runs) remove(r *run) {
	if t.byID[r.id] == r {
		delete(t.byID, r.id)
	}
}

// prune forgets ended runs that are too old or too many.
func (t *runs) prune(now time.Time) {
	for len(t.old) > 0 {
		r := t.old[0]
		if now.Sub(r.ending) < keepRun && t.size < keepBytes {
			return
		}
		t.old[0] = nil
		t.old = t.old[1:]
		t.size -= r.size
		t.remove(r)
	}
}

// enter adds a reader unless the run was given up.
func (r *run) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended && r.fault != nil || r.reader == 0 && !r.ended {
		return false
	}
	r.reader++
	return true
}

// leave takes a reader away; the last one stops a run that is in progress.
func (r *run) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reader--
	if r.reader == 0 && !r.ended {
		r.stop()
	}
}

// add appends an event and wakes the readers.
func (r *run) add(e relay.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	r.size += len(e.Text) + eventBytes
	r.wake()
}

// end marks the run as ended, with the problem that ended it early or nil.
func (r *run) end(p *problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.fault = true, p
	r.wake()
}

func (r *run) wake() {
	close(r.change)
	r.change = make(chan struct{})
}

// bytes returns the size of what has come so far.
func (r *run) bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.size
}

// offset returns the number of tokens that have come so far.
func (r *run) offset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return 0
	}
	return r.events[len(r.events)-1].Offset
}

// after returns the events from position n on, whether and how the run ended, and what signals a change.
func (r *run) after(n int) (events []relay.Event, ended bool, p *problem, change <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[n:len(r.events):len(r.events)], r.ended, r.fault, r.change
}
