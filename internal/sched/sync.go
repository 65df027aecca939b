package sched

import (
	"time"
)

// Sync reconciles the running requests of an entry with its report. Reported runs that are unknown are adopted, which rebuilds
// the state after another instance has taken over the cell; runs that the entry no longer reports are released, but may be reported again. The function
// terms returns the contract terms of a request, or false if its contract no longer exists.
func (s *Scheduler) Sync(now time.Time, report EntryReport, terms func(*Request) (Terms, bool)) {
	reported := make(map[string]bool, len(report.Runs))
	for i := range report.Runs {
		runReport := &report.Runs[i]
		reported[runReport.Request.ID] = true
		s.syncRun(now, runReport, terms)
	}
	for id, r := range s.running {
		if r.req.Entry == report.Entry && !reported[id] && now.Sub(r.startedAt) > grantConfirmTimeout {
			s.releaseUnconfirmed(now, r)
		}
	}
	s.dispatch(now)
}

// syncRun refreshes or adopts one reported run.
func (s *Scheduler) syncRun(now time.Time, runReport *RunReport, terms func(*Request) (Terms, bool)) {
	r := s.running[runReport.Request.ID]
	if r == nil {
		classTerms, ok := terms(&runReport.Request)
		if !ok {
			return
		}
		r = s.adoptRun(now, runReport, classTerms)
	}
	if r.req.Entry != runReport.Request.Entry {
		return
	}
	r.lastSeen = now
	if e := s.endpointOf(r.target); e != nil && runReport.TokenInterval > 0 {
		e.Observe(runReport.TokenInterval, 0)
		s.adaptLimit(now, e)
	}
}

// adoptRun adds a run that was granted in an earlier epoch.
func (s *Scheduler) adoptRun(now time.Time, runReport *RunReport, terms Terms) *run {
	if it := s.queued[runReport.Request.ID]; it != nil {
		s.dequeue(it)
	}
	f := s.flowFor(now, &runReport.Request, terms)
	r := &run{
		req: runReport.Request, flow: f, target: runReport.Target, startedAt: now.Add(-runReport.RunningFor), lastSeen: now,
		estimatedOutput: f.estimatedOutput,
	}
	if lost := s.unconfirmed[r.req.ID]; lost != nil && lost.req.Attempt == r.req.Attempt {
		r.reservedCost = lost.reservedCost
		delete(s.unconfirmed, r.req.ID)
	}
	s.running[runReport.Request.ID] = r
	s.history.recordRun(now, &runReport.Request)
	f.running++
	if e := s.endpointOf(runReport.Target); e != nil {
		e.Running++
	}
	return r
}
