package sched

import (
	"math"
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

const (
	// outputSamples is the number of recent output lengths from which the next one of a class is estimated.
	outputSamples = 64
	// outputQuantile is the quantile of the recent output lengths that is used as the estimate.
	outputQuantile = 0.75
	// initialOutputEstimate is the estimate for a class without a completed run, in tokens.
	initialOutputEstimate = 64
	// minWeight is the weight of a class without a guaranteed share when spare capacity is divided.
	minWeight = 0.01
)

type (
	flowKey struct {
		customer string
		class    string
	}

	// queueItem is one queued request.
	queueItem struct {
		req          Request
		routeRequest route.Request
		flow         *flow
		// arrivedAt is when the request reached its entry, before any earlier attempt.
		arrivedAt time.Time
		deadline  time.Time
		// lastSeen is when the entry last asked for the request.
		lastSeen time.Time
		// reservedCost is the part of the spending ceiling reserved for the request, in micro-euros.
		reservedCost int64
		// costReserved is set if the cost is reserved or needs no reservation.
		costReserved bool
		// atRunningLimit is set if the class ran its maximum of requests when the item was last considered.
		atRunningLimit bool
	}

	// flow is the queue of one class of one customer, with the state of its limits and its share.
	flow struct {
		key     flowKey
		terms   Terms
		queue   []*queueItem
		running int
		// credit is the number of grants due to the class under its guaranteed share, as of creditAt.
		credit        float64
		creditAt      time.Time
		lastServed    time.Time
		requestBucket quota.Bucket
		tokenBucket   quota.Bucket
		// recentOutputs is a ring buffer of output lengths in tokens; nextOutput is the index to overwrite next.
		recentOutputs []int
		nextOutput    int
		// estimatedOutput is the expected output length of a request, in tokens.
		estimatedOutput int
		// grants and shed count the granted requests and those refused after they were queued.
		grants int
		shed   int
	}
)

func newFlow(now time.Time, key flowKey, terms Terms) *flow {
	return &flow{
		key: key, terms: terms, creditAt: now, credit: 1, estimatedOutput: initialOutputEstimate,
		requestBucket: quota.NewBucket(terms.RequestRate, terms.RequestBurst, now), tokenBucket: quota.NewBucket(terms.TokenRate, 0, now),
	}
}

// setTerms applies changed contract terms and keeps the levels of the rate limits.
func (f *flow) setTerms(now time.Time, terms Terms) {
	if f.terms == terms {
		return
	}
	f.terms = terms
	f.requestBucket.SetRate(terms.RequestRate, terms.RequestBurst, now)
	f.tokenBucket.SetRate(terms.TokenRate, 0, now)
}

// accrueCredit adds the credit earned by the guaranteed share since the last call. The cell makes grantRate grants per
// second on the given number of slots; the credit is capped at the class's share of the slots, but at least 1.
func (f *flow) accrueCredit(now time.Time, grantRate, slots float64) {
	elapsed := now.Sub(f.creditAt).Seconds()
	f.creditAt = now
	if f.terms.Share == 0 {
		return
	}
	f.credit = min(f.credit+elapsed*f.terms.Share*grantRate, max(1, f.terms.Share*slots))
}

// weight is the weight of the class when spare capacity is divided within a tier.
func (f *flow) weight() float64 {
	return max(f.terms.Share, minWeight)
}

// insert adds an item to the queue, which is ordered by deadline.
func (f *flow) insert(it *queueItem) {
	i := sort.Search(len(f.queue), func(i int) bool { return f.queue[i].deadline.After(it.deadline) })
	f.queue = append(f.queue, nil)
	copy(f.queue[i+1:], f.queue[i:])
	f.queue[i] = it
}

func (f *flow) remove(it *queueItem) {
	for i, q := range f.queue {
		if q == it {
			copy(f.queue[i:], f.queue[i+1:])
			f.queue[len(f.queue)-1] = nil
			f.queue = f.queue[:len(f.queue)-1]
			return
		}
	}
}

// protectedItems is the number of queued items that the guaranteed share protects from being shed for other classes.
func (f *flow) protectedItems(slots float64) int {
	return max(1, int(f.terms.Share*slots))
}

// recordOutput records the output length of a completed run and updates the estimate.
func (f *flow) recordOutput(tokens int) {
	if len(f.recentOutputs) < outputSamples {
		f.recentOutputs = append(f.recentOutputs, tokens)
	} else {
		f.recentOutputs[f.nextOutput] = tokens
		f.nextOutput = (f.nextOutput + 1) % outputSamples
	}
	sorted := append([]int(nil), f.recentOutputs...)
	sort.Ints(sorted)
	f.estimatedOutput = sorted[int(math.Ceil(outputQuantile*float64(len(sorted))))-1]
}

// atRunningLimit reports whether the class runs the maximum number of concurrent requests of its contract.
func (f *flow) atRunningLimit() bool {
	return f.terms.MaxRunning > 0 && f.running >= f.terms.MaxRunning
}
