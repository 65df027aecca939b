package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

// Finish ends a run. Unknown runs and reports of an earlier attempt are ignored.
func (s *Scheduler) Finish(now time.Time, completion Completion) {
	r := s.running[completion.ID]
	if r == nil || r.req.Attempt != completion.Attempt {
		s.settleUnconfirmed(completion)
		return
	}
	s.releaseRun(now, r, completion)
	if completion.Unsent && !completion.MayHaveRun {
		s.history.recordUnsent(&r.req)
	}
	s.dispatch(now)
}

// releaseRun removes a run, frees its slot and its reservation, and updates the estimates from what it measured.
func (s *Scheduler) releaseRun(now time.Time, r *run, completion Completion) {
	s.history.recordRun(now, &r.req)
	delete(s.running, r.req.ID)
	r.flow.running--
	if e := s.endpointOf(r.target); e != nil {
		e.End()
		if completion.EndpointFailed {
			e.Down = true
		}
		if !completion.Unsent {
			e.Observe(completion.TokenInterval, completion.FirstTokenTime)
			s.adaptLimit(now, e)
		}
	}
	if completion.Unsent {
		s.settleUsage(now, r, 0, true)
		return
	}
	if !completion.EndpointFailed {
		s.serviceTime += serviceTimeSmoothing * (now.Sub(r.startedAt).Seconds() - s.serviceTime)
		r.flow.recordOutput(completion.OutputTokens)
		s.history.recordEnd(now, &r.req)
	}
	s.settleUsage(now, r, completion.OutputTokens, false)
}

// releaseUnconfirmed removes a run that its entry does not report. The run may be in progress all the same, so what it reserved of
// a spending ceiling is only returned once the entry tells how it ended.
func (s *Scheduler) releaseUnconfirmed(now time.Time, r *run) {
	reserved := r.reservedCost
	r.reservedCost = 0
	s.releaseRun(now, r, Completion{Unsent: true})
	if reserved > 0 {
		r.reservedCost, r.lastSeen = reserved, now
		s.unconfirmed[r.req.ID] = r
	}
}

// settleUnconfirmed returns the unspent reservation of a run that was released unconfirmed.
func (s *Scheduler) settleUnconfirmed(completion Completion) {
	r := s.unconfirmed[completion.ID]
	if r == nil || r.req.Attempt != completion.Attempt {
		return
	}
	delete(s.unconfirmed, completion.ID)
	s.settleCost(r, completion.OutputTokens, completion.Unsent)
}

// forgetUnconfirmed forgets runs of which nothing was heard for long; their reservations count as spent.
func (s *Scheduler) forgetUnconfirmed(now time.Time) {
	for id, r := range s.unconfirmed {
		if now.Sub(r.lastSeen) > unconfirmedRetention {
			delete(s.unconfirmed, id)
		}
	}
}

// adaptLimit adjusts an endpoint's concurrency limit to the measured token interval. The simpler choices, which serve as
// baselines in comparisons, keep a fixed limit.
func (s *Scheduler) adaptLimit(now time.Time, e *route.Endpoint) {
	if s.opt.EndpointChoice != "" && s.opt.EndpointChoice != route.ByLoad {
		return
	}
	e.Adapt(now, s.opt.TokenIntervalTarget)
	s.endpointsObserved = true
}

// settleUsage replaces the estimated output and the reserved cost of a run by the actual ones. An unsent run is charged nothing, so
// that its input tokens are returned to the token bucket too.
func (s *Scheduler) settleUsage(now time.Time, r *run, outputTokens int, unsent bool) {
	used := outputTokens
	if unsent {
		used = -r.req.InputTokens
	}
	r.flow.tokenBucket.Adjust(now, float64(r.estimatedOutput-used))
	s.settleCost(r, outputTokens, unsent)
}

// settleCost returns the unspent part of what a run reserved of its customer's spending ceiling.
func (s *Scheduler) settleCost(r *run, outputTokens int, unsent bool) {
	if r.reservedCost == 0 {
		return
	}
	actual := quota.Cost(r.req.InputTokens+outputTokens, r.flow.terms.Price)
	if unsent {
		actual = 0
	}
	s.spendingSlice(r.req.Customer).Release(max(r.reservedCost-actual, 0))
}
