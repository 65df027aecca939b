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
		return
	}
	s.releaseRun(now, r, completion)
	if completion.Unsent {
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
	if r.reservedCost > 0 {
		actual := quota.Cost(r.req.InputTokens+outputTokens, r.flow.terms.Price)
		if unsent {
			actual = 0
		}
		s.spendingSlice(r.req.Customer).Release(max(r.reservedCost-actual, 0))
	}
}
