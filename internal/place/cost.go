package place

import (
	"time"
)

const (
	// othersCostFactor is the cost of prefilling a token, and fetchCostFactor that of fetching it from another engine, to other
	// requests and to the operator. Both are multiples of the prefill time of the token and are added to the request's own latency.
	othersCostFactor = 9
	fetchCostFactor  = 5.0
	// fetchTimePerToken is the time to fetch the cache of one token from another engine; fewer than minFetchTokens tokens are
	// prefilled instead.
	fetchTimePerToken = 2 * time.Microsecond
	minFetchTokens    = 64
	// defaultCallLatency is the expected latency of a call to a service without model engines. The measured slow factor of an
	// endpoint scales it.
	defaultCallLatency = 50 * time.Millisecond
	// latencyPerRunning is the latency that each running request on an engine adds to a new one.
	latencyPerRunning = time.Millisecond
	// crossZonePenalty is the cost of choosing an endpoint in another availability zone: the round trip and the price of the
	// traffic.
	crossZonePenalty = 15 * time.Millisecond
	// crossZonePerByte is the cost of one byte of traffic between zones, expressed as latency.
	crossZonePerByte = 20 * time.Microsecond
	// bytesPerToken is the size of a generated token on the wire, including its share of the enclosing event.
	bytesPerToken = 20
	// fullPenalty is the cost added for an endpoint without a free slot.
	fullPenalty = time.Second
	// ownSpeedRelief is the part of what an engine's speed adds to the time of the request itself that does not count as cost: work on a
	// slow engine spares a fast one, on which more requests wait. At 90 requests a second on 16 engines, of which a quarter is half as
	// fast, 102 of 1000 were late with 0.5 (mean latency 229 ms), 108 with 0 (239 ms), 125 with 1 (232 ms), and 107 without speeds (228 ms).
	ownSpeedRelief = 0.5
	// failurePenalty is the cost added for each recent failure of an endpoint.
	failurePenalty = 400 * time.Millisecond
)

// cheapest returns the endpoint with the lowest cost for a request, or nil if none accepts it.
func (b *Balancer) cheapest(now time.Time, req *Request, loc promptLocation) *endpoint {
	var best *endpoint
	var bestCost time.Duration
	eps, demand, reserved := b.byService[req.Service], b.demandOf(req.Service), 0
	if len(eps) > 0 {
		reserved = demand.reservedEngines(len(eps), eps[0].slots, b.reservedPerBusyEngine)
	}
	var jitter time.Duration
	var seed uint64
	if b.instances > 1 && !b.ignoreOthers {
		jitter, seed = b.projectLoads(now, req)
	}
	for i, ep := range eps {
		if !ep.accepts(req) || b.waitOf(now, ep) > 0 {
			continue
		}
		cost := b.cost(now, ep, req, loc) + ep.reservationCost(demand, req, loc, i < reserved, reserved > 0)
		if jitter > 0 {
			cost += time.Duration(unitInterval(seed^ep.idHash) * float64(jitter))
		}
		if best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	return best
}

// prefillTime returns the estimated time in which this engine prefills a number of tokens.
func (ep *endpoint) prefillTime(tokens int) time.Duration {
	return ep.speed.scaled(ep.latency.prefillTime(tokens))
}

// backlog returns the estimated time that an engine needs to prefill the prompts that it already has.
func (ep *endpoint) backlog(now time.Time) time.Duration {
	if ep.prefilling == nil {
		return 0
	}
	return max(0, ep.prefillTime(ep.prefilling.prefillTokens)-now.Sub(ep.prefillSince)) +
		ep.prefillTime(ep.pendingPrefillTokens-ep.prefilling.prefillTokens)
}

// expectedLatency returns the expected time to the first answer of a request, without the endpoint's slow factor.
func (ep *endpoint) expectedLatency(now time.Time, prefillTokens, fetchTokens int) time.Duration {
	if !ep.isEngine {
		waiting := max(0, ep.expectedRunning()-ep.slots+1)
		return defaultCallLatency + defaultCallLatency*time.Duration(waiting)/time.Duration(max(1, ep.slots))
	}
	return ep.backlog(now) + ep.projected.work + time.Duration(fetchTokens)*fetchTimePerToken + ep.speed.scaled(ep.ownTime(prefillTokens))
}

// ownTime returns the time from the start of a prompt's prefill to its first answer on an engine at the mean speed.
func (ep *endpoint) ownTime(prefillTokens int) time.Duration {
	return ep.latency.baseDelay + ep.latency.prefillTime(prefillTokens) + time.Duration(ep.expectedRunning())*latencyPerRunning
}

func (ep *endpoint) running() int {
	return len(ep.attempts) + ep.otherLoad.Running
}

// expectedRunning returns the expected number of requests in progress, see projectLoads.
func (ep *endpoint) expectedRunning() int {
	return len(ep.attempts) + ep.projected.running
}

// reservationCost returns the cost of choosing an endpoint that is reserved for steady streams or not, while some are.
func (ep *endpoint) reservationCost(demand *prefillDemand, req *Request, loc promptLocation, reserved, someReserved bool) time.Duration {
	if !ep.isEngine || !someReserved {
		return 0
	}
	prefillTokens, _, _ := ep.prefillWork(req, loc)
	switch steady := demand.isSteady(req, ep.latency.prefillTime(prefillTokens), ep.tokensPerEvent); {
	case reserved && !steady:
		return reservedPenalty
	case !reserved && steady && demand.interrupted:
		return min(req.LatencyTarget/interruptionDivisor, maxInterruptionPenalty)
	}
	return 0
}

// cost returns the cost of choosing an endpoint, expressed as latency.
func (b *Balancer) cost(now time.Time, ep *endpoint, req *Request, loc promptLocation) time.Duration {
	prefillTokens, fetchTokens, _ := ep.prefillWork(req, loc)
	expected := ep.expectedLatency(now, prefillTokens, fetchTokens)
	if ep.speed.factor != 1 {
		ownTime := ep.ownTime(prefillTokens)
		expected -= time.Duration(ownSpeedRelief * float64(ep.speed.scaled(ownTime)-ownTime))
	}
	total := time.Duration(float64(expected) * ep.slowness.recent(now))
	if ep.isEngine {
		total += othersCostFactor*ep.latency.prefillTime(prefillTokens) +
			time.Duration(fetchCostFactor*float64(ep.latency.prefillTime(fetchTokens)))
		if loc.preferred == ep && loc.holder(ep.info.Build).tokens < loc.sharedTokens {
			total -= time.Duration(preferredGain * float64(ep.latency.prefillTime(loc.sharedTokens)))
		}
	} else {
		total += time.Duration(ep.expectedRunning()) * defaultCallLatency / time.Duration(max(1, 4*ep.slots))
	}
	if ep.slots > 0 && ep.expectedRunning() >= ep.slots {
		total += fullPenalty
	}
	if ep.info.Zone != req.Zone {
		total += crossZonePenalty + time.Duration(req.BodyBytes+bytesPerToken*req.OutputTokens)*crossZonePerByte
	}
	return total + ep.projected.rest + time.Duration((ep.recentFailures(now)+float64(ep.otherLoad.FailureTenths)/failureUnit)*float64(failurePenalty))
}
