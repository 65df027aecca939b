package entry

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/relay"
)

type (
	// run is one generation and the number of its readers: the caller, and callers that sent the same request again.
	run struct {
		id          string
		fingerprint string
		cancel      context.CancelFunc
		mu          sync.Mutex
		events      []relay.Event
		sizeBytes   int
		ended       bool
		// failure is the problem that ended the run, or nil.
		failure *problem
		// changed is closed, and replaced by a new channel, at each change of the run.
		changed chan struct{}
		// build is the software version that the run is bound to, or nil.
		build   *string
		readers int
		endedAt time.Time
	}

	// runTable holds the runs of this instance, including those that ended recently.
	runTable struct {
		mu         sync.Mutex
		byID       map[string]*run
		endedBytes int
		// ended holds the ended runs, oldest first; endedBytes is their total size.
		ended []*run
	}
)

const (
	// endedRunTTL is how long an ended run is kept for a caller that sends its request again.
	endedRunTTL = 60 * time.Second
	// maxEndedBytes is the maximum total size of the ended runs kept, in bytes.
	maxEndedBytes = 32 << 20
	// eventOverheadBytes is the memory that an event needs in addition to its text, in bytes.
	eventOverheadBytes = 64
)

func newRunTable() *runTable {
	return &runTable{byID: map[string]*run{}}
}

// join adds a reader to the run with an ID and returns the run, or nil if there is none or it failed or was canceled.
func (t *runTable) join(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[id]
	if r == nil || !r.addReader() {
		return nil
	}
	return r
}

// begin adds a new run with one reader, or joins the existing one; created reports which.
func (t *runTable) begin(id, fingerprint string, cancel context.CancelFunc) (r *run, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.byID[id]; r != nil && r.addReader() {
		return r, false
	}
	r = &run{id: id, fingerprint: fingerprint, cancel: cancel, changed: make(chan struct{}), readers: 1}
	t.byID[id] = r
	return r, true
}

// retire keeps an ended run for endedRunTTL, within maxEndedBytes. A failed run can't be joined any more.
func (t *runTable) retire(now time.Time, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.mu.Lock()
	r.endedAt = now
	failed := r.failure != nil
	t.endedBytes += r.sizeBytes
	r.mu.Unlock()
	t.ended = append(t.ended, r)
	if failed {
		t.remove(r)
	}
	t.pruneEnded(now)
}

// remove removes a run from the table unless its ID belongs to a newer run.
func (t *runTable) remove(r *run) {
	if t.byID[r.id] == r {
		delete(t.byID, r.id)
	}
}

// pruneEnded removes the oldest ended runs until the limits of age and total size are met.
func (t *runTable) pruneEnded(now time.Time) {
	for len(t.ended) > 0 {
		r := t.ended[0]
		if now.Sub(r.endedAt) < endedRunTTL && t.endedBytes < maxEndedBytes {
			return
		}
		t.ended[0] = nil
		t.ended = t.ended[1:]
		t.endedBytes -= r.sizeBytes
		t.remove(r)
	}
}

// addReader adds a reader and reports true, unless the run has failed or was canceled.
func (r *run) addReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended && r.failure != nil || r.readers == 0 && !r.ended {
		return false
	}
	r.readers++
	return true
}

// removeReader removes a reader. A run in progress is canceled with its last reader.
func (r *run) removeReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && !r.ended {
		r.cancel()
	}
}

// addEvent appends an event and notifies the readers.
func (r *run) addEvent(event relay.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	r.sizeBytes += len(event.Text) + eventOverheadBytes
	r.notifyReaders()
}

// end marks the run as ended, with the problem that ended it or nil, and notifies the readers.
func (r *run) end(p *problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.failure = true, p
	r.notifyReaders()
}

func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// receivedBytes returns the size of the events received so far.
func (r *run) receivedBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sizeBytes
}

// tokensReceived returns the number of tokens received so far.
func (r *run) tokensReceived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return 0
	}
	return r.events[len(r.events)-1].Offset
}

// eventsFrom returns the events from a position on, whether the run has ended and the problem that ended it. changed is closed at
// the next change of the run.
func (r *run) eventsFrom(position int) (events []relay.Event, ended bool, p *problem, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[position:len(r.events):len(r.events)], r.ended, r.failure, r.changed
}

// setBuild records the software version that the run is bound to.
func (r *run) setBuild(build string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.build = &build
}

// boundBuild returns the software version that the run is bound to, or nil.
func (r *run) boundBuild() *string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.build
}
