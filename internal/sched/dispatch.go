package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
)

// dispatch grants queued requests while there are free slots and a flow that may use them.
func (s *Scheduler) dispatch(now time.Time) {
	if now.Before(s.settledAt) || len(s.queued) == 0 {
		return
	}
	free := s.freeSlots(now)
	if free == 0 {
		return
	}
	slots := s.capacity(now)
	rate := s.grantRate(slots)
	s.unguaranteedCredit = min(
		s.unguaranteedCredit+now.Sub(s.unguaranteedAt).Seconds()*unguaranteedShare*rate, max(1, unguaranteedShare*slots))
	s.unguaranteedAt = now
	skipped := map[*flow]bool{}
	for f := range s.backlogged {
		f.accrueCredit(now, rate, slots)
	}
	for free > 0 {
		f, unguaranteed := s.nextFlow(skipped)
		if f == nil {
			return
		}
		if !s.grantFirst(now, f) {
			skipped[f] = true
			continue
		}
		free--
		f.credit = max(f.credit-1, 0)
		if unguaranteed {
			s.unguaranteedCredit--
		}
	}
}

// freeSlots returns the number of requests that may be granted now, including one for each idle endpoint that is reserved
// for an exclusive run.
func (s *Scheduler) freeSlots(now time.Time) int {
	n := 0
	for _, e := range s.endpointList {
		n += e.FreeSlots(now)
		if e.Reserved && e.Running == 0 && e.Live(now) {
			n++
		}
	}
	return n
}

// nextFlow selects the flow to serve next: first a class with credit from its guaranteed share; then, if unguaranteed credit
// is left, the class without a share that was served least recently; then, for spare capacity, by tier and by the number of
// running requests relative to the share. unguaranteed reports whether the grant uses the unguaranteed credit.
func (s *Scheduler) nextFlow(skipped map[*flow]bool) (best *flow, unguaranteed bool) {
	if s.opt.Policy == FIFO {
		return s.oldestFlow(skipped), false
	}
	var guaranteed, noShare, spare *flow
	for f := range s.backlogged {
		if skipped[f] {
			continue
		}
		if f.terms.Share > 0 && f.credit >= 1 && (guaranteed == nil || creditBefore(f, guaranteed)) {
			guaranteed = f
		}
		if f.terms.Share == 0 && s.unguaranteedCredit >= 1 && (noShare == nil || servedBefore(f, noShare)) {
			noShare = f
		}
		if spare == nil || spareBefore(f, spare) {
			spare = f
		}
	}
	switch {
	case guaranteed != nil:
		return guaranteed, false
	case noShare != nil:
		return noShare, true
	}
	return spare, false
}

// oldestFlow returns the flow whose first item arrived earliest.
func (s *Scheduler) oldestFlow(skipped map[*flow]bool) *flow {
	var best *flow
	for f := range s.backlogged {
		if skipped[f] {
			continue
		}
		if best == nil || f.queue[0].arrivedAt.Before(best.queue[0].arrivedAt) {
			best = f
		}
	}
	return best
}

// creditBefore orders flows with guaranteed credit: by tier, then by the larger credit.
func creditBefore(a, b *flow) bool {
	if a.terms.Tier != b.terms.Tier {
		return a.terms.Tier < b.terms.Tier
	}
	if a.credit != b.credit {
		return a.credit > b.credit
	}
	return keyBefore(a, b)
}

// servedBefore orders flows by the least recent grant.
func servedBefore(a, b *flow) bool {
	if !a.lastServed.Equal(b.lastServed) {
		return a.lastServed.Before(b.lastServed)
	}
	return keyBefore(a, b)
}

// spareBefore orders flows for spare capacity: by tier, then by the fewer running requests relative to the weight.
func spareBefore(a, b *flow) bool {
	if a.terms.Tier != b.terms.Tier {
		return a.terms.Tier < b.terms.Tier
	}
	loadA, loadB := float64(a.running)/a.weight(), float64(b.running)/b.weight()
	if loadA != loadB {
		return loadA < loadB
	}
	return servedBefore(a, b)
}

// keyBefore breaks ties, so that the choice does not depend on the order of map iteration.
func keyBefore(a, b *flow) bool {
	if a.key.customer != b.key.customer {
		return a.key.customer < b.key.customer
	}
	return a.key.class < b.key.class
}

// grantFirst grants the first item of a flow that can run now, and reports whether there was one.
func (s *Scheduler) grantFirst(now time.Time, f *flow) bool {
	// maxScan bounds the number of items that are tried per call.
	const maxScan = 8
	atLimit := f.atRunningLimit()
	for i, it := range f.queue {
		it.atRunningLimit = atLimit
		if i >= maxScan || atLimit {
			return false
		}
		if !s.reserveCost(now, it) {
			continue
		}
		e := s.chooseEndpoint(now, it)
		if e == nil {
			continue
		}
		s.grant(now, it, e)
		return true
	}
	return false
}

// chooseEndpoint returns the endpoint for an item, or nil if none is free for it. An exclusive request, one suspected of
// crashing endpoints, needs an endpoint that runs nothing else.
func (s *Scheduler) chooseEndpoint(now time.Time, it *queueItem) *route.Endpoint {
	if it.req.Exclusive {
		return s.exclusiveEndpoint(now, it)
	}
	return s.picker.Pick(now, s.endpointList, &it.routeRequest)
}

// exclusiveEndpoint returns an idle endpoint for an exclusive request. If there is none, it returns nil and reserves the least
// loaded endpoint, which then gets no new work until it is idle.
func (s *Scheduler) exclusiveEndpoint(now time.Time, it *queueItem) *route.Endpoint {
	taken := 0
	var least *route.Endpoint
	for _, e := range s.endpointList {
		if !e.Live(now) || it.routeRequest.Excludes(e) {
			continue
		}
		if e.Exclusive {
			taken++
			continue
		}
		if e.Running == 0 {
			return e
		}
		if e.Reserved {
			taken++
			continue
		}
		if least == nil || e.Running < least.Running {
			least = e
		}
	}
	if least != nil && taken < max(1, len(s.endpointList)/exclusiveDivisor) {
		least.Reserved = true
	}
	return nil
}

// grant starts an item on an endpoint and records the decision.
func (s *Scheduler) grant(now time.Time, it *queueItem, e *route.Endpoint) {
	e.Start(now)
	if it.req.Exclusive {
		e.Exclusive, e.Reserved = true, false
	}
	r := &run{
		req: it.req, flow: it.flow, startedAt: now, lastSeen: now,
		reservedCost: it.reservedCost, estimatedOutput: it.flow.estimatedOutput,
		target: Target{
			Name: e.Info.Name, Boot: e.Info.Boot, Addr: e.Info.Addr, Zone: e.Info.Zone, Kind: e.Info.Kind, Lookup: e.Info.Lookup,
			Build: e.Info.Build,
		},
	}
	it.reservedCost = 0
	s.dequeue(it)
	s.running[it.req.ID] = r
	mayHaveRun := s.history.mayHaveRun(now, &it.req)
	s.history.recordRun(now, &it.req)
	it.flow.running++
	it.flow.grants++
	it.flow.lastServed = now
	s.decisions = append(s.decisions, Decision{
		ID: it.req.ID, Requester: it.req.Entry, Attempt: it.req.Attempt, Kind: Granted, Epoch: s.epoch, Target: r.target,
		QueueTime: now.Sub(it.arrivedAt), MayHaveRun: mayHaveRun,
	})
}

// spendingSlice returns the slice of a customer's spending ceiling that this scheduler may use.
func (s *Scheduler) spendingSlice(customer string) *quota.SpendingSlice {
	slice := s.slices[customer]
	if slice == nil {
		slice = &quota.SpendingSlice{}
		s.slices[customer] = slice
	}
	return slice
}

// reserveCost reserves an item's maximum cost from the customer's slice and reports whether the item may run. If the slice is
// too small, it requests a larger one.
func (s *Scheduler) reserveCost(now time.Time, it *queueItem) bool {
	terms := it.flow.terms
	if it.costReserved || !terms.HasCeiling || terms.Price == 0 {
		it.costReserved = true
		return true
	}
	cost := quota.Cost(it.req.InputTokens+it.req.MaxOutputTokens, terms.Price)
	slice := s.spendingSlice(it.req.Customer)
	if slice.Reserve(cost) {
		it.reservedCost, it.costReserved = cost, true
		return true
	}
	if amount := slice.AmountToRequest(now); amount > 0 {
		s.sliceRequests = append(s.sliceRequests, SliceRequest{Customer: it.req.Customer, Amount: amount})
	}
	return false
}

// lacksFunds reports whether an item still needs a reservation from its customer's spending ceiling.
func (s *Scheduler) lacksFunds(it *queueItem) bool {
	terms := it.flow.terms
	return terms.HasCeiling && terms.Price > 0 && !it.costReserved
}

// AddSlice adds a slice of amount micro-euros that was acquired for a customer. If the ceiling is reached, queued requests that
// the slice cannot pay for are refused.
func (s *Scheduler) AddSlice(now time.Time, customer string, amount int64, ceilingReached bool) {
	slice := s.spendingSlice(customer)
	slice.AddAllocation(amount, ceilingReached)
	for f := range s.backlogged {
		if f.key.customer != customer {
			continue
		}
		for _, it := range append([]*queueItem(nil), f.queue...) {
			if s.lacksFunds(it) && slice.Exhausted(quota.Cost(it.req.InputTokens+it.req.MaxOutputTokens, f.terms.Price)) {
				s.drop(now, it, CeilingReached)
			}
		}
	}
	s.dispatch(now)
}

// DrainSlices empties all slices and returns the rest of each by customer, in micro-euros. It is called when the scheduler stops.
func (s *Scheduler) DrainSlices() map[string]int64 {
	unspent := map[string]int64{}
	for customer, slice := range s.slices {
		if left := slice.Drain(); left > 0 {
			unspent[customer] = left
		}
	}
	return unspent
}
