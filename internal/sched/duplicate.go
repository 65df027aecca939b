package sched

import (
	"time"
)

// handleDuplicate decides on a request whose ID is already queued, running or completed, and reports whether it did.
// It returns false for a new request, and for a new attempt that replaces an earlier one.
func (s *Scheduler) handleDuplicate(now time.Time, req *Request) bool {
	if it := s.queued[req.ID]; it != nil {
		switch {
		case it.req.Entry == req.Entry && it.req.Attempt == req.Attempt:
			it.lastSeen = now
			s.decisions = append(s.decisions, Decision{
				ID: req.ID, Requester: req.Entry, Attempt: req.Attempt, Kind: Waiting, Epoch: s.epoch,
			})
			return true
		case it.req.Entry != req.Entry && !req.TakeOver:
			s.redirect(req, it.req)
			return true
		}
		s.dequeue(it)
		return false
	}
	r := s.running[req.ID]
	if r == nil {
		return s.redirectToAnswer(now, req)
	}
	switch {
	case r.req.Entry == req.Entry && r.req.Attempt == req.Attempt:
		s.repeatGrant(req, r)
		return true
	case r.req.Entry != req.Entry && !req.TakeOver:
		s.redirect(req, r.req)
		return true
	case r.req.Entry != req.Entry:
		r.req.Entry, r.req.EntryAddr, r.req.Attempt = req.Entry, req.EntryAddr, req.Attempt
		r.lastSeen = now
		s.repeatGrant(req, r)
		return true
	}
	s.releaseRun(now, r, Completion{Unsent: true})
	return false
}

// redirectToAnswer redirects a request that has completed to the entry that keeps its answer, and reports whether there is one.
func (s *Scheduler) redirectToAnswer(now time.Time, req *Request) bool {
	addr, ok := s.history.lookupAnswer(now, req)
	if !ok || req.TakeOver {
		return false
	}
	s.decisions = append(s.decisions, Decision{
		ID: req.ID, Requester: req.Entry, Attempt: req.Attempt, Kind: Redirected, Epoch: s.epoch, EntryAddr: addr,
	})
	return true
}

// redirect sends a request to the entry that already handles the request with this ID.
func (s *Scheduler) redirect(req *Request, existing Request) {
	s.decisions = append(s.decisions, Decision{
		ID: req.ID, Requester: req.Entry, Attempt: req.Attempt, Kind: Redirected, Epoch: s.epoch, EntryAddr: existing.EntryAddr,
	})
}

// repeatGrant returns the existing grant of a run again.
func (s *Scheduler) repeatGrant(req *Request, r *run) {
	s.decisions = append(s.decisions, Decision{
		ID: req.ID, Requester: req.Entry, Attempt: req.Attempt, Kind: Granted, Epoch: s.epoch, Target: r.target,
		MayHaveRun: req.IDFromCaller,
	})
}
