package sched

import (
	"time"

	"github.com/greengagewheel/greengagewheel/internal/quota"
	"github.com/greengagewheel/greengagewheel/internal/route"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	// entryTimeout is how long a queued or running request is kept without a message from its entry.
	entryTimeout = 5 * time.Second
	// grantConfirmTimeout is the time after a grant within which the entry must include the run in its reports.
	grantConfirmTimeout = 3 * time.Second
	// initialServiceTime is the expected service time of a request before the first one of the cell has completed.
	initialServiceTime = time.Second
	// unguaranteedShare is the fraction of the cell's capacity that is kept for classes without a guaranteed share.
	unguaranteedShare = 0.05
	// exclusiveDivisor limits exclusive runs: at most one in exclusiveDivisor of the endpoints is used for them at a time.
	exclusiveDivisor = 4
	// noEndpointRetry is the retry delay given to callers of a cell without endpoints.
	noEndpointRetry = 5 * time.Second
	// serviceTimeSmoothing is the weight of a new sample in the moving average of the service time.
	serviceTimeSmoothing = 0.05
	// noEndpointGrace is how long a cell may be without a live endpoint before its requests are refused.
	noEndpointGrace = 4 * time.Second
	// answerRetention is how long the scheduler relies on an entry to keep the answer of a completed run; the entry keeps it longer, 60 s.
	// The history keeps a grant for as long after the run was last known to run.
	answerRetention = 55 * time.Second
	// unconfirmedRetention is how long the scheduler expects an entry to tell how a run ended that it did not report.
	unconfirmedRetention = 10 * time.Minute
	// maxHistory is the largest number of grants that the history holds.
	maxHistory = 20_000
)

type (
	// run is one granted request.
	run struct {
		req       Request
		flow      *flow
		target    Target
		startedAt time.Time
		// lastSeen is when the entry last reported the run.
		lastSeen time.Time
		// reservedCost is the part of the spending ceiling reserved for the run, in micro-euros.
		reservedCost int64
		// estimatedOutput is the output length charged to the token bucket at admission, in tokens.
		estimatedOutput int
	}

	// SliceRequest asks for a slice of a customer's spending ceiling; Amount is in micro-euros.
	SliceRequest struct {
		Customer string
		Amount   int64
	}

	// Scheduler is the scheduler of one cell. It is not safe for concurrent use.
	Scheduler struct {
		opt   Options
		epoch uint64
		// settledAt is the time before which nothing is granted.
		settledAt time.Time
		flows     map[flowKey]*flow
		// backlogged holds the flows whose queue is not empty.
		backlogged map[*flow]bool
		// endpoints and endpointList hold the same endpoints, by name and in the order in which they were first announced.
		endpoints    map[string]*route.Endpoint
		endpointList []*route.Endpoint
		// queued and running are indexed by request ID.
		queued  map[string]*queueItem
		running map[string]*run
		// unconfirmed holds the released runs that their entries did not report, with their reservations, by request ID.
		unconfirmed map[string]*run
		// slices holds the part of each customer's spending ceiling that this scheduler may use.
		slices map[string]*quota.SpendingSlice
		// queuedByTier is the number of queued requests by tier. Its length exceeds the largest tier of a contract, contr.Tiers.
		queuedByTier [16]int
		// serviceTime is the moving average of the time from grant to completion, in seconds.
		serviceTime float64
		// unguaranteedCredit is the number of grants due to classes without a share, as of unguaranteedAt.
		unguaranteedCredit float64
		unguaranteedAt     time.Time
		// decisions and sliceRequests hold the output that was not taken yet.
		decisions     []Decision
		sliceRequests []SliceRequest
		// endpointsObserved is set if endpoints have new measurements since they were last compared.
		endpointsObserved bool
		picker            *route.Picker
		// lastLive is when the cell last had a live endpoint.
		lastLive time.Time
		history  *history
	}
)

// New returns a scheduler for one epoch of the cell's lease. It grants nothing until entries had opt.SettleTime to report
// their runs; granting earlier could exceed the slots of endpoints that still serve runs of the previous epoch.
func New(now time.Time, epoch uint64, opt Options) *Scheduler {
	return &Scheduler{
		opt: opt, epoch: epoch, settledAt: now.Add(opt.SettleTime), flows: map[flowKey]*flow{}, backlogged: map[*flow]bool{},
		endpoints: map[string]*route.Endpoint{}, queued: map[string]*queueItem{}, running: map[string]*run{}, unconfirmed: map[string]*run{},
		slices: map[string]*quota.SpendingSlice{}, serviceTime: initialServiceTime.Seconds(), unguaranteedAt: now, lastLive: now,
		history: newHistory(now, epoch), picker: route.New(opt.EndpointChoice, opt.Seed),
	}
}

// TakeOutput returns the decisions and the requests for spending slices made since the last call.
func (s *Scheduler) TakeOutput() ([]Decision, []SliceRequest) {
	decisions, sliceRequests := s.decisions, s.sliceRequests
	s.decisions, s.sliceRequests = nil, nil
	return decisions, sliceRequests
}

// flowFor returns the flow of a request's class, created or updated with the given terms.
func (s *Scheduler) flowFor(now time.Time, req *Request, terms Terms) *flow {
	key := flowKey{req.Customer, req.Class}
	f := s.flows[key]
	if f == nil {
		f = newFlow(now, key, terms)
		s.flows[key] = f
		return f
	}
	f.setTerms(now, terms)
	return f
}

// Submit queues a request, or refreshes one that is already known. The decision is returned by TakeOutput.
func (s *Scheduler) Submit(now time.Time, req Request, terms Terms) {
	if s.handleDuplicate(now, &req) {
		return
	}
	f := s.flowFor(now, &req, terms)
	if req.Attempt == 0 && !s.checkRates(now, f, &req) {
		return
	}
	it := &queueItem{
		req: req, flow: f, arrivedAt: now.Add(-req.Waited), lastSeen: now,
		routeRequest: route.Request{
			Zone: req.Zone, Blocks: req.PrefixBlocks, ExcludedBoots: req.ExcludedBoots, Bound: req.Bound, Build: req.Build,
		},
	}
	it.deadline = it.arrivedAt.Add(terms.MaxQueueTime)
	if s.withoutEndpoint(now) {
		s.refuse(now, &req, NoEndpoint, noEndpointRetry)
		return
	}
	s.enqueue(it)
	s.shedForArrival(now, it)
	s.dispatch(now)
}

// withoutEndpoint reports whether the cell has had no live endpoint for longer than noEndpointGrace.
func (s *Scheduler) withoutEndpoint(now time.Time) bool {
	for _, e := range s.endpointList {
		if e.Live(now) {
			s.lastLive = now
			return false
		}
	}
	return now.Sub(s.lastLive) > noEndpointGrace
}

// checkRates charges the request to the rate limits of its class. It refuses the request and returns false if it exceeds one.
func (s *Scheduler) checkRates(now time.Time, f *flow, req *Request) bool {
	if !f.tokenBucket.Take(now, float64(req.InputTokens+f.estimatedOutput)) {
		s.refuse(now, req, OverContract, f.tokenBucket.Wait(now))
		return false
	}
	if !f.requestBucket.Take(now, 1) {
		f.tokenBucket.Adjust(now, float64(req.InputTokens+f.estimatedOutput))
		s.refuse(now, req, OverContract, f.requestBucket.Wait(now))
		return false
	}
	return true
}

func (s *Scheduler) refuse(now time.Time, req *Request, code RefusalCode, retryAfter time.Duration) {
	s.decisions = append(s.decisions, Decision{
		ID: req.ID, Requester: req.Entry, Attempt: req.Attempt, Kind: Refused, Epoch: s.epoch, Code: code, RetryAfter: retryAfter,
		MayHaveRun: s.history.mayHaveRun(now, req),
	})
}

func (s *Scheduler) enqueue(it *queueItem) {
	it.flow.insert(it)
	s.queued[it.req.ID] = it
	s.queuedByTier[it.flow.terms.Tier]++
	s.backlogged[it.flow] = true
}

func (s *Scheduler) dequeue(it *queueItem) {
	it.flow.remove(it)
	delete(s.queued, it.req.ID)
	s.queuedByTier[it.flow.terms.Tier]--
	if len(it.flow.queue) == 0 {
		delete(s.backlogged, it.flow)
	}
	if it.reservedCost > 0 {
		s.spendingSlice(it.req.Customer).Release(it.reservedCost)
	}
}

// Cancel removes a queued request of the given entry; the caller no longer waits for it.
func (s *Scheduler) Cancel(now time.Time, id, entry string) {
	if it := s.queued[id]; it != nil && it.req.Entry == entry {
		s.dequeue(it)
	}
	s.dispatch(now)
}

// Announce processes an endpoint's announcement that was made age ago. An announcement older than the last one is ignored.
func (s *Scheduler) Announce(now time.Time, ann endpt.Announcement, age time.Duration) {
	madeAt := now.Add(-age)
	e := s.endpoints[ann.Name]
	switch {
	case e != nil && e.LastSeen.After(madeAt):
		return
	case e == nil || e.Info.Boot != ann.Boot:
		s.addEndpoint(madeAt, ann)
	default:
		e.Update(madeAt, ann)
	}
	s.dispatch(now)
}

// addEndpoint adds an endpoint, or replaces one that restarted, and counts the runs it already serves.
func (s *Scheduler) addEndpoint(madeAt time.Time, ann endpt.Announcement) {
	e := route.NewEndpoint(madeAt, ann, s.opt.SharedEndpoints)
	if old := s.endpoints[ann.Name]; old != nil {
		for i, known := range s.endpointList {
			if known == old {
				s.endpointList[i] = e
			}
		}
	} else {
		s.endpointList = append(s.endpointList, e)
	}
	s.endpoints[ann.Name] = e
	for _, r := range s.running {
		if r.target.Boot == ann.Boot {
			e.Running++
		}
	}
}

// endpointOf returns the endpoint of a run, or nil if that endpoint has restarted or was removed.
func (s *Scheduler) endpointOf(target Target) *route.Endpoint {
	e := s.endpoints[target.Name]
	if e == nil || e.Info.Boot != target.Boot {
		return nil
	}
	return e
}
