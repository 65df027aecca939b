package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

// Finish ends a run. Unknown runs and reports of an earlier attempt are ignored.
func (s *Core) Finish(now time.Time, d Done) {
	r := s.running[d.ID]
	if r == nil || r.req.Attempt != d.Attempt {
		return
	}
	s.releaseRun(now, r, d)
	if d.Unsent {
		s.history.recordUnsent(&r.req)
	}
	s.dispatch(now)
}

// releaseRun removes a run, frees its slot and its reservation, and updates the estimates from what it measured.
func (s *Core) releaseRun(now time.Time, r *run, d Done) {
	s.history.recordRun(now, &r.req)
	delete(s.running, r.req.ID)
	r.flow.running--
	if e := s.endpointOf(r.target); e != nil {
		e.End()
		if d.Broken {
			e.Down = true
		}
		if !d.Unsent {
			e.Observe(d.Gap, d.First)
			s.adaptLimit(now, e)
		}
	}
	if d.Unsent {
		s.settleUsage(now, r, 0, true)
		return
	}
	if !d.Broken {
		s.serviceTime += serviceTimeSmoothing * (now.Sub(r.started).Seconds() - s.serviceTime)
		r.flow.recordOutput(d.Tokens)
		s.history.recordEnd(now, &r.req)
	}
	s.settleUsage(now, r, d.Tokens, false)
}

// adaptLimit adjusts an endpoint's concurrency limit to the measured token interval. The simpler choices, which serve as
// baselines in comparisons, keep a fixed limit.
func (s *Core) adaptLimit(now time.Time, e *route.Endpoint) {
	if s.opts.Choice != "" && s.opts.Choice != route.ByLoad {
		return
	}
	e.Adapt(now, s.opts.Gap)
	s.endpointsObserved = true
}

// settleUsage replaces the estimated output and the reserved cost of a run by the actual ones. An unsent run is charged nothing.
func (s *Core) settleUsage(now time.Time, r *run, outputTokens int, unsent bool) {
	used := outputTokens
	if unsent {
		used = -r.req.Input
	}
	r.flow.tokenBucket.Settle(now, float64(r.estimatedOutput-used))
	if r.reservedCost > 0 {
		actual := quota.Cost(r.req.Input+outputTokens, r.flow.terms.Price)
		if unsent {
			actual = 0
		}
		s.ceilingSlice(r.req.Customer).Release(max(r.reservedCost-actual, 0))
	}
}
