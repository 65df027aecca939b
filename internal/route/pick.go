package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Ways to choose an endpoint; all but ByLoad are there for comparison.
const (
	ByLoad Choice = "load"
	Random Choice = "random"
	Round  Choice = "round"
	Least  Choice = "least"
)

const (
	// loadBound is how far above the mean load an endpoint may be chosen for its cached prefix.
	loadBound = 1.25
	// zonePenalty is what another zone adds to an endpoint's score, in parts of a full endpoint.
	zonePenalty = 0.15
	// prefixDepth is the number of leading blocks that decide a request's affinity.
	prefixDepth = 4
)

type (
	// Choice names a way to choose an endpoint.
	Choice string

	// Need is what the choice of an endpoint depends on.
	Need struct {
		Zone   string
		Blocks []uint64
		Avoid  []string
	}

	// Picker chooses endpoints in one way.
	Picker struct {
		choice Choice
		rng    *rand.Rand
		next   int
	}
)

// New returns a picker; the seed decides random choices.
func New(choice Choice, seed uint64) *Picker {
	return &Picker{choice: choice, rng: rand.New(rand.NewPCG(seed, seed))}
}

// Pick returns the endpoint for a request, or nil if none that it may use is free.
func (p *Picker) Pick(now time.Time, eps []*Endpoint, need *Need) *Endpoint {
	if p.choice == "" || p.choice == ByLoad {
		return byLoad(now, eps, need)
	}
	var free []*Endpoint
	for _, e := range eps {
		if e.Free(now) > 0 && !need.Avoids(e.Ann.Boot) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		return nil
	}
	switch p.choice {
	case Random:
		return free[p.rng.IntN(len(free))]
	case Round:
		p.next++
		return free[p.next%len(free)]
	}
	best := free[0]
	for _, e := range free[1:] {
		if e.Running < best.Running {
			best = e
		}
	}
	return best
}

// Avoids reports whether the request must not run on the boot.
func (n *Need) Avoids(boot string) bool {
	for _, a := range n.Avoid {
		if a == boot {
			return true
		}
	}
	return false
}

// byLoad prefers the endpoint that holds the request's prefix, within a bound on its load, and else the least crowded one.
func byLoad(now time.Time, eps []*Endpoint, need *Need) *Endpoint {
	var best, near *Endpoint
	var bestScore, total float64
	var top uint64
	live := 0
	key, affine := affinity(need.Blocks)
	for _, e := range eps {
		if e.Live(now) {
			total += load(e)
			live++
		}
		if e.Free(now) == 0 || need.Avoids(e.Ann.Boot) {
			continue
		}
		if s := score(e, need.Zone); best == nil || s < bestScore {
			best, bestScore = e, s
		}
		if w := weight(key, e.Ann.Name); affine && !e.Slow && (near == nil || w > top) {
			near, top = e, w
		}
	}
	if near == nil || live == 0 {
		return best
	}
	mean := total / float64(live)
	step := 1 / max(near.Limit, 1)
	if load(near) <= loadBound*mean+step {
		return near
	}
	return best
}

func load(e *Endpoint) float64 {
	return float64(e.busy()) / max(e.Limit, 1)
}

// score is the expected crowding of an endpoint: its load, made heavier by slowness and distance.
func score(e *Endpoint, zone string) float64 {
	s := (float64(e.busy()) + 1) / max(e.Limit, 1)
	if e.Gap > 0 {
		s *= 1 + e.Gap.Seconds()
	}
	if e.Slow {
		s++
	}
	if zone != "" && e.Ann.Zone != zone {
		s += zonePenalty
	}
	return s
}

// affinity returns the hash that decides which endpoints hold a prompt's prefix.
func affinity(blocks []uint64) (uint64, bool) {
	if len(blocks) == 0 {
		return 0, false
	}
	return blocks[min(len(blocks), prefixDepth)-1], true
}

// weight is the rendezvous weight of an endpoint for a key.
func weight(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
