package sched

import (
	"time"
)

// Sync reconciles the running requests of an entry with its report. Reported runs that are unknown are adopted, which rebuilds
// the state after another instance has taken over the cell; runs that the entry no longer reports are released. The function
// terms returns the contract terms of a request, or false if its contract no longer exists.
func (s *Scheduler) Sync(now time.Time, report EntryReport, terms func(*Request) (Terms, bool)) {
	held := make(map[string]bool, len(report.Runs))
	for i := range report.Runs {
		progress := &report.Runs[i]
		held[progress.Request.ID] = true
		s.syncRun(now, progress, terms)
	}
	for id, r := range s.running {
		if r.req.Entry == report.Entry && !held[id] && now.Sub(r.startedAt) > grantConfirmTimeout {
			s.releaseRun(now, r, Completion{Unsent: true})
		}
	}
	s.dispatch(now)
}

// syncRun refreshes or adopts one reported run.
func (s *Scheduler) syncRun(now time.Time, progress *RunReport, terms func(*Request) (Terms, bool)) {
	r := s.running[progress.Request.ID]
	if r == nil {
		classTerms, ok := terms(&progress.Request)
		if !ok {
			return
		}
		r = s.adoptRun(now, progress, classTerms)
	}
	if r.req.Entry != progress.Request.Entry {
		return
	}
	r.lastSeen = now
	if e := s.endpointOf(r.target); e != nil && progress.TokenInterval > 0 {
		e.Observe(progress.TokenInterval, 0)
		s.adaptLimit(now, e)
	}
}

// adoptRun adds a run that was granted in an earlier epoch.
func (s *Scheduler) adoptRun(now time.Time, progress *RunReport, terms Terms) *run {
	if it := s.queued[progress.Request.ID]; it != nil {
		s.dequeue(it)
	}
	f := s.flowFor(now, &progress.Request, terms)
	r := &run{
		req: progress.Request, flow: f, target: progress.Target, startedAt: now.Add(-progress.RunningFor), lastSeen: now,
		estimatedOutput: f.estimatedOutput,
	}
	s.running[progress.Request.ID] = r
	s.history.recordRun(now, &progress.Request)
	f.running++
	if e := s.endpointOf(progress.Target); e != nil {
		e.Running++
	}
	return r
}
