package engine

import (
	"sort"
	"time"
)

const (
	// resumeGrace is how long a run without a reader continues, and a finished one is kept, so that a reader can resume it.
	resumeGrace = 5 * time.Second
)

type (
	// run is one generation. Its sizes are in tokens.
	run struct {
		id          string
		prompt      string
		seed        uint64
		maxTokens   int
		priority    int
		startOffset int       // tokens that the caller already had when the run started
		generated   int       // includes the tokens before startOffset
		prefillLeft int       // prompt tokens still to be processed before the first token
		readers     int       // connections that stream the run
		idleSince   time.Time // when the last reader left or the run ended
		done        bool
		canceled    bool
		changed     chan struct{} // closed and replaced whenever the run makes progress or ends
	}

	// Stats counts an engine's work since its start.
	Stats struct {
		Runs          int `json:"runs"`     // runs started
		Tokens        int `json:"tokens"`   // tokens generated
		Sent          int `json:"sent"`     // tokens sent
		Prefill       int `json:"prefill"`  // prompt tokens processed
		Cached        int `json:"cached"`   // prompt tokens found in the prefix cache
		Canceled      int `json:"canceled"` // runs canceled
		AppliedOrders int `json:"loads"`
	}

	// batch is the continuous batch of an engine. It is not safe for concurrent use.
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

// admit moves waiting runs to free slots, by priority (lower number first), then in the order of arrival. 4 bytes of prompt count as
// one token.
func (b *batch) admit() {
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority < b.waiting[j].priority })
	for len(b.active) < b.slots && len(b.waiting) > 0 {
		r := b.waiting[0]
		b.waiting = b.waiting[1:]
		cachedBlocks := b.cache.touch(blockHashes(r.prompt))
		promptTokens := len(r.prompt) / 4
		r.prefillLeft = max(promptTokens-cachedBlocks*blockBytes/4, 0)
		b.stats.Prefill += r.prefillLeft
		b.stats.Cached += promptTokens - r.prefillLeft
		b.active = append(b.active, r)
	}
}

// step generates one token for each active run that has finished its prefill. The other runs share prefillBudget, in tokens.
func (b *batch) step(now time.Time, prefillBudget int) {
	remaining := b.active[:0]
	for _, r := range b.active {
		if r.prefillLeft > 0 && prefillBudget > 0 {
			n := min(r.prefillLeft, prefillBudget)
			r.prefillLeft -= n
			prefillBudget -= n
		} else if r.prefillLeft == 0 && !r.canceled {
			r.generated++
			b.stats.Tokens++
		}
		r.done = r.canceled || r.generated >= r.maxTokens
		close(r.changed)
		r.changed = make(chan struct{})
		if !r.done {
			remaining = append(remaining, r)
			continue
		}
		r.idleSince = now
	}
	b.active = remaining
	b.expire(now)
}

// expire cancels the runs that have had no reader for resumeGrace, and deletes those of them that have ended.
func (b *batch) expire(now time.Time) {
	for id, r := range b.runs {
		if r.readers > 0 || now.Sub(r.idleSince) < resumeGrace {
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
	for i, queued := range b.waiting {
		if queued == r {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			r.done = true
			close(r.changed)
			r.changed = make(chan struct{})
			return
		}
	}
}
