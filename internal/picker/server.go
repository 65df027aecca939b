package picker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

const (
	// tickInterval is the interval at which the leader updates its balancer.
	tickInterval = 100 * time.Millisecond
	// maxEvents is the maximum number of events in a request; the rest is dropped.
	maxEvents = 4096
	// dedupWindow is the number of recent requests of an entry instance that are remembered to detect duplicates.
	dedupWindow = 512
	// loadsInterval is the minimum time between two reports of a service's load to an entry instance, which uses them only while
	// the leader does not answer.
	loadsInterval = time.Second
	// loadsIntervalPerEntry makes the interval longer where there are many entry instances, so that the reports of all together take
	// no more of the leader's time and of the traffic between zones. It is at most maxLoadsInterval, as entry instances discard older
	// reports.
	loadsIntervalPerEntry = 8 * time.Millisecond
	maxLoadsInterval      = 2500 * time.Millisecond
	// unreportedFor is the time after the first request of an entry instance in which it may go on with streams that broke off before, of
	// which a new leader has not heard.
	unreportedFor = time.Second
	// maxCacheQueries is the maximum number of concurrent cache queries to engines.
	maxCacheQueries = 64
	// cacheQueryTimeout is the timeout of a cache query to an engine.
	cacheQueryTimeout = time.Second
)

type (
	// LeaderRequest asks the leader for a placement, reports events of earlier placements, or both.
	LeaderRequest struct {
		// Entry is the name of the entry instance, Boot identifies one process start of it.
		Entry string `json:"entry"`
		Boot  string `json:"boot"`
		// Sequence numbers the requests of a process start from 1, as each request may be delivered twice.
		Sequence uint64         `json:"number"`
		Request  *place.Request `json:"request,omitempty"`
		Events   []place.Event  `json:"events,omitempty"`
		// BindsStreams tells that the entry instance names the software version that a stream is bound to. Without it, the leader
		// binds streams that go on within one answer.
		BindsStreams bool `json:"binds,omitempty"`
		// Origin, if set, is about the origins of streams; it may be sent to any instance, and no other field counts.
		Origin *origin.Message `json:"origin,omitempty"`
		// Usage reports the requests that endpoints began for the entry instance.
		Usage *usage.Message `json:"usage,omitempty"`
		// UsageCopy, if set, is about the counts of all entry instances; it is sent between replicas, and no other field counts.
		UsageCopy *usage.Copy `json:"usageCopy,omitempty"`
	}

	// LeaderReply is the answer to a LeaderRequest.
	LeaderReply struct {
		// IsLeader is unset if the instance is not the leader; the request was not processed then.
		IsLeader bool `json:"leads"`
		// Found is unset if no endpoint can take the request.
		Found bool `json:"found"`
		// LimitedFor is the time until an endpoint can take the request, if only limits of endpoints are the reason that none can.
		LimitedFor time.Duration `json:"limited,omitempty"`
		Choice     place.Choice  `json:"choice"`
		// Loads is the load from other entry instances, omitted if it was sent recently.
		Loads *place.ServiceLoad `json:"loads,omitempty"`
		// Origin answers the Origin of the request.
		Origin *origin.Reply `json:"origin,omitempty"`
		// Usage acknowledges the Usage of the request, UsageCopy answers the UsageCopy.
		Usage     *usage.Ack  `json:"usage,omitempty"`
		UsageCopy *usage.Copy `json:"usageCopy,omitempty"`
	}

	// Engines queries model engines.
	Engines interface {
		// CachedParts returns the prompt parts in an engine's cache, least recently used first.
		CachedParts(ctx context.Context, addr netip.AddrPort) ([]place.PromptPart, error)
	}

	// ServerOptions configures a Server. IsLeader reports whether this instance is the leader of the log.
	ServerOptions struct {
		View     func() *ctrl.View
		IsLeader func() bool
		Engines  Engines
		Now      func() time.Time
		Log      *zap.Logger
	}

	// entryState is what the leader remembers of an entry instance since its last start.
	entryState struct {
		boot string
		// since is the time of the first request.
		since time.Time
		// recent holds the sequence numbers of the latest requests, each at the index of its number modulo dedupWindow.
		recent [dedupWindow]uint64
		// loadsSentAt is the time of the last load report by service.
		loadsSentAt map[string]time.Time
	}

	// Server places the requests of all entry instances while this instance is the leader of the log.
	Server struct {
		opt        ServerOptions
		mu         sync.Mutex
		balancer   *place.Balancer
		syncedView *ctrl.View
		entries    map[string]*entryState
		isLeader   bool
		wg         conc.WaitGroup
	}
)

// NewServer returns a Server with an empty balancer.
func NewServer(opt ServerOptions) *Server {
	return &Server{opt: opt, balancer: place.New(), entries: map[string]*entryState{}}
}

// Serve handles a request of an entry instance.
func (s *Server) Serve(_ context.Context, req LeaderRequest) (LeaderReply, error) {
	now := s.opt.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncLeadership() {
		return LeaderReply{}, nil
	}
	reply := LeaderReply{IsLeader: true}
	duplicate := s.isDuplicate(now, &req)
	if !duplicate {
		s.applyEvents(now, req.Events)
	}
	switch {
	case req.Request == nil:
	case duplicate && !s.balancer.HasAttempt(req.Request.AttemptID):
		// The attempt of the first delivery has already ended, so its answer was received.
	default:
		if !s.bindStream(now, &req) {
			break
		}
		if reply.Choice, reply.Found = s.balancer.Place(now, *req.Request); !reply.Found {
			reply.LimitedFor = s.balancer.LimitedFor(now, req.Request)
		}
		reply.Loads = s.loadsFor(now, &req)
	}
	return reply, nil
}

// bindStream binds a request that goes on with a stream to the version at which that began, if its entry instance does not. It returns
// false if the version is not known, as the stream must not go on then.
func (s *Server) bindStream(now time.Time, req *LeaderRequest) bool {
	if req.BindsStreams || req.Request.Build != "" {
		return true
	}
	build, begun := s.balancer.BegunBuild(now, req.Request.AttemptID)
	if !begun && now.Sub(s.entries[req.Entry].since) < unreportedFor {
		// The endpoints to avoid are those at which the stream broke off, if it did, and some that take no requests.
		builds := s.balancer.EngineBuilds(req.Request.Service, req.Request.ExcludedIDs)
		if begun = len(builds) > 0; len(builds) == 1 {
			build = builds[0]
		}
	}
	req.Request.Build = build
	return !begun || build != ""
}

// loadsFor returns the load of the requested service, or nil if it was sent to the entry instance recently.
func (s *Server) loadsFor(now time.Time, req *LeaderRequest) *place.ServiceLoad {
	sentAt, service := s.entries[req.Entry].loadsSentAt, req.Request.Service
	interval := loadsInterval
	if !s.balancer.HasNotices(service) {
		interval = reportInterval(len(s.entries))
	}
	if at, ok := sentAt[service]; ok && now.Sub(at) < interval {
		return nil
	}
	sentAt[service] = now
	loads := s.balancer.LoadExcept(now, service, req.Entry)
	return &loads
}

// reportInterval returns the time between two reports of a service without limited or brittle endpoints, by the number of entry
// instances.
func reportInterval(entries int) time.Duration {
	return min(max(loadsInterval, time.Duration(entries)*loadsIntervalPerEntry), maxLoadsInterval)
}

// isDuplicate records a request and reports whether it was received before. It ends the attempts of an entry instance that has
// restarted.
func (s *Server) isDuplicate(now time.Time, req *LeaderRequest) bool {
	entry := s.entries[req.Entry]
	if entry == nil || entry.boot != req.Boot {
		if entry != nil {
			s.balancer.EndEntry(now, req.Entry)
		}
		entry = &entryState{boot: req.Boot, since: now, loadsSentAt: map[string]time.Time{}}
		s.entries[req.Entry] = entry
	}
	slot := &entry.recent[req.Sequence%dedupWindow]
	if *slot == req.Sequence && req.Sequence > 0 {
		return true
	}
	*slot = max(*slot, req.Sequence)
	return false
}

func (s *Server) applyEvents(now time.Time, events []place.Event) {
	if len(events) > maxEvents {
		events = events[:maxEvents]
	}
	for _, e := range events {
		s.balancer.Apply(now, e)
	}
}

// syncLeadership updates the balancer to the current configuration and reports whether this instance is the leader. The balancer
// is empty after a change of leadership.
func (s *Server) syncLeadership() bool {
	leads := s.opt.IsLeader()
	if leads != s.isLeader {
		s.isLeader = leads
		s.balancer, s.syncedView, s.entries = place.New(), nil, map[string]*entryState{}
		s.opt.Log.Info("placement of requests started or stopped with log leadership", zap.Bool("here", leads))
	}
	if !leads {
		return false
	}
	if view := s.opt.View(); view != s.syncedView {
		s.syncedView = view
		s.queryCaches(s.balancer.Sync(view.Endpoints, view.Table))
	}
	return true
}

// queryCaches queries the cache content of engines that are new to the balancer, as they may have been running for a long time.
func (s *Server) queryCaches(engines []roster.Endpoint) {
	if len(engines) == 0 {
		return
	}
	balancer := s.balancer
	queries := pool.New().WithMaxGoroutines(maxCacheQueries)
	s.wg.Go(func() {
		for _, eng := range engines {
			queries.Go(func() { s.queryCache(balancer, eng) })
		}
		queries.Wait()
	})
}

// queryCache queries the cache content of one engine.
func (s *Server) queryCache(balancer *place.Balancer, eng roster.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheQueryTimeout)
	defer cancel()
	parts, err := s.opt.Engines.CachedParts(ctx, eng.Addr)
	if err != nil {
		s.opt.Log.Warn("cache of engine not learned", zap.String("endpoint", eng.ID), zap.Error(err))
		return
	}
	s.mu.Lock()
	balancer.RecordCached(eng.ID, parts)
	s.mu.Unlock()
	s.opt.Log.Info("cache of engine learned", zap.String("endpoint", eng.ID), zap.Int("parts", len(parts)))
}

// RecordHeartbeat records a heartbeat of an endpoint.
func (s *Server) RecordHeartbeat(heartbeatAt time.Time, endpointID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordHeartbeat(s.opt.Now(), heartbeatAt, endpointID)
}

// Run maintains the balancer until the context is done.
func (s *Server) Run(ctx context.Context) {
	pace.Every(ctx, tickInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.syncLeadership() {
			s.balancer.Tick(s.opt.Now())
		}
	})
	s.wg.Wait()
}

// Check validates a request of an entry instance.
func (r *LeaderRequest) Check() error {
	if r.Origin != nil {
		return r.Origin.Check()
	}
	if r.UsageCopy != nil {
		return r.UsageCopy.Check()
	}
	if r.Usage != nil {
		if err := r.Usage.Check(); err != nil {
			return err
		}
	}
	if r.Request != nil {
		return r.Request.Check()
	}
	return nil
}
