package sched

import (
	"time"
)

// handleDuplicate decides on a request whose ID is already queued, running or completed, and reports whether it did.
// It returns false for a new request, and for a new attempt that replaces an earlier one.
func (s *Core) handleDuplicate(now time.Time, req *Ask) bool {
	if it := s.queued[req.ID]; it != nil {
		switch {
		case it.req.Entry == req.Entry && it.req.Attempt == req.Attempt:
			it.lastSeen = now
			s.decisions = append(s.decisions, Verdict{
				ID: req.ID, Asker: req.Entry, Attempt: req.Attempt, Verb: Wait, Epoch: s.epoch,
			})
			return true
		case it.req.Entry != req.Entry && !req.Steal:
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
	case r.req.Entry != req.Entry && !req.Steal:
		s.redirect(req, r.req)
		return true
	case r.req.Entry != req.Entry:
		r.req.Entry, r.req.Addr, r.req.Attempt = req.Entry, req.Addr, req.Attempt
		r.lastSeen = now
		s.repeatGrant(req, r)
		return true
	}
	s.releaseRun(now, r, Done{Unsent: true})
	return false
}

// redirectToAnswer redirects a request that has completed to the entry that keeps its answer, and reports whether there is one.
func (s *Core) redirectToAnswer(now time.Time, req *Ask) bool {
	addr, ok := s.history.lookupAnswer(now, req)
	if !ok || req.Steal {
		return false
	}
	s.decisions = append(s.decisions, Verdict{
		ID: req.ID, Asker: req.Entry, Attempt: req.Attempt, Verb: Elsewhere, Epoch: s.epoch, Entry: addr,
	})
	return true
}

// redirect sends a request to the entry that already handles the request with this ID.
func (s *Core) redirect(req *Ask, holder Ask) {
	s.decisions = append(s.decisions, Verdict{
		ID: req.ID, Asker: req.Entry, Attempt: req.Attempt, Verb: Elsewhere, Epoch: s.epoch, Entry: holder.Addr,
	})
}

// repeatGrant returns the existing grant of a run again.
func (s *Core) repeatGrant(req *Ask, r *run) {
	s.decisions = append(s.decisions, Verdict{
		ID: req.ID, Asker: req.Entry, Attempt: req.Attempt, Verb: Granted, Epoch: s.epoch, Target: r.target, Before: req.Named,
	})
}
