package sched

import (
	"time"
)

// Sync reconciles the running requests of an entry with its report. Reported runs that are unknown are adopted, which rebuilds
// the state after another instance has taken over the cell; runs that the entry no longer reports are released. The function
// terms returns the contract terms of a request, or false if its contract no longer exists.
func (s *Core) Sync(now time.Time, report Report, terms func(*Ask) (Terms, bool)) {
	held := make(map[string]bool, len(report.Runs))
	for i := range report.Runs {
		progress := &report.Runs[i]
		held[progress.Ask.ID] = true
		s.syncRun(now, progress, terms)
	}
	for id, r := range s.running {
		if r.req.Entry == report.Entry && !held[id] && now.Sub(r.started) > grantConfirmTimeout {
			s.releaseRun(now, r, Done{Unsent: true})
		}
	}
	s.dispatch(now)
}

// syncRun refreshes or adopts one reported run.
func (s *Core) syncRun(now time.Time, progress *Progress, terms func(*Ask) (Terms, bool)) {
	r := s.running[progress.Ask.ID]
	if r == nil {
		classTerms, ok := terms(&progress.Ask)
		if !ok {
			return
		}
		r = s.adoptRun(now, progress, classTerms)
	}
	if r.req.Entry != progress.Ask.Entry {
		return
	}
	r.lastSeen = now
	if e := s.endpointOf(r.target); e != nil && progress.Gap > 0 {
		e.Observe(progress.Gap, 0)
		s.adaptLimit(now, e)
	}
}

// adoptRun adds a run that was granted in an earlier epoch.
func (s *Core) adoptRun(now time.Time, progress *Progress, terms Terms) *run {
	if it := s.queued[progress.Ask.ID]; it != nil {
		s.dequeue(it)
	}
	f := s.flowFor(now, &progress.Ask, terms)
	r := &run{
		req: progress.Ask, flow: f, target: progress.Target, started: now.Add(-progress.Since), lastSeen: now,
		estimatedOutput: f.estimatedOutput,
	}
	s.running[progress.Ask.ID] = r
	s.history.recordRun(now, &progress.Ask)
	f.running++
	if e := s.endpointOf(progress.Target); e != nil {
		e.Running++
	}
	return r
}
