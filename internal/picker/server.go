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
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxEvents is the maximum number of events in a request; the rest is dropped.
	maxEvents = 4096
	// dedupWindow is the number of recent requests of an entry instance that are remembered to detect duplicates.
	dedupWindow = 512
	// loadsInterval is the minimum time between two reports of a service's load to an entry instance, which uses them only while
	// the leader does not answer.
	loadsInterval = time.Second
	// maxCacheQueries is the maximum number of concurrent cache queries to engines.
	maxCacheQueries = 64
	// cacheQueryTimeout is the timeout of a cache query to an engine.
	cacheQueryTimeout = time.Second
)

type (
	// Ask is a request for a placement, a report of events of earlier placements, or both. Boot identifies a process start of the
	// entry instance. Number identifies the request within it, as each request may be delivered twice.
	Ask struct {
		Entry   string         `json:"entry"`
		Boot    string         `json:"boot"`
		Number  uint64         `json:"number"`
		Request *place.Request `json:"request,omitempty"`
		Events  []place.Event  `json:"events,omitempty"`
	}

	// Reply is the answer to an Ask. Leads is unset if this instance is not the leader, and Found if no endpoint can take the
	// request. Loads is omitted if it was sent recently.
	Reply struct {
		Leads  bool         `json:"leads"`
		Found  bool         `json:"found"`
		Choice place.Choice `json:"choice"`
		Loads  *place.Loads `json:"loads,omitempty"`
	}

	// Engines queries model engines.
	Engines interface {
		// Cached returns the prompt parts in an engine's cache, least recently used first.
		Cached(ctx context.Context, addr netip.AddrPort) ([]place.Part, error)
	}

	// DeskOptions configures a Desk. Leads reports whether this instance is the leader of the log.
	DeskOptions struct {
		View    func() *ctrl.View
		Leads   func() bool
		Engines Engines
		Now     func() time.Time
		Log     *zap.Logger
	}

	// entryState is what the leader remembers of an entry instance since its last start.
	entryState struct {
		boot string
		// recent holds the numbers of the latest requests, each at its number modulo dedupWindow.
		recent [dedupWindow]uint64
		// loadsSentAt is the time of the last load report by service.
		loadsSentAt map[string]time.Time
	}

	// Desk places the requests of all entry instances while this instance is the leader of the log.
	Desk struct {
		opt        DeskOptions
		mu         sync.Mutex
		balancer   *place.Board
		syncedView *ctrl.View
		entries    map[string]*entryState
		leading    bool
		wg         conc.WaitGroup
	}
)

// NewDesk returns a Desk with an empty balancer.
func NewDesk(opt DeskOptions) *Desk {
	return &Desk{opt: opt, balancer: place.New(), entries: map[string]*entryState{}}
}

// Serve handles a request of an entry instance.
func (s *Desk) Serve(_ context.Context, ask Ask) (Reply, error) {
	now := s.opt.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.syncLeadership() {
		return Reply{}, nil
	}
	reply := Reply{Leads: true}
	duplicate := s.isDuplicate(now, &ask)
	if !duplicate {
		s.applyEvents(now, ask.Events)
	}
	switch {
	case ask.Request == nil:
	case duplicate && !s.balancer.Knows(ask.Request.Run):
		// The attempt of the first delivery has already ended, so its answer was received.
	default:
		reply.Choice, reply.Found = s.balancer.Place(now, *ask.Request)
		reply.Loads = s.loadsFor(now, &ask)
	}
	return reply, nil
}

// loadsFor returns the load of the requested service, or nil if it was sent to the entry instance recently.
func (s *Desk) loadsFor(now time.Time, ask *Ask) *place.Loads {
	sentAt, service := s.entries[ask.Entry].loadsSentAt, ask.Request.Service
	if at, ok := sentAt[service]; ok && now.Sub(at) < loadsInterval {
		return nil
	}
	sentAt[service] = now
	loads := s.balancer.Summarize(now, service, ask.Entry)
	return &loads
}

// isDuplicate records a request and reports whether it was received before. It ends the attempts of an entry instance that has
// restarted.
func (s *Desk) isDuplicate(now time.Time, ask *Ask) bool {
	entry := s.entries[ask.Entry]
	if entry == nil || entry.boot != ask.Boot {
		if entry != nil {
			s.balancer.Lost(now, ask.Entry)
		}
		entry = &entryState{boot: ask.Boot, loadsSentAt: map[string]time.Time{}}
		s.entries[ask.Entry] = entry
	}
	slot := &entry.recent[ask.Number%dedupWindow]
	if *slot == ask.Number && ask.Number > 0 {
		return true
	}
	*slot = max(*slot, ask.Number)
	return false
}

func (s *Desk) applyEvents(now time.Time, events []place.Event) {
	if len(events) > maxEvents {
		events = events[:maxEvents]
	}
	for _, e := range events {
		s.balancer.Take(now, e)
	}
}

// syncLeadership updates the balancer to the current configuration and reports whether this instance is the leader. The balancer
// is empty after a change of leadership.
func (s *Desk) syncLeadership() bool {
	leads := s.opt.Leads()
	if leads != s.leading {
		s.leading = leads
		s.balancer, s.syncedView, s.entries = place.New(), nil, map[string]*entryState{}
		s.opt.Log.Info("placing of requests changed hands", zap.Bool("here", leads))
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
func (s *Desk) queryCaches(engines []roster.Endpoint) {
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
func (s *Desk) queryCache(balancer *place.Board, eng roster.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheQueryTimeout)
	defer cancel()
	parts, err := s.opt.Engines.Cached(ctx, eng.Addr)
	if err != nil {
		s.opt.Log.Warn("cache of engine not learned", zap.String("endpoint", eng.ID), zap.Error(err))
		return
	}
	s.mu.Lock()
	balancer.Cached(eng.ID, parts)
	s.mu.Unlock()
	s.opt.Log.Info("cache of engine learned", zap.String("endpoint", eng.ID), zap.Int("parts", len(parts)))
}

// Heard records a heartbeat of an endpoint.
func (s *Desk) Heard(heardAt time.Time, endpointID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Heard(s.opt.Now(), heardAt, endpointID)
}

// Run maintains the balancer until the context is done.
func (s *Desk) Run(ctx context.Context) {
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
func (a *Ask) Check() error {
	if a.Request != nil {
		return a.Request.Check()
	}
	return nil
}
