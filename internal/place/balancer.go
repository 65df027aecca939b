package place

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

type (
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
		speed    speed
		// silentFailures is the part of the failure count for attempts that became late since the last first answer, as of silentFailuresAt.
		silentFailures   float64
		silentFailuresAt time.Time
		// limit is the limit that the endpoint names, or nil.
		limit *rateLimit
		// brittle is set if the endpoint says that it falls over when it turns away many requests.
		brittle *brittleness
		// otherLoad is the load from other entry instances, as the leader reported it.
		otherLoad EndpointLoad
		// projected is what is expected of it at present.
		projected projectedLoad
	}

	// Balancer holds the load of the endpoints and chooses among them. It is not safe for concurrent use.
	Balancer struct {
		endpoints    map[string]*endpoint
		byService    map[string][]*endpoint
		byAttempt    map[string]*endpoint
		latencies    map[string]*latencyModel  // by service
		demands      map[string]*prefillDemand // by service
		meters       map[string]*demandMeter   // by service
		falls        map[string]fallRecord     // by service
		serviceTimes map[string]time.Duration  // by service
		begun        map[string]begunStream    // by ID of the caller's request
		speeds       map[string]*serviceSpeed  // by service
		// fadedAt is the time of the last call of fadeSpeeds; ignoreSpeeds and ignoreOthers are set in tests for comparison.
		fadedAt               time.Time
		ignoreSpeeds          bool
		ignoreOthers          bool
		reservedPerBusyEngine float64
		reports               map[string]*loadReport // by service
		// levels is reused by levelLoad.
		levels []time.Duration
		// name and instances are set by SetInstances.
		name      string
		instances int
	}
)

// New returns a balancer without endpoints.
func New() *Balancer {
	return &Balancer{
		endpoints: map[string]*endpoint{}, byService: map[string][]*endpoint{}, byAttempt: map[string]*endpoint{},
		latencies: map[string]*latencyModel{}, demands: map[string]*prefillDemand{}, meters: map[string]*demandMeter{},
		falls:        map[string]fallRecord{},
		serviceTimes: map[string]time.Duration{}, begun: map[string]begunStream{}, speeds: map[string]*serviceSpeed{},
		reports: map[string]*loadReport{}, reservedPerBusyEngine: defaultReservedPerBusyEngine,
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
			ep.speed = newSpeed(b.speedOf(info.Service))
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
	ep.speed.remove()
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

func (ep *endpoint) choice(a *attempt, alternatives int) Choice {
	return Choice{
		ID: ep.info.ID, Addr: ep.info.Addr, StartedAtMS: ep.info.StartedAtMS, Build: ep.info.Build, Zone: ep.info.Zone,
		PrefillTokens: a.prefillTokens, FetchTokens: a.fetchTokens, FetchFrom: a.fetchFrom,
		ExpectedLatency: a.expectedLatency, Running: ep.running(), Alternatives: max(0, alternatives),
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
