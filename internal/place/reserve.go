package place

import (
	"math"
	"time"
)

const (
	// shortPrefill is the prefill time up to which a prompt counts as short.
	shortPrefill = 60 * time.Millisecond
	// steadyTokenPause is the longest pause between two tokens up to which a stream counts as steady: the prefill of a chunk of another
	// prompt takes about as long, and one that goes on for a whole event makes the stream late.
	steadyTokenPause = 60 * time.Millisecond
	// demandHalfLife is the half-life of the prefill demand.
	demandHalfLife = 3 * time.Second
	// defaultReservedPerBusyEngine is the number of engines reserved for each engine that steady streams keep busy with their prompts.
	// It is large, as the prefill of several short prompts in a row interrupts streams like that of a long one.
	defaultReservedPerBusyEngine = 6.0
	// reservedSlotsDivisor bounds the steady streams on a reserved engine to one in reservedSlotsDivisor of its slots.
	reservedSlotsDivisor = 2
	// maxReservedDivisor bounds the reservation to one in maxReservedDivisor of a service's engines.
	maxReservedDivisor = 3
	// reservedPenalty is the cost added to a reserved engine for any other prompt.
	reservedPenalty = 2000 * time.Millisecond
	// Streams count as interrupted once more than interruptedShare of them paused for too long, until fewer than soundShare do. The
	// shares are of at least minPauses streams, with a half-life of pauseHalfLife.
	interruptedShare = 0.08
	soundShare       = 0.02
	minPauses        = 20
	pauseHalfLife    = 20 * time.Second
	// shortReservedPerBusyEngine is the number of engines reserved for each engine that short prompts keep busy, while streams are not
	// interrupted, so that short prompts do not wait behind long ones.
	shortReservedPerBusyEngine = 2.0
	// maxInterruptionPenalty bounds the cost added for a steady stream to an engine that is not reserved. It is a part of the latency
	// objective, one in interruptionDivisor, as waiting for a reserved engine makes the stream late for certain.
	maxInterruptionPenalty = 500 * time.Millisecond
	interruptionDivisor    = 3
)

// prefillDemand is the prefill time that a service's engines spent on the prompts of steady streams and on others, with exponential
// decay, and the number of steady streams that run.
type prefillDemand struct {
	steadySeconds, otherSeconds float64
	updatedAt                   time.Time
	steadyRunning               int
	// pauses and latePauses count the ended streams with an objective for pauses, and those of them that paused for longer, with
	// exponential decay.
	pauses, latePauses float64
	pausesAt           time.Time
	// interrupted is set while many streams pause for too long. Until then, any short prompt is treated like that of a steady stream.
	interrupted bool
}

// addPause records the longest pause of a stream that has ended.
func (d *prefillDemand) addPause(now time.Time, late bool) {
	decay := math.Exp2(-now.Sub(d.pausesAt).Seconds() / pauseHalfLife.Seconds())
	d.pauses, d.latePauses, d.pausesAt = d.pauses*decay+1, d.latePauses*decay, now
	if late {
		d.latePauses++
	}
	switch share := d.latePauses / d.pauses; {
	case d.pauses >= minPauses && share > interruptedShare:
		d.interrupted = true
	case share < soundShare:
		d.interrupted = false
	}
}

// isSteady reports whether a request is for a stream that the prefill of other prompts makes late, and whose own prompt of the given
// prefill time interrupts others only for a moment. Entry instances of earlier builds tell no pause; then the prompt decides.
func (d *prefillDemand) isSteady(req *Request, prefill time.Duration, tokensPerEvent int) bool {
	if prefill > shortPrefill {
		return false
	}
	return !d.interrupted || req.GapTarget <= 0 || req.GapTarget/time.Duration(max(1, tokensPerEvent)) <= steadyTokenPause
}

func (d *prefillDemand) add(now time.Time, prefill time.Duration, steady bool) {
	decay := math.Exp2(-now.Sub(d.updatedAt).Seconds() / demandHalfLife.Seconds())
	d.steadySeconds, d.otherSeconds, d.updatedAt = d.steadySeconds*decay, d.otherSeconds*decay, now
	if steady {
		d.steadySeconds += prefill.Seconds()
		return
	}
	d.otherSeconds += prefill.Seconds()
}

// reservedEngines returns how many of a service's engines are reserved for steady streams, which the prefill of other prompts would
// interrupt: perBusyEngine for each engine that their own prompts keep busy, and as many as their slots need.
func (d *prefillDemand) reservedEngines(engines, slots int, perBusyEngine float64) int {
	if d.steadySeconds == 0 || d.otherSeconds == 0 || engines < maxReservedDivisor || perBusyEngine == 0 {
		return 0
	}
	// In the steady state, the decayed sum is the number of busy engines times this window, in seconds.
	window := demandHalfLife.Seconds() / math.Ln2
	busyEngines := d.steadySeconds / window
	bySlots := d.steadyRunning * reservedSlotsDivisor / max(1, slots)
	if !d.interrupted {
		perBusyEngine, bySlots = min(perBusyEngine, shortReservedPerBusyEngine), 0
	}
	return min(max(int(math.Ceil(busyEngines*perBusyEngine)), bySlots), engines/maxReservedDivisor)
}
