package place

import (
	"math"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
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
	// failurePenalty is the cost added for each recent failure of an endpoint.
	failurePenalty = 400 * time.Millisecond
	// failureHalfLife is the half-life of the failure count.
	failureHalfLife = 2 * time.Second
	// attemptGrace is the time after the caller's deadline at which an attempt without a reported end is removed.
	attemptGrace = 2 * time.Second
	// lateFactor is the multiple of the expected latency after which an unanswered attempt counts as a failure of its endpoint.
	lateFactor = 4
	// minLateAfter is the minimum time after which an attempt counts as late.
	minLateAfter = 700 * time.Millisecond
)

type (
	// attempt is one attempt to run a request, at one endpoint.
	attempt struct {
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

	// endpoint is the state of one endpoint.
	endpoint struct {
		info     roster.Endpoint
		isEngine bool
		slots    int
		// tokensPerEvent is the number of tokens in an event of an engine's streams.
		tokensPerEvent int
		attempts       map[string]*attempt
		// prefilling is the attempt whose prompt the engine is assumed to prefill since prefillSince. Engines prefill one prompt at a
		// time, in the order of arrival.
		prefilling   *attempt
		prefillSince time.Time
		// pendingPrefillTokens is the sum of the prompt tokens that the engine has yet to prefill.
		pendingPrefillTokens int
		latency              *latencyModel
		promptCache          *promptCache
		// cacheReported is set once the engine has reported its cache content; until then promptCache may miss entries.
		cacheReported bool
		// idHash is the hash of the endpoint's ID, used by preferredEngine.
		idHash uint64
		// failures is the decaying failure count as of failuresAt.
		failures   float64
		failuresAt time.Time
		// lostAt is when the endpoint last broke off or refused a connection, or zero if it was heard of since.
		lostAt   time.Time
		slowness slowness
		// silentFailures is the part of the failure count for attempts that became late since the last first answer, as of silentFailuresAt.
		silentFailures   float64
		silentFailuresAt time.Time
		// limit is the limit that the endpoint names, or nil.
		limit *rateLimit
		// brittle is set if the endpoint says that it falls over when it turns away many requests.
		brittle *brittleness
		// otherLoad is the load from other entry instances, as the leader reported it.
		otherLoad EndpointLoad
	}

	// Balancer holds the load of the endpoints and chooses among them. It is not safe for concurrent use.
	Balancer struct {
		endpoints             map[string]*endpoint
		byService             map[string][]*endpoint
		byAttempt             map[string]*endpoint
		latencies             map[string]*latencyModel  // by service
		demands               map[string]*prefillDemand // by service
		falls                 map[string]fallRecord     // by service
		serviceTimes          map[string]time.Duration  // by service
		begun                 map[string]begunStream    // by ID of the caller's request
		reservedPerBusyEngine float64
		// name and instances are set by SetInstances.
		name      string
		instances int
	}
)

// New returns a balancer without endpoints.
func New() *Balancer {
	return &Balancer{
		endpoints: map[string]*endpoint{}, byService: map[string][]*endpoint{}, byAttempt: map[string]*endpoint{},
		latencies: map[string]*latencyModel{}, demands: map[string]*prefillDemand{}, falls: map[string]fallRecord{},
		serviceTimes: map[string]time.Duration{}, begun: map[string]begunStream{}, reservedPerBusyEngine: defaultReservedPerBusyEngine,
		instances: 1,
	}
}

// Sync replaces the set of endpoints, keeps the state of those that remain, and returns the engines that are new. The routing
// table describes their services.
func (b *Balancer) Sync(eps map[string]roster.Endpoint, t *table.Index) (engines []roster.Endpoint) {
	for id, ep := range b.endpoints {
		if info, ok := eps[id]; !ok || info.StartedAtMS != ep.info.StartedAtMS || info.Addr != ep.info.Addr {
			b.removeEndpoint(ep)
		}
	}
	b.byService = map[string][]*endpoint{}
	var added []*endpoint
	for id, info := range eps {
		ep := b.endpoints[id]
		if ep == nil {
			ep = &endpoint{attempts: map[string]*attempt{}, slowness: newSlowness(), idHash: xxhash.Sum64String(id)}
			b.endpoints[id] = ep
			added = append(added, ep)
		}
		ep.info, ep.slots, ep.isEngine, ep.latency = info, info.Slots, false, b.latencyOf(info.Service)
		if svc := t.Service(info.Service); svc != nil && svc.Engine != nil {
			ep.isEngine = true
			if ep.promptCache == nil {
				ep.promptCache = newPromptCache(svc.Engine.Tokens)
				engines = append(engines, info)
			}
			ep.tokensPerEvent = svc.Engine.TokensPerEvent
			if svc.Engine.Slots > 0 {
				ep.slots = svc.Engine.Slots
			}
		}
		b.byService[info.Service] = append(b.byService[info.Service], ep)
	}
	for _, group := range b.byService {
		sort.Slice(group, func(i, j int) bool { return group[i].info.ID < group[j].info.ID })
	}
	for _, ep := range added {
		b.inheritBrittleness(ep)
	}
	return engines
}

func (b *Balancer) latencyOf(service string) *latencyModel {
	model := b.latencies[service]
	if model == nil {
		model = newLatencyModel()
		b.latencies[service] = model
	}
	return model
}

func (b *Balancer) demandOf(service string) *prefillDemand {
	demand := b.demands[service]
	if demand == nil {
		demand = &prefillDemand{}
		b.demands[service] = demand
	}
	return demand
}

func (b *Balancer) removeEndpoint(ep *endpoint) {
	for id, a := range ep.attempts {
		delete(b.byAttempt, id)
		if a.steady {
			b.demandOf(ep.info.Service).steadyRunning--
		}
	}
	delete(b.endpoints, ep.info.ID)
}

// Place chooses the endpoint for a request and records the attempt; it returns false if no endpoint can take the request. A
// second call for a known attempt returns the first choice.
func (b *Balancer) Place(now time.Time, req Request) (Choice, bool) {
	usable := b.countUsable(now, &req)
	if ep := b.byAttempt[req.AttemptID]; ep != nil {
		return ep.choice(ep.attempts[req.AttemptID], usable-1), true
	}
	loc := b.locatePrompt(now, &req)
	best := b.cheapest(now, &req, loc)
	if best == nil {
		return Choice{}, false
	}
	return best.choice(b.addAttempt(now, best, req, loc), usable-1), true
}

// countUsable returns the number of endpoints that can take a request.
func (b *Balancer) countUsable(now time.Time, req *Request) (n int) {
	for _, ep := range b.byService[req.Service] {
		if ep.accepts(req) && b.waitOf(now, ep) == 0 {
			n++
		}
	}
	return n
}

// accepts reports whether an endpoint may be chosen for a request.
func (ep *endpoint) accepts(req *Request) bool {
	return ep.info.State == roster.Ready && (req.Build == "" || req.Build == ep.info.Build) &&
		!slices.Contains(req.ExcludedIDs, ep.info.ID)
}

// cheapest returns the endpoint with the lowest cost for a request, or nil if none accepts it.
func (b *Balancer) cheapest(now time.Time, req *Request, loc promptLocation) *endpoint {
	var best *endpoint
	var bestCost time.Duration
	eps, demand, reserved := b.byService[req.Service], b.demandOf(req.Service), 0
	if len(eps) > 0 {
		reserved = demand.reservedEngines(len(eps), eps[0].slots, b.reservedPerBusyEngine)
	}
	for i, ep := range eps {
		if !ep.accepts(req) || b.waitOf(now, ep) > 0 {
			continue
		}
		cost := b.cost(now, ep, req, loc) + ep.reservationCost(demand, req, loc, i < reserved, reserved > 0)
		if best == nil || cost < bestCost {
			best, bestCost = ep, cost
		}
	}
	return best
}

func (ep *endpoint) choice(a *attempt, alternatives int) Choice {
	return Choice{
		ID: ep.info.ID, Addr: ep.info.Addr, StartedAtMS: ep.info.StartedAtMS, Build: ep.info.Build, Zone: ep.info.Zone,
		PrefillTokens: a.prefillTokens, FetchTokens: a.fetchTokens, FetchFrom: a.fetchFrom,
		ExpectedLatency: a.expectedLatency, Running: ep.running(), Alternatives: max(0, alternatives),
	}
}

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
	b.byAttempt[req.AttemptID] = ep
	if ep.promptCache != nil {
		ep.promptCache.touch(req.Parts)
	}
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

// backlog returns the estimated time that an engine needs to prefill the prompts that it already has.
func (ep *endpoint) backlog(now time.Time) time.Duration {
	if ep.prefilling == nil {
		return 0
	}
	return max(0, ep.latency.prefillTime(ep.prefilling.prefillTokens)-now.Sub(ep.prefillSince)) +
		ep.latency.prefillTime(ep.pendingPrefillTokens-ep.prefilling.prefillTokens)
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

// expectedLatency returns the expected time to the first answer of a request, without the endpoint's slow factor.
func (ep *endpoint) expectedLatency(now time.Time, prefillTokens, fetchTokens int) time.Duration {
	if !ep.isEngine {
		waiting := max(0, ep.running()-ep.slots+1)
		return defaultCallLatency + defaultCallLatency*time.Duration(waiting)/time.Duration(max(1, ep.slots))
	}
	return ep.latency.baseDelay + ep.backlog(now) + ep.otherLoad.Backlog + ep.latency.prefillTime(prefillTokens) +
		time.Duration(fetchTokens)*fetchTimePerToken + time.Duration(ep.running())*latencyPerRunning
}

func (ep *endpoint) running() int {
	return len(ep.attempts) + ep.otherLoad.Running
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
	total := time.Duration(float64(ep.expectedLatency(now, prefillTokens, fetchTokens)) * ep.slowness.recent(now))
	if ep.isEngine {
		total += othersCostFactor*ep.latency.prefillTime(prefillTokens) +
			time.Duration(fetchCostFactor*float64(ep.latency.prefillTime(fetchTokens)))
		if loc.preferred == ep && loc.holder(ep.info.Build).tokens < loc.sharedTokens {
			total -= time.Duration(preferredGain * float64(ep.latency.prefillTime(loc.sharedTokens)))
		}
	} else {
		total += time.Duration(ep.running()) * defaultCallLatency / time.Duration(max(1, 4*ep.slots))
	}
	if ep.slots > 0 && ep.running() >= ep.slots {
		total += fullPenalty
	}
	if ep.info.Zone != req.Zone {
		total += crossZonePenalty + time.Duration(req.BodyBytes+bytesPerToken*req.OutputTokens)*crossZonePerByte
	}
	return total + time.Duration((ep.recentFailures(now)+float64(ep.otherLoad.FailureTenths)/failureUnit)*float64(failurePenalty))
}

// recentFailures returns the failure count of the endpoint, decayed to the present.
func (ep *endpoint) recentFailures(now time.Time) float64 {
	return decayed(ep.failures, now.Sub(ep.failuresAt))
}

// addLate counts a failure for an attempt that is late.
func (ep *endpoint) addLate(now time.Time) {
	ep.silentFailures = decayed(ep.silentFailures, now.Sub(ep.silentFailuresAt)) + 1
	ep.silentFailuresAt = now
	ep.addFailures(now, 1)
}

// forgiveSilence takes back the failures of attempts that became late while nothing came from the endpoint, as it answers again. An
// endpoint that is slow for its load answers others meanwhile.
func (ep *endpoint) forgiveSilence(now time.Time) {
	if ep.silentFailures > 0 {
		ep.failures = max(0, ep.recentFailures(now)-decayed(ep.silentFailures, now.Sub(ep.silentFailuresAt)))
		ep.failuresAt, ep.silentFailures = now, 0
	}
}

// decayed returns what is left of a failure count after some time.
func decayed(failures float64, elapsed time.Duration) float64 {
	return failures * math.Exp2(-elapsed.Seconds()/failureHalfLife.Seconds())
}

func (ep *endpoint) addFailures(now time.Time, count float64) {
	ep.failures = ep.recentFailures(now) + count
	ep.failuresAt = now
}

// Apply applies an event: the limit or the brittleness of an endpoint, or of an attempt its start at an endpoint chosen elsewhere, its first answer or
// its end.
func (b *Balancer) Apply(now time.Time, e Event) {
	if e.Limit != nil {
		b.RecordLimit(now, *e.Limit)
		return
	}
	if e.Brittle != nil {
		b.RecordBrittle(now, *e.Brittle)
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
		ep.recordFirstAnswer(now, a, e.FirstAnswer)
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

// recordFirstAnswer updates the backlog, the latency model and the slow factor at the first answer of an attempt.
func (ep *endpoint) recordFirstAnswer(now time.Time, a *attempt, latency time.Duration) {
	if a.answered {
		return
	}
	a.answered = true
	ep.lostAt = time.Time{}
	ep.forgiveSilence(now)
	ep.pendingPrefillTokens -= a.prefillTokens
	if ep.isEngine {
		// The first answer follows the end of the prefill by the base delay.
		ep.startNextPrefill(now.Add(-ep.latency.baseDelay))
		if a.engineWasIdle {
			ep.latency.observe(a.prefillTokens, latency)
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

// RecordCached records the prompt parts that an engine reported to be in its cache, least recently used first.
func (b *Balancer) RecordCached(id string, parts []PromptPart) {
	ep := b.endpoints[id]
	if ep == nil || ep.promptCache == nil {
		return
	}
	ep.cacheReported = true
	for _, p := range parts {
		ep.promptCache.touch([]PromptPart{p})
	}
}

// HasAttempt reports whether an attempt is in progress.
func (b *Balancer) HasAttempt(attemptID string) bool {
	return b.byAttempt[attemptID] != nil
}

// RecordHeartbeat records a heartbeat of an endpoint. One that is newer than the last failure lowers the failure count to at most
// 1, so that the endpoint is used again.
func (b *Balancer) RecordHeartbeat(now, at time.Time, id string) {
	ep := b.endpoints[id]
	if ep == nil {
		return
	}
	if at.After(ep.lostAt) {
		ep.lostAt = time.Time{}
	}
	if at.After(ep.failuresAt) {
		ep.failures, ep.failuresAt = min(ep.recentFailures(now), 1), now
	}
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
