package sched

import (
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/route"
)

// Tick performs the periodic work: it releases runs and removes items of silent entries, refuses expired items, compares the
// endpoints' speed, removes silent endpoints and grants what can run.
func (s *Scheduler) Tick(now time.Time) {
	for _, r := range s.running {
		if now.Sub(r.lastSeen) > entryTimeout {
			s.releaseUnconfirmed(now, r)
		}
	}
	s.forgetUnconfirmed(now)
	s.expireQueue(now)
	if s.endpointsObserved {
		route.MarkStragglers(s.endpointList)
		s.endpointsObserved = false
	}
	s.removeSilentEndpoints(now)
	s.dispatch(now)
}

// expireQueue removes items whose entry is silent and handles those past their deadline, highest tier first.
func (s *Scheduler) expireQueue(now time.Time) {
	var expired []*queueItem
	exclusiveQueued := false
	withoutEndpoint := s.withoutEndpoint(now)
	for _, it := range s.queued {
		exclusiveQueued = exclusiveQueued || it.req.Exclusive
		switch {
		case withoutEndpoint:
			s.drop(now, it, NoEndpoint)
		case now.Sub(it.lastSeen) > entryTimeout:
			s.dequeue(it)
		case now.After(it.deadline):
			expired = append(expired, it)
		}
	}
	if !exclusiveQueued {
		s.unreserveEndpoints()
	}
	sort.Slice(expired, func(i, j int) bool { return shedBefore(expired[j], expired[i]) })
	for _, it := range expired {
		if s.queued[it.req.ID] == it {
			s.expireItem(now, it)
		}
	}
}

// unreserveEndpoints returns the endpoints reserved for exclusive requests to general use.
func (s *Scheduler) unreserveEndpoints() {
	for _, e := range s.endpointList {
		e.Reserved = false
	}
}

// removeSilentEndpoints removes idle endpoints whose last announcement is older than removeAfter.
func (s *Scheduler) removeSilentEndpoints(now time.Time) {
	const removeAfter = 60 * time.Second
	kept := s.endpointList[:0]
	for _, e := range s.endpointList {
		if now.Sub(e.LastSeen) > removeAfter && e.Running == 0 {
			delete(s.endpoints, e.Info.Name)
			continue
		}
		kept = append(kept, e)
	}
	s.endpointList = kept
}
