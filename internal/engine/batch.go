package engine

import (
	"sort"
	"time"
)

const (
	// resumeGrace is how long a run goes on, and its tokens are kept, without a reader.
	resumeGrace = 5 * time.Second
)

type (
	// run is one generation; made counts its tokens so far.
	run struct {
		id       string
		prompt   string
		seed     uint64
		limit    int
		priority int
		start    int
		made     int
		prefill  int
		readers  int
		idle     time.Time
		done     bool
		canceled bool
		changed  chan struct{}
	}

	// Stats counts an engine's work since its start.
	Stats struct {
		Runs     int `json:"runs"`
		Tokens   int `json:"tokens"`
		Sent     int `json:"sent"`
		Prefill  int `json:"prefill"`
		Cached   int `json:"cached"`
		Canceled int `json:"canceled"`
		Loads    int `json:"loads"`
	}

	// batch is the continuous batch of an engine; its owner guards it by a mutex.
	batch struct {
		slots   int
		active  []*run
		waiting []*run
		runs    map[string]*run
		cache   *cache
		stats   Stats
	}
)

func newBatch(slots, cacheBlocks int) *batch {
	return &batch{slots: slots, runs: map[string]*run{}, cache: newCache(cacheBlocks)}
}

// admit fills free slots by priority (lower number first), then by arrival.
func (b *batch) admit() {
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority < b.waiting[j].priority })
	for len(b.active) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		hit := b.cache.touch(blocks(r.prompt))
		total := len(r.prompt) / 4
		r.prefill = max(total-hit*blockBytes/4, 0)
		b.stats.Prefill += r.prefill
		b.stats.Cached += total - r.prefill
		b.active = append(b.active, r)
	}
}

// step generates one token for each active run that is past its prefill.
func (b *batch) step(now time.Time, prefillBudget int) {
	kept := b.active[:0]
	for _, r := range b.active {
		if r.prefill > 0 && prefillBudget > 0 {
			n := min(r.prefill, prefillBudget)
			r.prefill -= n
			prefillBudget -= n
		} else if r.prefill == 0 && !r.canceled {
			r.made++
			b.stats.Tokens++
		}
		r.done = r.canceled || r.made >= r.limit
		close(r.changed)
		r.changed = make(chan struct{})
		if !r.done {
			kept = append(kept, r)
			continue
		}
		r.idle = now
	}
	b.active = kept
	b.expire(now)
}

// expire cancels runs that nobody reads and forgets those that ended long ago.
func (b *batch) expire(now time.Time) {
	for id, r := range b.runs {
		if r.readers > 0 || now.Sub(r.idle) < resumeGrace {
			continue
		}
		if r.done {
			delete(b.runs, id)
			continue
		}
		b.cancel(r)
	}
}

func (b *batch) cancel(r *run) {
	if r.done || r.canceled {
		return
	}
	r.canceled = true
	b.stats.Canceled++
	for i, w := range b.waiting {
		if w == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			r.done = true
			close(r.changed)
			r.changed = make(chan struct{})
			return
		}
	}
}
