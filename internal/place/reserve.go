package place

import (
	"math"
	"time"
)

const (
	// shortPrefill is the prefill time up to which a prompt counts as short.
	shortPrefill = 60 * time.Millisecond
	// demandHalfLife is the half-life of the prefill demand.
	demandHalfLife = 3 * time.Second
	// defaultReservedPerBusyEngine is the number of engines reserved for each engine that short prompts keep busy.
	defaultReservedPerBusyEngine = 2.0
	// maxReservedDivisor bounds the reservation to one in maxReservedDivisor of a service's engines.
	maxReservedDivisor = 3
	// reservedPenalty is the cost added to a reserved engine for a long prompt.
	reservedPenalty = 2000 * time.Millisecond
)

// prefillDemand is the prefill time that a service's engines spent on short and long prompts, with exponential decay.
type prefillDemand struct {
	shortSeconds, longSeconds float64
	updatedAt                 time.Time
}

func (d *prefillDemand) add(now time.Time, prefill time.Duration) {
	decay := math.Exp2(-now.Sub(d.updatedAt).Seconds() / demandHalfLife.Seconds())
	d.shortSeconds, d.longSeconds, d.updatedAt = d.shortSeconds*decay, d.longSeconds*decay, now
	if prefill <= shortPrefill {
		d.shortSeconds += prefill.Seconds()
		return
	}
	d.longSeconds += prefill.Seconds()
}

// reservedEngines returns how many of a service's engines are reserved for short prompts, which would otherwise queue behind long
// ones: perBusy for each engine that short prompts keep busy.
func (d *prefillDemand) reservedEngines(engines int, perBusyEngine float64) int {
	if d.shortSeconds == 0 || d.longSeconds == 0 || engines < maxReservedDivisor {
		return 0
	}
	// In the steady state, the decayed sum is the number of busy engines times this window, in seconds.
	window := demandHalfLife.Seconds() / math.Ln2
	busyEngines := d.shortSeconds / window
	return min(int(math.Ceil(busyEngines*perBusyEngine)), engines/maxReservedDivisor)
}
