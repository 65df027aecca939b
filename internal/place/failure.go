package place

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the half-life of the failure count.
	failureHalfLife = 2 * time.Second
)

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
