package route

import (
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.2
	// minSamples is the number of samples required before an endpoint is adapted or compared.
	minSamples = 3
	// stragglerFactor is the multiple of the median token interval above which an endpoint is a straggler.
	stragglerFactor = 2.0
	// recoveredFactor is the multiple of the median token interval up to which a straggler has recovered.
	recoveredFactor = 1.5
	// minComparedEndpoints is the minimum number of endpoints for a comparison.
	minComparedEndpoints = 3
	// adaptInterval is the minimum time between two changes of an endpoint's limit.
	adaptInterval = time.Second
	// minLimitDivisor bounds the adapted limit to at least one in minLimitDivisor of the endpoint's slots.
	minLimitDivisor = 4
	// limitDecrease is the factor applied to the limit if the token interval is above its target.
	limitDecrease = 0.9
	// increaseBelow is the fraction of the token interval target below which the limit is increased.
	increaseBelow = 0.8
	// leavingHold is the time for which an endpoint is considered leaving after it announced so. An older announcement may
	// arrive late through a delayed instance or scheduler.
	leavingHold = 5 * time.Second
	// probeInterval is the minimum time between two probe requests to a straggler.
	probeInterval = 2 * time.Second
)

// Endpoint is a scheduler's state of one endpoint.
type Endpoint struct {
	// Info is the latest announcement, received at LastSeen.
	Info     endpt.Announcement
	LastSeen time.Time
	// Running is the number of granted requests in progress.
	Running int
	// Down is set if a request failed since the latest announcement.
	Down bool
	// Exclusive is set while a request runs that must not share the endpoint with others.
	Exclusive bool
	// Reserved is set while the endpoint is drained for a request that will run on it exclusively.
	Reserved bool
	// Slow is set for a straggler.
	Slow bool
	// Limit is the adapted maximum number of concurrent requests.
	Limit float64
	// TokenInterval is the moving average of the time between tokens, and FirstTokenTime that of the time to the first token.
	TokenInterval  time.Duration
	FirstTokenTime time.Duration
	// Granted is the number of requests granted so far.
	Granted int
	// sharedByOthers is set if other schedulers send requests to the endpoint too.
	sharedByOthers bool
	samples        int
	adaptedAt      time.Time
	probedAt       time.Time
	leavingAt      time.Time
}

// NewEndpoint returns the state of a newly announced endpoint; shared is set if other schedulers use it too.
func NewEndpoint(now time.Time, ann endpt.Announcement, shared bool) *Endpoint {
	return &Endpoint{Info: ann, LastSeen: now, Limit: float64(ann.Slots), sharedByOthers: shared, leavingAt: now}
}

// Update applies a newer announcement of the same process start of the endpoint.
func (e *Endpoint) Update(now time.Time, ann endpt.Announcement) {
	if ann.Slots != e.Info.Slots {
		e.Limit = float64(ann.Slots)
	}
	if e.Info.Leaving && !ann.Leaving && now.Sub(e.leavingAt) < leavingHold {
		ann.Leaving = true
	} else if ann.Leaving {
		e.leavingAt = now
	}
	e.Info, e.LastSeen, e.Down = ann, now, false
}

// Live reports whether the endpoint accepts new requests: it was announced recently, is not leaving, and has not failed since.
func (e *Endpoint) Live(now time.Time) bool {
	return !e.Down && !e.Info.Leaving && now.Sub(e.LastSeen) < endpt.StaleAfter
}

// FreeSlots returns the number of requests that the endpoint can accept now. A straggler gets one probe request at a time.
func (e *Endpoint) FreeSlots(now time.Time) int {
	if !e.Live(now) || e.Exclusive || e.Reserved {
		return 0
	}
	if e.Slow {
		if e.Running == 0 && now.Sub(e.probedAt) >= probeInterval {
			return 1
		}
		return 0
	}
	return max(int(e.Limit)-e.inUse(), 0)
}

// inUse returns the number of requests at the endpoint: the granted ones, or the reported number if the endpoint is shared with
// others and reports more.
func (e *Endpoint) inUse() int {
	if e.sharedByOthers {
		return max(e.Running, e.Info.Load.Running+e.Info.Load.Waiting)
	}
	return e.Running
}

// Start records a granted request.
func (e *Endpoint) Start(now time.Time) {
	e.Running++
	e.Granted++
	if e.Slow {
		e.probedAt = now
	}
}

// End records the end of a granted request.
func (e *Endpoint) End() {
	e.Running = max(e.Running-1, 0)
	if e.Running == 0 {
		e.Exclusive = false
	}
}

// Observe adds a sample: the mean time between the tokens of a request and, unless 0, the time to its first token.
func (e *Endpoint) Observe(tokenInterval, firstTokenTime time.Duration) {
	if tokenInterval <= 0 {
		return
	}
	if e.samples == 0 {
		e.TokenInterval, e.FirstTokenTime = tokenInterval, firstTokenTime
	}
	e.samples++
	e.TokenInterval = movingAverage(e.TokenInterval, tokenInterval)
	if firstTokenTime > 0 {
		e.FirstTokenTime = movingAverage(e.FirstTokenTime, firstTokenTime)
	}
}

func movingAverage(previous, sample time.Duration) time.Duration {
	return previous + time.Duration(sampleWeight*float64(sample-previous))
}

// Adapt moves the limit towards the concurrency that meets the target, by additive increase and multiplicative decrease.
func (e *Endpoint) Adapt(now time.Time, tokenIntervalTarget time.Duration) {
	if e.samples < minSamples || now.Sub(e.adaptedAt) < adaptInterval {
		return
	}
	e.adaptedAt = now
	slots := float64(e.Info.Slots)
	switch {
	case e.TokenInterval > tokenIntervalTarget:
		e.Limit = max(e.Limit*limitDecrease, slots/minLimitDivisor, 1)
	case float64(e.TokenInterval) < increaseBelow*float64(tokenIntervalTarget):
		e.Limit = min(e.Limit+1, slots)
	}
}

// MarkStragglers sets Slow on the endpoints whose token interval is far above the median, and clears it on recovered ones. It does
// nothing if fewer than minCohort endpoints have enough samples.
func MarkStragglers(eps []*Endpoint) {
	intervals := make([]time.Duration, 0, len(eps))
	for _, e := range eps {
		if e.samples >= minSamples {
			intervals = append(intervals, e.TokenInterval)
		}
	}
	if len(intervals) < minComparedEndpoints {
		return
	}
	sort.Slice(intervals, func(i, j int) bool { return intervals[i] < intervals[j] })
	median := float64(intervals[(len(intervals)-1)/2])
	for _, e := range eps {
		if e.samples < minSamples {
			continue
		}
		if e.Slow {
			e.Slow = float64(e.TokenInterval) > recoveredFactor*median
			continue
		}
		e.Slow = float64(e.TokenInterval) > stragglerFactor*median
	}
}
