package place

import (
	"slices"
	"time"
)

const (
	// demandStep is the length of one span of demand figures.
	demandStep = 500 * time.Millisecond
	// demandSteps is the number of spans that are kept: the last 10 s, which hold a whole wave of traffic, and the present one.
	demandSteps = 21
	// recentSteps is the number of spans whose mean is the present demand: 2 s, as the prompts that arrive in one span vary by a fifth.
	recentSteps = 4
	// peakSteps is the number of spans whose mean counts as a peak.
	peakSteps = 2
	// warmUpSteps is the number of spans at the start of traffic that are left out of the peak and the usual demand, as caches are empty
	// then, and a new leader hears of all requests in progress at once.
	warmUpSteps = 6
	// usualSpan is the time over which the usual demand is averaged. It is longer than a burst, which must not become usual at once.
	usualSpan = 20 * time.Second
	// batchDivisor is the part of an engine's slots that streams may fill, one in batchDivisor, while it also prefills prompts and the
	// pauses of streams stay short.
	batchDivisor = 2
	// minAnswers is the number of first answers below which late ones are counted as a part of this number.
	minAnswers = 20
	// maxDemandKinds bounds the kinds of requests told apart for one service; further ones count as the last.
	maxDemandKinds = 16
	// trafficEndsAfter is the time without requests after which demand counts as unknown.
	trafficEndsAfter = 3 * time.Second
)

type (
	// Demand is the demand for the endpoints of a service. Numbers of endpoints are of endpoints that are busy all the time.
	Demand struct {
		// Busy is the mean of the last 2 s, Peak the highest of any second of the last 10 s, Usual a long mean.
		Busy  float64
		Peak  float64
		Usual float64
		// Trend is the change of Busy in a second.
		Trend float64
		// LargestKind is the usual demand of the kind of requests that has most.
		LargestKind float64
		// Running is the number of requests in progress, Slots that of requests which one endpoint runs at once.
		Running int
		Slots   int
		// LateShare is the part of the first answers of the last 2 s that came after the latency objective.
		LateShare float64
		// Known is how long there has been traffic, or 0 if there is none at present.
		Known time.Duration
	}

	// demandKind identifies requests that come and go together, as those of one route do.
	demandKind struct {
		priority int
		target   time.Duration
	}

	// demandSpan holds the figures of one span.
	demandSpan struct {
		// prefill is the time that prompts need, in seconds, and streams the sum over time of the streams in progress, by kind.
		prefill, streams [maxDemandKinds]float64
		answers, late    int
	}

	// demandMeter measures the demand for the endpoints of a service.
	demandMeter struct {
		spans [demandSteps]demandSpan
		// step numbers the present span.
		step  int64
		kinds []demandKind
		usual [maxDemandKinds]float64
		// since is when traffic began, lastRequest when the last request came.
		since, lastRequest time.Time
		sampledAt          time.Time
		running            int
		slots, batch       int
	}
)

func (b *Balancer) meterOf(service string) *demandMeter {
	m := b.meters[service]
	if m == nil {
		m = &demandMeter{}
		b.meters[service] = m
	}
	return m
}

// span returns the figures of the present span, after it has added those that have ended to the usual demand.
func (m *demandMeter) span(now time.Time) *demandSpan {
	step := now.UnixNano() / int64(demandStep)
	if step-m.step > demandSteps {
		// What is older than all spans is forgotten; the first call has none.
		m.spans = [demandSteps]demandSpan{}
		m.step = step
	}
	for ; m.step < step; m.step++ {
		if !m.since.IsZero() {
			m.addUsual(now, &m.spans[m.step%demandSteps])
		}
		m.spans[(m.step+1)%demandSteps] = demandSpan{}
	}
	return &m.spans[m.step%demandSteps]
}

// addUsual adds a span to the usual demand, a plain mean at first and a moving one later.
func (m *demandMeter) addUsual(now time.Time, s *demandSpan) {
	spans := min(now.Sub(m.since), usualSpan)/demandStep - warmUpSteps
	if spans < 1 {
		return
	}
	for kind := range s.prefill {
		m.usual[kind] += (m.busyOf(s, kind) - m.usual[kind]) / float64(spans)
	}
}

// busyOf returns how many endpoints one kind of requests kept busy in a span.
func (m *demandMeter) busyOf(s *demandSpan, kind int) float64 {
	return (s.prefill[kind] + s.streams[kind]/float64(max(1, m.batch))) / demandStep.Seconds()
}

func (m *demandMeter) busy(s *demandSpan) (sum float64) {
	for kind := range m.kinds {
		sum += m.busyOf(s, kind)
	}
	return sum
}

func (m *demandMeter) kindOf(req *Request) int {
	kind := demandKind{req.Priority, req.LatencyTarget}
	if i := slices.Index(m.kinds, kind); i >= 0 {
		return i
	}
	if len(m.kinds) < maxDemandKinds {
		m.kinds = append(m.kinds, kind)
	}
	return len(m.kinds) - 1
}

// addRequest adds the time that an endpoint needs for the prompt of a request.
func (m *demandMeter) addRequest(now time.Time, req *Request, prefill time.Duration) {
	s := m.span(now)
	if m.since.IsZero() || now.Sub(m.lastRequest) > usualSpan {
		m.since = now
	}
	m.lastRequest = now
	s.prefill[m.kindOf(req)] += prefill.Seconds()
}

// promptTime returns the time that the endpoint needs to prefill a number of tokens; a plain service has none.
func (ep *endpoint) promptTime(tokens int) time.Duration {
	if !ep.isEngine {
		return 0
	}
	return ep.latency.prefillTime(tokens)
}

// addFirstAnswer counts whether a first answer came in time.
func (m *demandMeter) addFirstAnswer(now time.Time, req *Request, latency time.Duration) {
	if req.LatencyTarget <= 0 {
		return
	}
	s := m.span(now)
	if s.answers++; latency > req.LatencyTarget {
		s.late++
	}
}

// sampleDemand adds the streams that endpoints generate to the demand. A plain service counts all of its requests and its slots, as it has
// no prompts to prefill.
func (b *Balancer) sampleDemand(now time.Time) {
	for service, m := range b.meters {
		s, elapsed := m.span(now), min(now.Sub(m.sampledAt), demandStep).Seconds()
		m.running, m.sampledAt = 0, now
		for _, ep := range b.byService[service] {
			m.running += len(ep.attempts)
			m.slots, m.batch = ep.slots, ep.slots
			if ep.isEngine {
				m.batch = ep.slots / batchDivisor
			}
			for _, a := range ep.attempts {
				if a.answered || !ep.isEngine {
					s.streams[m.kindOf(&a.req)] += elapsed
				}
			}
		}
	}
}

// Demand returns the demand for the endpoints of a service.
func (b *Balancer) Demand(now time.Time, service string) Demand {
	m := b.meters[service]
	if m == nil || m.since.IsZero() {
		return Demand{}
	}
	m.span(now)
	d := Demand{Running: m.running, Slots: m.slots}
	if now.Sub(m.lastRequest) <= trafficEndsAfter {
		d.Known = now.Sub(m.since)
	}
	for kind := range m.kinds {
		d.Usual += m.usual[kind]
		d.LargestKind = max(d.LargestKind, m.usual[kind])
	}
	known := min(int64(now.Sub(m.since)/demandStep), demandSteps-1)
	d.Busy = m.mean(1, min(known, recentSteps))
	if known >= 2*recentSteps {
		d.Trend = (d.Busy - m.mean(1+recentSteps, recentSteps)) / (recentSteps * demandStep).Seconds()
	}
	for first := int64(1); first+peakSteps-1 <= known; first++ {
		// Spans are counted back from the present one; the oldest ones are those of the warm-up while there has been little traffic.
		if int64(now.Sub(m.since)/demandStep)-first-peakSteps+1 >= warmUpSteps {
			d.Peak = max(d.Peak, m.mean(first, peakSteps))
		}
	}
	d.Peak = max(d.Peak, d.Busy)
	answers, late := 0, 0
	for back := int64(1); back <= recentSteps; back++ {
		s := m.back(back)
		answers, late = answers+s.answers, late+s.late
	}
	d.LateShare = float64(late) / float64(max(minAnswers, answers))
	return d
}

// back returns the span that ended a number of spans ago, 1 for the last one.
func (m *demandMeter) back(spans int64) *demandSpan {
	return &m.spans[((m.step-spans)%demandSteps+demandSteps)%demandSteps]
}

// mean returns the mean demand of a number of spans that ended first spans ago or earlier.
func (m *demandMeter) mean(first, spans int64) float64 {
	if spans < 1 {
		return 0
	}
	sum := 0.0
	for back := first; back < first+spans; back++ {
		sum += m.busy(m.back(back))
	}
	return sum / float64(spans)
}
