package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policies for choosing an endpoint; all but ByLoad serve as baselines for comparison.
const (
	// ByLoad chooses by prompt affinity, load, speed and zone. It is the default.
	ByLoad Policy = "load"
	// Random chooses a random free endpoint.
	Random Policy = "random"
	// RoundRobin chooses the free endpoints in turn.
	RoundRobin Policy = "round"
	// LeastRunning chooses the free endpoint with the fewest granted requests in progress.
	LeastRunning Policy = "least"
)

const (
	// maxRelativeLoad is the multiple of the mean load up to which an endpoint is chosen for its cached prefix.
	maxRelativeLoad = 1.25
	// crossZonePenalty is added to the cost of an endpoint in another zone; 1 is the load of a full endpoint.
	crossZonePenalty = 0.15
	// affinityBlocks is the maximum number of leading prompt blocks that determine the affinity of a request.
	affinityBlocks = 4
)

type (
	// Policy is a policy for choosing an endpoint.
	Policy string

	// Request holds the properties of a request that the choice depends on.
	Request struct {
		// Zone is the caller's availability zone.
		Zone string
		// Blocks holds the hashes of the prompt's leading blocks.
		Blocks []uint64
		// ExcludedBoots holds the boot IDs of endpoints that must not be chosen; a boot ID identifies one process start of an
		// endpoint.
		ExcludedBoots []string
		// Bound is set if the request may run only at endpoints of the software version Build, which is empty for those that tell none.
		Bound bool
		Build string
	}

	// Picker chooses endpoints by one policy.
	Picker struct {
		policy    Policy
		rng       *rand.Rand
		nextIndex int
	}
)

// New returns a picker; the seed determines random choices.
func New(policy Policy, seed uint64) *Picker {
	return &Picker{policy: policy, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the endpoint for a request, or nil if no permitted endpoint is free.
func (p *Picker) Pick(now time.Time, eps []*Endpoint, req *Request) *Endpoint {
	if p.policy == "" || p.policy == ByLoad {
		return pickByLoad(now, eps, req)
	}
	var free []*Endpoint
	for _, e := range eps {
		if e.FreeSlots(now) > 0 && !req.Excludes(e) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	switch p.policy {
	case Random:
		return free[p.rng.IntN(len(free))]
	case RoundRobin:
		p.nextIndex++
		return free[p.nextIndex%len(free)]
	}
	best := free[0]
	for _, e := range free[1:] {
		if e.Running < best.Running {
			best = e
		}
	}
	return best
}

// Excludes reports whether the request must not run on an endpoint.
func (r *Request) Excludes(e *Endpoint) bool {
	return r.Bound && e.Info.Build != r.Build || slices.Contains(r.ExcludedBoots, e.Info.Boot)
}

// pickByLoad returns the endpoint with affinity for the request's prefix if its load is at most maxRelativeLoad times the mean
// plus one request, otherwise the endpoint with the lowest cost.
func pickByLoad(now time.Time, eps []*Endpoint, req *Request) *Endpoint {
	var best, affinityEndpoint *Endpoint
	var bestCost, totalLoad float64
	var highestWeight uint64
	live := 0
	key, hasAffinity := affinityKey(req.Blocks)
	for _, e := range eps {
		if e.Live(now) {
			totalLoad += relativeLoad(e)
			live++
		}
		if e.FreeSlots(now) == 0 || req.Excludes(e) {
			continue
		}
		if cost := endpointCost(e, req.Zone); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
		if weight := rendezvousWeight(key, e.Info.Name); hasAffinity && !e.Slow && (affinityEndpoint == nil || weight > highestWeight) {
			affinityEndpoint, highestWeight = e, weight
		}
	}
	if affinityEndpoint == nil || live == 0 {
		return best
	}
	meanLoad := totalLoad / float64(live)
	oneRequest := 1 / max(affinityEndpoint.Limit, 1)
	if relativeLoad(affinityEndpoint) <= maxRelativeLoad*meanLoad+oneRequest {
		return affinityEndpoint
	}
	return best
}

func relativeLoad(e *Endpoint) float64 {
	return float64(e.inUse()) / max(e.Limit, 1)
}

// endpointCost returns the load of an endpoint with one more request, increased for slow endpoints and those in other zones.
func endpointCost(e *Endpoint, zone string) float64 {
	cost := (float64(e.inUse()) + 1) / max(e.Limit, 1)
	if e.TokenInterval > 0 {
		cost *= 1 + e.TokenInterval.Seconds()
	}
	if e.Slow {
		cost++
	}
	if zone != "" && e.Info.Zone != zone {
		cost += crossZonePenalty
	}
	return cost
}

// affinityKey returns the hash that determines which endpoint holds a prompt's prefix, or false if there is none.
func affinityKey(blocks []uint64) (uint64, bool) {
	if len(blocks) == 0 {
		return 0, false
	}
	return blocks[min(len(blocks), affinityBlocks)-1], true
}

// rendezvousWeight returns the weight of an endpoint for a key in rendezvous hashing.
func rendezvousWeight(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
