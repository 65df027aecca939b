package picker

import (
	"context"
	"errors"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

const (
	// hedgeDelay is the time without an answer from the leader after which the request is sent again over another connection, as
	// a packet may be lost.
	hedgeDelay = 20 * time.Millisecond
	// answerTimeout is how long a placement waits for the leader: a few round trips between zones, for both attempts of
	// the hedged call.
	answerTimeout = 45 * time.Millisecond
	// newLeaderTimeout is how long placements wait for a leader that has not answered yet: connections must be made, and after a loss of
	// power all entry instances make them at once. It is at most one in newLeaderWaitDivisor of the latency objective. Without the
	// leader, which knows the engines' caches, most prompts would be prefilled again.
	newLeaderTimeout     = 200 * time.Millisecond
	newLeaderWaitDivisor = 4
	// callTimeout is the time after which an unanswered call fails and its connection is closed.
	callTimeout = time.Second
	// maxMisses is the number of consecutive missed answers after which the leader is not asked for a while.
	maxMisses = 2
	// leaderBackoff is the time for which the leader is not asked after maxMisses missed answers.
	leaderBackoff = 500 * time.Millisecond
	// flushInterval is the maximum time that events wait for a placement request to be sent with.
	flushInterval = 100 * time.Millisecond
	// usageDelay is the time that counted requests wait for others to be reported with. What waits is lost with the entry instance, so it
	// is far below flushInterval: with half of the instances killed at once, 20 ms lose 1 in 500 requests of a window of 5 s.
	usageDelay = 20 * time.Millisecond
	// limitInterval is the minimum time between two reports of an endpoint's unchanged limit to the leader.
	limitInterval = 250 * time.Millisecond
	// maxLoadsAge is the age at which the leader's last report of other entry instances' load is discarded.
	maxLoadsAge = 2*time.Second + loadsInterval
)

// ErrNoEndpoint is returned if no endpoint of a service can take a request.
var ErrNoEndpoint = errors.New("no endpoint can take the request")

type (
	// Options configures a Picker; with Standalone set it never asks the leader.
	Options struct {
		Self       ctrl.Instance
		Links      *peer.Links
		View       func() *ctrl.View
		Leader     func() netip.AddrPort
		Now        func() time.Time
		Standalone bool
		// Usage, if set, holds the usage to report to the leader.
		Usage Usage
		Log   *zap.Logger
	}

	// Usage counts the requests that endpoints began, and is reported to the leader with other messages.
	Usage interface {
		// Changed receives a value after requests were counted. Due reports whether a message must be sent for the usage alone.
		Changed() <-chan struct{}
		Due(leader netip.AddrPort) bool
		// Message returns what a leader has not acknowledged, or nil if it takes no usage. Acknowledge takes its answer.
		Message(leader netip.AddrPort) *usage.Message
		Acknowledge(leader netip.AddrPort, msg *usage.Message, ack *usage.Ack)
	}

	// Picker chooses endpoints for one entry instance.
	Picker struct {
		opt      Options
		mu       sync.Mutex
		balancer *place.Balancer
		// syncedView is the configuration that the balancer was last updated to.
		syncedView *ctrl.View
		attempts   map[string]attempt
		// events holds the events that were not sent to the leader yet.
		events []place.Event
		// leader is the leader that the events are meant for.
		leader netip.AddrPort
		// leaderIsNew is set until the leader has answered or missed maxMisses answers.
		leaderIsNew bool
		// misses is the number of consecutive answers of the leader that were not in time.
		misses       int
		backoffUntil time.Time
		// limitSentAt is when the limit of each endpoint was last reported to the leader.
		limitSentAt map[string]time.Time
		// brittleSentAt is when the brittleness of each endpoint was last reported to the leader.
		brittleSentAt map[string]time.Time
		// loadsAt is the time of the leader's last report of other entry instances' load.
		loadsAt  time.Time
		sequence atomic.Uint64
	}

	// attempt is an attempt in progress and the endpoint that it was sent to.
	attempt struct {
		req        place.Request
		endpointID string
	}
)

// New returns a picker without attempts in progress.
func New(opt Options) *Picker {
	return &Picker{opt: opt, balancer: place.New(), attempts: map[string]attempt{}, limitSentAt: map[string]time.Time{},
		brittleSentAt: map[string]time.Time{}}
}

// Pick chooses the endpoint for a request and records the attempt; byLeader is set if the leader chose. It returns ErrNoEndpoint if
// no endpoint can take the request, a place.LimitedError if only limits of endpoints are the reason, or the error of the context.
func (p *Picker) Pick(ctx context.Context, req place.Request) (choice place.Choice, byLeader bool, err error) {
	req.Entry, req.Zone = p.opt.Self.Name, p.opt.Self.Zone
	reply, answered := p.requestPlacement(ctx, req)
	if ctx.Err() != nil {
		p.RecordOutcome(req.AttemptID, place.CallerLeft)
		return choice, false, ctx.Err()
	}
	if answered && req.Build != "" && reply.Found && reply.Choice.Build != req.Build {
		// The leader's build knows no software versions, so this instance chooses.
		answered = false
	}
	if answered {
		if !reply.Found {
			return choice, true, noEndpoint(reply.LimitedFor)
		}
		p.recordChoice(req, reply)
		return reply.Choice, true, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.syncBalancer()
	choice, found := p.balancer.Place(now, req)
	if !found {
		return choice, false, noEndpoint(p.balancer.LimitedFor(now, &req))
	}
	choice.LoadAge = now.Sub(p.loadsAt)
	p.attempts[req.AttemptID] = attempt{req, choice.ID}
	p.events = append(p.events, place.Event{AttemptID: req.AttemptID, Start: &req, EndpointID: choice.ID})
	return choice, false, nil
}

// noEndpoint returns the error for a request that no endpoint takes; limitedFor is the time for which only limits are the reason.
func noEndpoint(limitedFor time.Duration) error {
	if limitedFor > 0 {
		return &place.LimitedError{Wait: limitedFor}
	}
	return ErrNoEndpoint
}

// syncBalancer updates the balancer to the current configuration and returns the current time. The caller holds p.mu.
func (p *Picker) syncBalancer() time.Time {
	now := p.opt.Now()
	if view := p.opt.View(); view != p.syncedView {
		p.syncedView = view
		p.balancer.Sync(view.Endpoints, view.Table)
		p.balancer.SetInstances(p.opt.Self.Name, len(view.Instances))
		for _, sentAt := range []map[string]time.Time{p.limitSentAt, p.brittleSentAt} {
			maps.DeleteFunc(sentAt, func(id string, _ time.Time) bool {
				_, known := view.Endpoints[id]
				return !known
			})
		}
	}
	if now.Sub(p.loadsAt) > maxLoadsAge {
		p.balancer.ClearOtherLoad()
	}
	return now
}

// recordChoice records the leader's choice in the balancer.
func (p *Picker) recordChoice(req place.Request, reply LeaderReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.syncBalancer()
	if reply.Loads != nil {
		p.balancer.SetOtherLoad(now, *reply.Loads)
		p.loadsAt = now
	}
	p.attempts[req.AttemptID] = attempt{req, reply.Choice.ID}
	p.balancer.Apply(now, place.Event{AttemptID: req.AttemptID, Start: &req, EndpointID: reply.Choice.ID})
}

// requestPlacement asks the leader for a placement. It returns false if the leader is not known, in backoff,
// did not answer in time, or does not lead.
func (p *Picker) requestPlacement(ctx context.Context, req place.Request) (LeaderReply, bool) {
	leader, events, ok := p.takeEvents(true)
	if !ok {
		return LeaderReply{}, false
	}
	replies := make(chan LeaderReply, 1)
	go func() {
		reply, err := p.call(leader, LeaderRequest{Request: &req, Events: events})
		if err != nil {
			p.requeue(events)
			return
		}
		replies <- reply
	}()
	t := time.NewTimer(p.answerTimeout(req.LatencyTarget))
	defer t.Stop()
	select {
	case reply := <-replies:
		p.recordAnswer(reply.IsLeader)
		return reply, reply.IsLeader
	case <-ctx.Done():
		return LeaderReply{}, false
	case <-t.C:
	}
	p.recordAnswer(false)
	return LeaderReply{}, false
}

func (p *Picker) call(leader netip.AddrPort, req LeaderRequest) (LeaderReply, error) {
	req.Entry, req.Boot, req.Sequence, req.BindsStreams = p.opt.Self.Name, p.opt.Self.Boot, p.sequence.Add(1), true
	if p.opt.Usage != nil {
		req.Usage = p.opt.Usage.Message(leader)
	}
	var reply LeaderReply
	err := p.opt.Links.CallHedged(context.Background(), leader, peer.Ask, hedgeDelay, callTimeout, req, &reply)
	if err == nil && p.opt.Usage != nil {
		p.opt.Usage.Acknowledge(leader, req.Usage, reply.Usage)
	}
	return reply, err
}

// answerTimeout returns how long a placement waits for the leader.
func (p *Picker) answerTimeout(latencyTarget time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaderIsNew {
		return answerTimeout
	}
	return max(answerTimeout, min(newLeaderTimeout, latencyTarget/newLeaderWaitDivisor))
}

// recordAnswer records whether the leader answered in time, and starts the backoff after maxMisses misses in a row.
func (p *Picker) recordAnswer(inTime bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inTime {
		p.misses, p.leaderIsNew = 0, false
		return
	}
	if p.misses++; p.misses == maxMisses {
		p.leaderIsNew = false
		p.misses, p.backoffUntil = 0, p.opt.Now().Add(leaderBackoff)
		p.opt.Log.Warn("leader does not place requests; this entry does",
			zap.Stringer("leader", p.leader), zap.Duration("for", leaderBackoff))
	}
}

// takeEvents returns the leader and removes the pending events to send to it. It returns false if the leader cannot be asked,
// and, unless always is set, if there are no events. A new leader receives all attempts in progress instead.
func (p *Picker) takeEvents(always bool) (netip.AddrPort, []place.Event, bool) {
	if p.opt.Standalone {
		return netip.AddrPort{}, nil, false
	}
	leader := p.opt.Leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leader.IsValid() || p.opt.Now().Before(p.backoffUntil) {
		return leader, nil, false
	}
	if leader != p.leader {
		p.leader, p.misses, p.leaderIsNew = leader, 0, true
		p.events = nil
		for id, a := range p.attempts {
			p.events = append(p.events, place.Event{AttemptID: id, Start: &a.req, EndpointID: a.endpointID})
		}
		for _, limit := range p.balancer.Limits(p.opt.Now(), "") {
			if !limit.Lifted {
				p.events = append(p.events, place.Event{Limit: &limit})
			}
		}
		for _, told := range p.balancer.Brittles(p.opt.Now(), "") {
			if !told.Lifted {
				p.events = append(p.events, place.Event{Brittle: &told})
			}
		}
		for _, told := range p.balancer.Speeds() {
			p.events = append(p.events, place.Event{Speed: &told})
		}
	}
	events := p.events
	p.events = nil
	due := always || len(events) > 0 || p.opt.Usage != nil && p.opt.Usage.Due(leader)
	return leader, events, due
}

// requeue restores events that did not reach the leader; it drops them if there would be more than maxEvents.
func (p *Picker) requeue(events []place.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.events)+len(events) <= maxEvents {
		p.events = append(events, p.events...)
	}
}

// RecordFirstAnswer records the time from the start of an attempt to its first answer.
func (p *Picker) RecordFirstAnswer(attemptID string, latency time.Duration) {
	p.record(place.Event{AttemptID: attemptID, FirstAnswer: latency})
}

// RecordPause records the longest time between two events of an attempt's stream.
func (p *Picker) RecordPause(attemptID string, longest time.Duration) {
	p.record(place.Event{AttemptID: attemptID, LongestPause: longest})
}

// RecordOutcome records the outcome of an attempt.
func (p *Picker) RecordOutcome(attemptID string, outcome place.Outcome) {
	p.record(place.Event{AttemptID: attemptID, Outcome: outcome})
}

func (p *Picker) record(e place.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Outcome != 0 {
		delete(p.attempts, e.AttemptID)
	}
	p.balancer.Apply(p.opt.Now(), e)
	if !p.opt.Standalone && len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// RecordLimit records what an endpoint said of its limit in an answer. News go to the leader at once, repetitions at intervals, as
// they tell that the limit is still in force.
func (p *Picker) RecordLimit(limit place.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.syncBalancer()
	news := p.balancer.RecordLimit(now, limit)
	p.reportTold(now, p.limitSentAt, limit.EndpointID, news, limit.Lifted, place.Event{Limit: &limit})
}

// RecordBrittle records what an endpoint said of its brittleness in an answer, and reports it to the leader like a limit.
func (p *Picker) RecordBrittle(told place.Brittle) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.syncBalancer()
	news := p.balancer.RecordBrittle(now, told)
	p.reportTold(now, p.brittleSentAt, told.EndpointID, news, told.Lifted, place.Event{Brittle: &told})
}

// reportTold reports to the leader what an endpoint said of itself: news at once, what is in force at intervals. The caller holds p.mu.
func (p *Picker) reportTold(now time.Time, sentAt map[string]time.Time, endpointID string, news, lifted bool, e place.Event) {
	if lifted && !news || p.opt.Standalone || len(p.events) >= maxEvents {
		return
	}
	if !news && now.Sub(sentAt[endpointID]) < limitInterval {
		return
	}
	sentAt[endpointID] = now
	p.events = append(p.events, e)
}

// BrittleEndpoints returns the number of endpoints that are known to be brittle.
func (p *Picker) BrittleEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.BrittleEndpoints()
}

// LimitedEndpoints returns the number of endpoints that are known to name a limit.
func (p *Picker) LimitedEndpoints() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balancer.LimitedEndpoints()
}

// Running returns the number of attempts in progress.
func (p *Picker) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.attempts)
}

// Run sends pending events to the leader periodically, until the context is done. With usage, they are sent soon after requests were
// counted.
func (p *Picker) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	if p.opt.Usage != nil {
		wg.Go(func() { p.sendUsage(ctx) })
	}
	pace.Every(ctx, flushInterval, func() {
		p.mu.Lock()
		p.balancer.Tick(p.syncBalancer())
		p.mu.Unlock()
		p.flush()
	})
}

// sendUsage sends pending events and usage soon after requests were counted.
func (p *Picker) sendUsage(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.opt.Usage.Changed():
		}
		if !pace.Sleep(ctx, usageDelay) {
			return
		}
		p.flush()
	}
}

// flush sends pending events and usage to the leader.
func (p *Picker) flush() {
	leader, events, ok := p.takeEvents(false)
	if !ok {
		return
	}
	if _, err := p.call(leader, LeaderRequest{Events: events}); err != nil {
		p.requeue(events)
		p.opt.Log.Debug("events of attempts not sent to the leader", zap.Error(err))
	}
}
