package route

import (
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// smoothing is the weight of a new observation in a running mean.
	smoothing = 0.2
	// minSamples is the number of observations before an endpoint is judged.
	minSamples = 3
	// slowFactor is how many times its cohort's median gap makes an endpoint a straggler.
	slowFactor = 2.0
	// healthyFactor is how many times the median lets a straggler back in.
	healthyFactor = 1.5
	// minCohort is the least number of endpoints that can be compared.
	minCohort = 3
	// adaptEvery is the time between two changes of an endpoint's limit.
	adaptEvery = time.Second
	// floorPart is the part of its slots below which an endpoint's limit does not adapt.
	floorPart = 4
	shrink    = 0.9
	roomy     = 0.8
	// stayLeaving is how long an endpoint that announced that it leaves is held to it: an announcement from before may
	// come late, through an instance or a scheduler that was held up.
	stayLeaving = 5 * time.Second
	// probeEvery is the time between two probing requests to a straggler.
	probeEvery = 2 * time.Second
)

// Endpoint is what a scheduler knows of one endpoint.
type Endpoint struct {
	Ann      endpt.Announce
	Seen     time.Time
	Running  int
	Down     bool
	Solo     bool
	Reserved bool
	Slow     bool
	Limit    float64
	Gap      time.Duration
	First    time.Duration
	Granted  int
	shared   bool
	samples  int
	adapted  time.Time
	probed   time.Time
	left     time.Time
}

// NewEndpoint returns an endpoint that was just announced; shared tells that others send it requests too.
func NewEndpoint(now time.Time, a endpt.Announce, shared bool) *Endpoint {
	return &Endpoint{Ann: a, Seen: now, Limit: float64(a.Slots), shared: shared, left: now}
}

// Update takes in a newer announcement of the same boot.
func (e *Endpoint) Update(now time.Time, a endpt.Announce) {
	if a.Slots != e.Ann.Slots {
		e.Limit = float64(a.Slots)
	}
	if e.Ann.Leaving && !a.Leaving && now.Sub(e.left) < stayLeaving {
		a.Leaving = true
	} else if a.Leaving {
		e.left = now
	}
	e.Ann, e.Seen, e.Down = a, now, false
}

// Live reports whether the endpoint may get new work: announced of late, not leaving, not found broken since.
func (e *Endpoint) Live(now time.Time) bool {
	return !e.Down && !e.Ann.Leaving && now.Sub(e.Seen) < endpt.Stale
}

// Free returns the number of requests that the endpoint may get now.
func (e *Endpoint) Free(now time.Time) int {
	if !e.Live(now) || e.Solo || e.Reserved {
		return 0
	}
	if e.Slow {
		if e.Running == 0 && now.Sub(e.probed) >= probeEvery {
			return 1
		}
		return 0
	}
	return max(int(e.Limit)-e.busy(), 0)
}

// busy is the own in-flight count, or what the endpoint reports where others use it too and that is more.
func (e *Endpoint) busy() int {
	if e.shared {
		return max(e.Running, e.Ann.Load.Running+e.Ann.Load.Waiting)
	}
	return e.Running
}

// Start notes a grant.
func (e *Endpoint) Start(now time.Time) {
	e.Running++
	e.Granted++
	if e.Slow {
		e.probed = now
	}
}

// End notes the end of a granted request.
func (e *Endpoint) End() {
	e.Running = max(e.Running-1, 0)
	if e.Running == 0 {
		e.Solo = false
	}
}

// Observe takes in a mean time between tokens and, where known, a time to the first token.
func (e *Endpoint) Observe(gap, first time.Duration) {
	if gap <= 0 {
		return
	}
	if e.samples == 0 {
		e.Gap, e.First = gap, first
	}
	e.samples++
	e.Gap = mean(e.Gap, gap)
	if first > 0 {
		e.First = mean(e.First, first)
	}
}

func mean(old, new time.Duration) time.Duration {
	return old + time.Duration(smoothing*float64(new-old))
}

// Adapt moves the limit towards the concurrency at which the target gap is kept.
func (e *Endpoint) Adapt(now time.Time, target time.Duration) {
	if e.samples < minSamples || now.Sub(e.adapted) < adaptEvery {
		return
	}
	e.adapted = now
	slots := float64(e.Ann.Slots)
	switch {
	case e.Gap > target:
		e.Limit = max(e.Limit*shrink, slots/floorPart, 1)
	case float64(e.Gap) < roomy*float64(target):
		e.Limit = min(e.Limit+1, slots)
	}
}

// Judge marks the stragglers of a cohort and lets the recovered ones back in.
func Judge(eps []*Endpoint) {
	gaps := make([]time.Duration, 0, len(eps))
	for _, e := range eps {
		if e.samples >= minSamples {
			gaps = append(gaps, e.Gap)
		}
	}
	if len(gaps) < minCohort {
		return
	}
	sort.Slice(gaps, func(i, j int) bool { return gaps[i] < gaps[j] })
	median := float64(gaps[(len(gaps)-1)/2])
	for _, e := range eps {
		if e.samples < minSamples {
			continue
		}
		if e.Slow {
			e.Slow = float64(e.Gap) > healthyFactor*median
			continue
		}
		e.Slow = float64(e.Gap) > slowFactor*median
	}
}
