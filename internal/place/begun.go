package place

import (
	"maps"
	"strings"
	"time"
)

// maxBegun bounds the number of broken streams whose software version is remembered.
const maxBegun = 10_000

// begunStream is the software version, empty if unknown, of the endpoint at which a stream broke off after it had begun.
type begunStream struct {
	build string
	until time.Time
}

// BegunBuild returns the software version at which the stream of an earlier attempt of the same caller's request began before it broke
// off, or an empty one if that is not known, and whether there is such a stream. Entry instances of builds that know no versions do not
// name it when they go on with a stream.
func (b *Balancer) BegunBuild(now time.Time, attemptID string) (build string, begun bool) {
	stream, ok := b.begun[callerRequest(attemptID)]
	if !ok || !now.Before(stream.until) {
		return "", false
	}
	return stream.build, true
}

// recordBegun remembers the version of an engine whose stream broke off after its first event. One that was remembered before stays, as
// the stream began there.
func (b *Balancer) recordBegun(now time.Time, ep *endpoint, a *attempt, outcome Outcome) {
	broken := outcome == ConnectionLost || outcome == TimedOut || outcome == Failed
	if !broken || !a.answered || !ep.isEngine || len(b.begun) >= maxBegun {
		return
	}
	id := callerRequest(a.req.AttemptID)
	if _, ok := b.begun[id]; !ok {
		b.begun[id] = begunStream{ep.info.Build, a.startedAt.Add(a.req.TimeLeft + attemptGrace)}
	}
}

func (b *Balancer) pruneBegun(now time.Time) {
	maps.DeleteFunc(b.begun, func(_ string, begun begunStream) bool { return !now.Before(begun.until) })
}

// callerRequest returns the ID of the caller's request that an attempt belongs to. Attempt IDs append a slash and a number to it.
func callerRequest(attemptID string) string {
	if end := strings.LastIndexByte(attemptID, '/'); end >= 0 {
		return attemptID[:end]
	}
	return attemptID
}
