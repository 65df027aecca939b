package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loadBound is how far above the mean load an endpoint may be chosen for its cached prefix.
	loadBound = 1.25
	// zonePenalty is what another zone adds to an endpoint's score, in parts of a full endpoint.
	zonePenalty = 0.15
	// prefixDepth is the number of leading blocks that decide a request's affinity.
	prefixDepth = 4
)

// Need is what the choice of an endpoint depends on.
type Need struct {
	Zone   string
	Blocks []uint64
	Avoid  []string
	Prefer string
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

// Pick returns the endpoint for a request, or nil if none that it may use is free.
func Pick(now time.Time, eps []*Endpoint, need *Need) *Endpoint {
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
		if e.Ann.Boot == need.Prefer {
			return e
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
	return float64(e.Running) / max(e.Limit, 1)
}

// score is the expected crowding of an endpoint: its load, made heavier by slowness and distance.
func score(e *Endpoint, zone string) float64 {
	s := (float64(e.Running) + 1) / max(e.Limit, 1)
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
