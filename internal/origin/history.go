package origin

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// maxObservationGap is the longest time between two observations between which no software version can come and go unseen: an endpoint
// that starts is in the configuration for longer.
const maxObservationGap = 2 * time.Second

type (
	// History remembers which software versions the endpoints of each service had. It is not safe for concurrent use.
	History struct {
		// since is when the observation began that has gone on without a gap up to at.
		since time.Time
		at    time.Time
		// lastSeen holds when the endpoints of a service last had a version, which is empty for those that tell none.
		lastSeen map[serviceBuild]time.Time
	}

	serviceBuild struct {
		service string
		build   string
	}
)

// NewHistory returns a history without observations.
func NewHistory() *History {
	return &History{lastSeen: map[serviceBuild]time.Time{}}
}

// Observe records the versions of the present endpoints. If current is unset, they may be out of date, and the observation begins anew
// once they no longer are.
func (h *History) Observe(now time.Time, endpoints map[string]roster.Endpoint, current bool) {
	if !current {
		h.since = time.Time{}
		return
	}
	if h.since.IsZero() || now.Sub(h.at) > maxObservationGap {
		h.since = now
	}
	h.at = now
	for _, ep := range endpoints {
		h.lastSeen[serviceBuild{ep.Service, ep.Build}] = now
	}
	for key, at := range h.lastSeen {
		if now.Sub(at) > maxLife {
			delete(h.lastSeen, key)
		}
	}
}

// OnlyBuild returns the software version of a service if its endpoints had no other for a time up to now. It returns false if they had,
// or if that is not known.
func (h *History) OnlyBuild(now time.Time, service string, horizon time.Duration) (build string, known bool) {
	if h.since.IsZero() || now.Sub(h.at) > maxObservationGap || now.Sub(h.since) < horizon || horizon > maxLife {
		return "", false
	}
	return h.onlySeen(now, service, horizon)
}

// onlySeen returns the only software version that was seen of a service for a time up to now, during which others may not have been seen.
func (h *History) onlySeen(now time.Time, service string, horizon time.Duration) (build string, only bool) {
	for key, at := range h.lastSeen {
		if key.service != service || now.Sub(at) > horizon {
			continue
		}
		if key.build == "" || only {
			return "", false
		}
		build, only = key.build, true
	}
	return build, only
}
