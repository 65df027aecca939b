package sched

import (
	"math"
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

const (
	// keptOutputs is the number of output lengths from which a class's next one is estimated.
	keptOutputs = 64
	// outputQuantile is the part of past outputs that an estimate covers.
	outputQuantile = 0.75
	// firstEstimate is the expected output of a class that has none yet, in tokens.
	firstEstimate = 64
	minWeight     = 0.01
)

type (
	flowKey struct {
		customer string
		class    string
	}

	// item is one queued ask.
	item struct {
		ask      Ask
		need     route.Request
		flow     *flow
		arrived  time.Time
		deadline time.Time
		seen     time.Time
		reserved int64
		funded   bool
		capped   bool
	}

	// flow is the queue of one class of one customer, with what its contract leaves it.
	flow struct {
		key     flowKey
		terms   Terms
		queue   []*item
		running int
		credit  float64
		credAt  time.Time
		served  time.Time
		reqs    quota.Bucket
		toks    quota.Bucket
		outputs []int
		next    int
		guess   int
		grants  int
		shed    int
	}
)

func newFlow(now time.Time, key flowKey, t Terms) *flow {
	return &flow{
		key: key, terms: t, credAt: now, credit: 1, guess: firstEstimate,
		reqs: quota.NewBucket(t.Rate, t.Burst, now), toks: quota.NewBucket(t.Tokens, 0, now),
	}
}

// tune takes on changed terms.
func (f *flow) tune(now time.Time, t Terms) {
	if f.terms == t {
		return
	}
	f.terms = t
	f.reqs.SetRate(t.Rate, t.Burst, now)
	f.toks.SetRate(t.Tokens, 0, now)
}

// accrue adds the credit for guaranteed grants, at the given number of the cell's grants a second.
func (f *flow) accrue(now time.Time, perSecond, slots float64) {
	d := now.Sub(f.credAt).Seconds()
	f.credAt = now
	if f.terms.Share == 0 {
		return
	}
	f.credit = min(f.credit+d*f.terms.Share*perSecond, max(1, f.terms.Share*slots))
}

func (f *flow) weight() float64 {
	return max(f.terms.Share, minWeight)
}

// add queues an item by its deadline.
func (f *flow) add(it *item) {
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].deadline.After(it.deadline) })
	f.queue = append(f.queue, nil)
	copy(f.queue[i+1:], f.queue[i:])
	f.queue[i] = it
}

func (f *flow) remove(it *item) {
	for i, q := range f.queue {
		if q == it {
			copy(f.queue[i:], f.queue[i+1:])
			f.queue[len(f.queue)-1] = nil
			f.queue = f.queue[:len(f.queue)-1]
			return
		}
	}
}

// protected is the number of queued items that the class's guarantee keeps from being shed for others.
func (f *flow) protected(slots float64) int {
	return max(1, int(f.terms.Share*slots))
}

// learn takes in an actual output length.
func (f *flow) learn(tokens int) {
	if len(f.outputs) < keptOutputs {
		f.outputs = append(f.outputs, tokens)
	} else {
		f.outputs[f.next] = tokens
		f.next = (f.next + 1) % keptOutputs
	}
	sorted := append([]int(nil), f.outputs...)
	sort.Ints(sorted)
	f.guess = sorted[int(math.Ceil(outputQuantile*float64(len(sorted))))-1]
}

// atLimit reports whether the class runs as many requests as its contract allows.
func (f *flow) atLimit() bool {
	return f.terms.Running > 0 && f.running >= f.terms.Running
}
