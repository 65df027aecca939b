package place

import (
	"maps"
	"slices"
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

// EngineBuilds returns the known software versions of those engines of a service whose IDs are given, each once.
func (b *Balancer) EngineBuilds(service string, ids []string) (builds []string) {
	for _, id := range ids {
		ep := b.endpoints[id]
		if ep != nil && ep.isEngine && ep.info.Service == service && ep.info.Build != "" && !slices.Contains(builds, ep.info.Build) {
			builds = append(builds, ep.info.Build)
		}
	}
	return builds
}

// recordBegun remembers the version of an engine whose stream broke off after its first event, or may have. One that was remembered
// before stays, as the stream began there.
func (b *Balancer) recordBegun(now time.Time, ep *endpoint, a *attempt, outcome Outcome) {
	broken := outcome == ConnectionLost || outcome == TimedOut || outcome == Failed
	if !broken || !ep.isEngine || !a.mayHaveBegun(ep.info.Build) || len(b.begun) >= maxBegun {
		return
	}
	id := callerRequest(a.req.AttemptID)
	if _, ok := b.begun[id]; !ok {
		b.begun[id] = begunStream{ep.info.Build, a.startedAt.Add(a.req.TimeLeft + attemptGrace)}
	}
}

// mayHaveBegun reports whether the caller may have events of the stream of an attempt at an endpoint of a software version. The first
// answer of an attempt that was reported may have been told to an earlier leader; an attempt that was bound to a version goes on with a
// stream.
func (a *attempt) mayHaveBegun(build string) bool {
	return a.answered || build != "" && (a.reported || a.req.Build != "")
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
