package place

import (
	"net/netip"
	"time"
)

const (
	// attemptGrace is the time after the caller's deadline at which an attempt without a reported end is removed.
	attemptGrace = 2 * time.Second
	// lateFactor is the multiple of the expected latency after which an unanswered attempt counts as a failure of its endpoint.
	lateFactor = 4
	// minLateAfter is the minimum time after which an attempt counts as late.
	minLateAfter = 700 * time.Millisecond
)

// attempt is one attempt to run a request, at one endpoint.
type attempt struct {
	req           Request
	prefillTokens int
	fetchTokens   int
	// fetchFrom is the engine that holds the tokens to fetch.
	fetchFrom       netip.AddrPort
	startedAt       time.Time
	expectedLatency time.Duration
	// steady is set for a steady stream, see prefillDemand.
	steady bool
	// engineWasIdle is set if the engine had no other prompt to prefill at the start, so that the answer is a valid sample for
	// the latency model.
	engineWasIdle bool
	answered      bool
	// reported is set if the entry instance reported the start, as it chose the endpoint or an earlier leader did.
	reported bool
	// late is set once the attempt was counted as a failure for being late.
	late bool
}

// addAttempt records an attempt at an endpoint.
func (b *Balancer) addAttempt(now time.Time, ep *endpoint, req Request, loc promptLocation) *attempt {
	prefill, fetch, source := ep.prefillWork(&req, loc)
	a := &attempt{
		req: req, prefillTokens: prefill, fetchTokens: fetch, startedAt: now, expectedLatency: ep.expectedLatency(now, prefill, fetch),
		engineWasIdle: ep.prefilling == nil,
	}
	if source != nil {
		a.fetchFrom = source.info.Addr
	}
	ep.attempts[req.AttemptID] = a
	if ep.limit != nil {
		ep.limit.limiter.take(now)
	}
	if ep.brittle != nil && ep.brittle.limiter.period > 0 {
		ep.brittle.limiter.take(now)
	}
	ep.pendingPrefillTokens += prefill
	b.countOwn(req.Service, ep.latency.prefillTime(prefill))
	b.byAttempt[req.AttemptID] = ep
	if ep.promptCache != nil {
		ep.promptCache.touch(req.Parts)
	}
	b.meterOf(req.Service).addRequest(now, &req, ep.promptTime(prefill))
	if ep.isEngine {
		demand := b.demandOf(req.Service)
		a.steady = demand.isSteady(&req, ep.latency.prefillTime(prefill), ep.tokensPerEvent)
		if demand.add(now, ep.latency.prefillTime(prefill), a.steady); a.steady {
			demand.steadyRunning++
		}
		if ep.prefilling == nil {
			ep.prefilling, ep.prefillSince = a, now
		}
	}
	return a
}

// startNextPrefill assumes that the engine started to prefill its next prompt at the given time.
func (ep *endpoint) startNextPrefill(at time.Time) {
	ep.prefilling, ep.prefillSince = nil, at
	for _, a := range ep.attempts {
		if !a.answered && (ep.prefilling == nil || a.prefillsBefore(ep.prefilling)) {
			ep.prefilling = a
		}
	}
}

// prefillsBefore reports whether an engine prefills this attempt's prompt before that of another attempt.
func (a *attempt) prefillsBefore(other *attempt) bool {
	if !a.startedAt.Equal(other.startedAt) {
		return a.startedAt.Before(other.startedAt)
	}
	return a.req.AttemptID < other.req.AttemptID
}

// Apply applies an event: the limit, the brittleness or the speed of an endpoint, or of an attempt its start at an endpoint chosen
// elsewhere, its first answer or its end.
func (b *Balancer) Apply(now time.Time, e Event) {
	if e.Limit != nil {
		b.RecordLimit(now, *e.Limit)
		return
	}
	if e.Brittle != nil {
		b.RecordBrittle(now, *e.Brittle)
		return
	}
	if e.Speed != nil {
		b.RecordSpeed(now, *e.Speed)
		return
	}
	if e.Start != nil {
		b.Cancel(e.AttemptID)
		if ep := b.endpoints[e.EndpointID]; ep != nil {
			b.addAttempt(now, ep, *e.Start, b.locatePrompt(now, e.Start)).reported = true
		}
	}
	ep := b.byAttempt[e.AttemptID]
	if ep == nil {
		return
	}
	a := ep.attempts[e.AttemptID]
	if e.FirstAnswer > 0 {
		if !a.answered {
			b.meterOf(ep.info.Service).addFirstAnswer(now, &a.req, e.FirstAnswer)
		}
		b.recordFirstAnswer(now, ep, a, e.FirstAnswer)
	}
	if e.LongestPause > 0 && a.req.GapTarget > 0 && ep.isEngine {
		b.demandOf(ep.info.Service).addPause(now, e.LongestPause > a.req.GapTarget)
	}
	if e.Outcome != 0 {
		b.endAttempt(now, ep, a, e.Outcome)
	}
}

// Cancel removes an attempt without counting an outcome.
func (b *Balancer) Cancel(attemptID string) {
	ep := b.byAttempt[attemptID]
	if ep == nil {
		return
	}
	a := ep.attempts[attemptID]
	delete(ep.attempts, attemptID)
	delete(b.byAttempt, attemptID)
	if a.steady {
		b.demandOf(ep.info.Service).steadyRunning--
	}
	if !a.answered {
		ep.pendingPrefillTokens -= a.prefillTokens
	}
	if a == ep.prefilling {
		ep.startNextPrefill(ep.prefillSince)
	}
}

// recordFirstAnswer updates the backlog, the latency model, the speed and the slow factor at the first answer of an attempt.
func (b *Balancer) recordFirstAnswer(now time.Time, ep *endpoint, a *attempt, latency time.Duration) {
	if a.answered {
		return
	}
	a.answered = true
	ep.lostAt = time.Time{}
	ep.forgiveSilence(now)
	ep.pendingPrefillTokens -= a.prefillTokens
	if ep.isEngine {
		// The first answer follows the end of the prefill by the base delay.
		b.addSpeedSample(now, ep, a, latency, ep.prefilling == a)
		ep.startNextPrefill(now.Add(-ep.speed.scaled(ep.latency.baseDelay)))
		if a.engineWasIdle {
			ep.latency.observe(a.prefillTokens, ep.speed.nominal(latency))
		}
	}
	if a.expectedLatency > 0 {
		ep.slowness.add(now, a.startedAt, ep.latency.relativeLatency(latency, a.expectedLatency))
	}
}

// endAttempt removes an attempt and adds its outcome to the endpoint's failure count. Outcomes that make it more likely that
// the endpoint is down weigh more.
func (b *Balancer) endAttempt(now time.Time, ep *endpoint, a *attempt, outcome Outcome) {
	b.recordBrittleEnd(now, ep, a, outcome)
	b.recordBegun(now, ep, a, outcome)
	b.Cancel(a.req.AttemptID)
	switch outcome {
	case Completed:
		b.recordServiceTime(ep.info.Service, now.Sub(a.startedAt))
	case ConnectFailed, WrongEndpoint:
		ep.addFailures(now, 4)
		ep.lostAt = now
	case ConnectionLost:
		ep.addFailures(now, 2)
		ep.lostAt = now
	case TimedOut:
		ep.addFailures(now, 2)
	case Failed:
		ep.addFailures(now, 0.5)
	case Declined:
		ep.addFailures(now, 1)
	}
}

// Tick removes attempts whose end was never reported, and counts a failure for each attempt whose first answer is overdue.
func (b *Balancer) Tick(now time.Time) {
	b.pruneBegun(now)
	b.sampleDemand(now)
	b.fadeSpeeds(now)
	for _, ep := range b.endpoints {
		for _, a := range ep.attempts {
			age := now.Sub(a.startedAt)
			if age > a.req.TimeLeft+attemptGrace {
				b.endAttempt(now, ep, a, CallerLeft)
				continue
			}
			if !a.answered && !a.late && age > max(minLateAfter, lateFactor*a.expectedLatency) {
				a.late = true
				ep.addLate(now)
			}
		}
	}
}

// HasAttempt reports whether an attempt is in progress.
func (b *Balancer) HasAttempt(attemptID string) bool {
	return b.byAttempt[attemptID] != nil
}

// EndEntry ends the attempts of an entry instance that has restarted.
func (b *Balancer) EndEntry(now time.Time, entry string) {
	for _, ep := range b.endpoints {
		for _, a := range ep.attempts {
			if a.req.Entry == entry {
				b.endAttempt(now, ep, a, CallerLeft)
			}
		}
	}
}
