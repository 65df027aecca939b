package budget

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	// stalledTicks is the number of ticks in a row without progress after which a body is given up. Ticks are counted rather than time, so
	// that a process that was stopped blames no client.
	stalledTicks = 15
	// stallGrace is the pause after which a body counts as stalled when one must be given up. Links that many share pause for less.
	stallGrace = 500 * time.Millisecond
	// requestBytes is what a request takes beside its body while that arrives: header, buffers and stack. At most a part of
	// 1/requestsDivisor of the bound is reserved for it, so that a low bound has room for that many requests with small bodies.
	requestBytes    = 32 << 10
	requestsDivisor = 256
)

// Errors of holds that are given up. What they held has not been used.
var (
	// ErrFull means that the bound is reached.
	ErrFull = errors.New("too much is held for clients")
	// ErrStalled means that the body did not go on.
	ErrStalled = errors.New("the body came too slowly")
)

type (
	// Client identifies on whose behalf memory is held. Both fields are optional.
	Client struct {
		Organisation, Address string
	}

	// Counts are the totals of a budget. Held is in bytes, of which Pinned are not those of unfinished bodies.
	Counts struct {
		Held, Pinned             int64
		Evicted, Refused, Stalls int64
		// LastClient is the one whose request was given up or refused last.
		LastClient Client
	}

	// Budget bounds the bytes held for clients.
	Budget struct {
		limit  int64
		now    func() time.Time
		mu     sync.Mutex
		counts Counts
		// unfinished are the holds of bodies that are still arriving.
		unfinished map[*Hold]struct{}
	}

	// Hold is what is held for one request.
	Hold struct {
		budget  *Budget
		client  Client
		started time.Time
		// received is the number of bytes that have arrived, lastProgress when the last ones did, in nanoseconds after started.
		received     atomic.Int64
		lastProgress atomic.Int64

		// The other fields are guarded by the budget's mutex.
		bytes      int64
		unfinished bool
		// requestBytes are those of bytes that are reserved beside an unfinished body.
		requestBytes int64
		giveUp       func()
		cause        error
		idleTicks    int
		seenReceived int64
	}
)

// New returns a budget of limit bytes; 0 is no bound.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, unfinished: map[*Hold]struct{}{}}
}

// Bounded reports whether the budget has a bound.
func (b *Budget) Bounded() bool {
	return b.limit > 0
}

// Counts returns the totals.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts
}

// Open returns a hold without bytes for a request whose body is complete. It must be released.
func (b *Budget) Open(client Client) *Hold {
	return &Hold{budget: b, client: client}
}

// Receive returns a hold for a body of the given length that is about to arrive; a negative length is unknown. giveUp must make the
// reading of the body fail; it is called at most once, with the budget locked. The error is ErrFull if there is no room for the length
// even if all unfinished bodies are given up.
func (b *Budget) Receive(client Client, length int64, giveUp func()) (*Hold, error) {
	h := &Hold{budget: b, client: client}
	if b.limit <= 0 {
		return h, nil
	}
	h.started, h.unfinished, h.giveUp = b.now(), true, giveUp
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.counts.Pinned > 0 && b.counts.Pinned+length > b.limit {
		b.counts.Refused++
		b.counts.LastClient = client
		return nil, fault.Wrap("receive", client.Address, ErrFull)
	}
	b.unfinished[h] = struct{}{}
	return h, nil
}

// Tick gives up the bodies that have not gone on for stalledTicks ticks.
func (b *Budget) Tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.unfinished {
		if received := h.received.Load(); received != h.seenReceived {
			h.seenReceived, h.idleTicks = received, 0
			continue
		}
		if h.idleTicks++; h.idleTicks >= stalledTicks {
			b.counts.Stalls++
			b.evict(h, ErrStalled)
		}
	}
}

// evict gives a hold up.
func (b *Budget) evict(h *Hold, cause error) {
	b.counts.LastClient = h.client
	h.cause = cause
	b.drop(h)
	h.giveUp()
}

// drop removes a hold and its bytes from the totals.
func (b *Budget) drop(h *Hold) {
	b.counts.Held -= h.bytes
	if !h.unfinished {
		b.counts.Pinned -= h.bytes
	}
	h.bytes = 0
	delete(b.unfinished, h)
}

// Grow reserves n more bytes, at first also those of the request beside an unfinished body. Where the bound is reached, the bodies with
// the least progress are given up first. The error is the reason why this hold itself is given up or may not grow.
func (h *Hold) Grow(n int64) error {
	b := h.budget
	if b.limit <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var beside int64
	if h.unfinished && h.requestBytes == 0 {
		beside = min(requestBytes, b.limit/requestsDivisor)
		n += beside
	}
	// A single request within the limits on its size is served, whatever the bound is.
	for h.cause == nil && b.counts.Held+n > b.limit && b.counts.Held > h.bytes {
		victim := b.victim(h)
		if victim == nil {
			b.counts.Refused++
			b.counts.LastClient = h.client
			return fault.Wrap("hold", h.client.Address, ErrFull)
		}
		b.counts.Evicted++
		b.evict(victim, ErrFull)
	}
	if h.cause != nil {
		return fault.Wrap("hold", h.client.Address, h.cause)
	}
	h.requestBytes += beside
	h.bytes += n
	b.counts.Held += n
	if !h.unfinished {
		b.counts.Pinned += n
	}
	return nil
}

// victim returns the unfinished body to give up so that grower may grow, or nil if there is none. It belongs to the organisation, and
// within that to the address, for which the unfinished bodies hold the most.
func (b *Budget) victim(grower *Hold) *Hold {
	organisation := heaviest(b.unfinished, func(h *Hold) (string, bool) { return h.client.Organisation, true })
	address := heaviest(b.unfinished, func(h *Hold) (string, bool) { return h.client.Address, h.client.Organisation == organisation })
	now := b.now()
	var victim *Hold
	for h := range b.unfinished {
		if h.client.Organisation != organisation || h.client.Address != address || h.bytes == 0 && h != grower {
			continue
		}
		if victim == nil || h.slowerThan(victim, now) {
			victim = h
		}
	}
	return victim
}

// heaviest returns the key for which the holds have the most bytes, among those that keyOf selects.
func heaviest(holds map[*Hold]struct{}, keyOf func(*Hold) (string, bool)) (key string) {
	sums := map[string]int64{}
	most := int64(-1)
	for h := range holds {
		k, selected := keyOf(h)
		if !selected {
			continue
		}
		if sums[k] += h.bytes; sums[k] > most {
			key, most = k, sums[k]
		}
	}
	return key
}

// slowerThan reports whether a body makes less progress than another: it has stalled for longer, or else has arrived at a lower rate.
func (h *Hold) slowerThan(other *Hold, now time.Time) bool {
	pause, otherPause := h.pause(now), other.pause(now)
	if pause != otherPause {
		return pause > otherPause
	}
	return h.rate(now) < other.rate(now)
}

// pause returns for how long a body has not gone on, or 0 if that is less than stallGrace.
func (h *Hold) pause(now time.Time) time.Duration {
	if pause := now.Sub(h.started) - time.Duration(h.lastProgress.Load()); pause >= stallGrace {
		return pause
	}
	return 0
}

// rate returns the mean rate at which a body has arrived, in bytes a second. The first moments count as a whole grace period, in which no
// rate is known.
func (h *Hold) rate(now time.Time) float64 {
	return float64(h.received.Load()) / (now.Sub(h.started) + stallGrace).Seconds()
}

// arrived records that n bytes of the body have arrived.
func (h *Hold) arrived(n int) {
	if n > 0 && h.budget.limit > 0 && !h.started.IsZero() {
		h.received.Add(int64(n))
		h.lastProgress.Store(int64(h.budget.now().Sub(h.started)))
	}
}

// Finish records that the body is complete: it is not given up any more. The error is the reason why it was given up before.
func (h *Hold) Finish() error {
	b := h.budget
	if b.limit <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.cause == nil && h.unfinished {
		h.unfinished = false
		h.bytes -= h.requestBytes
		b.counts.Held -= h.requestBytes
		b.counts.Pinned += h.bytes
		delete(b.unfinished, h)
	}
	return h.cause
}

// Cause returns why the hold was given up, or nil.
func (h *Hold) Cause() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.cause
}

// shrink returns n reserved bytes.
func (h *Hold) shrink(n int64) {
	b := h.budget
	if b.limit <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	b.counts.Held -= n
	if !h.unfinished {
		b.counts.Pinned -= n
	}
}

// Release returns all that is held.
func (h *Hold) Release() {
	if h.budget.limit <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.drop(h)
}
