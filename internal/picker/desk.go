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
	tickEvery = 100 * time.Millisecond
	maxEvents = 4096
	// keptAsks is the number of an entry's latest asks that are told apart.
	keptAsks = 512
	// tellEvery is the least time between two times that an entry is told the loads of a service; it needs them only while the
	// leader does not answer.
	tellEvery = time.Second
	// learners is the number of engines that are asked for their caches at once.
	learners = 64
	// learnTimeout is how long an engine may take to tell what it has in its cache.
	learnTimeout = time.Second
)

type (
	// Ask asks for a placement, tells what became of earlier ones, or both. Boot is new at each start of the entry, and
	// Number tells the asks of a start apart, as each may come twice.
	Ask struct {
		Entry   string         `json:"entry"`
		Boot    string         `json:"boot"`
		Number  uint64         `json:"number"`
		Request *place.Request `json:"request,omitempty"`
		Events  []place.Event  `json:"events,omitempty"`
	}

	// Reply answers an ask; with Leads unset this instance places nothing. Loads is left out where it was told of late.
	Reply struct {
		Leads  bool         `json:"leads"`
		Found  bool         `json:"found"`
		Choice place.Choice `json:"choice"`
		Loads  *place.Loads `json:"loads,omitempty"`
	}

	// Engines asks model engines what they have in their prompt caches.
	Engines interface {
		Cached(ctx context.Context, addr netip.AddrPort) ([]place.Part, error)
	}

	// DeskOptions holds what a desk needs; Leads tells whether this instance leads the log.
	DeskOptions struct {
		View    func() *ctrl.View
		Leads   func() bool
		Engines Engines
		Now     func() time.Time
		Log     *zap.Logger
	}

	// asker is one start of an entry with its latest asks, by number, and when it was told the loads of each service.
	asker struct {
		boot   string
		latest [keptAsks]uint64
		told   map[string]time.Time
	}

	// Desk places the requests of all entries where the log is led.
	Desk struct {
		opt    DeskOptions
		mu     sync.Mutex
		board  *place.Board
		synced *ctrl.View
		asked  map[string]*asker
		leads  bool
		wg     conc.WaitGroup
	}
)

// NewDesk returns a desk with an empty board.
func NewDesk(opt DeskOptions) *Desk {
	return &Desk{opt: opt, board: place.New(), asked: map[string]*asker{}}
}

// Serve answers an ask.
func (d *Desk) Serve(_ context.Context, a Ask) (Reply, error) {
	now := d.opt.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lead() {
		return Reply{}, nil
	}
	r := Reply{Leads: true}
	repeated := d.repeated(now, &a)
	if !repeated {
		d.take(now, a.Events)
	}
	switch {
	case a.Request == nil:
	case repeated && !d.board.Knows(a.Request.Run):
		// The first of the two came long ago: its run has ended, and its answer was taken.
	default:
		r.Choice, r.Found = d.board.Place(now, *a.Request)
		r.Loads = d.loads(now, &a)
	}
	return r, nil
}

// loads returns the loads of the service that an ask is about, or nil where the entry was told them of late.
func (d *Desk) loads(now time.Time, a *Ask) *place.Loads {
	told, service := d.asked[a.Entry].told, a.Request.Service
	if at, ok := told[service]; ok && now.Sub(at) < tellEvery {
		return nil
	}
	told[service] = now
	l := d.board.Summarize(now, service, a.Entry)
	return &l
}

// repeated notes an ask and reports whether it has come before. It forgets the runs of an entry that has started anew.
func (d *Desk) repeated(now time.Time, a *Ask) bool {
	k := d.asked[a.Entry]
	if k == nil || k.boot != a.Boot {
		if k != nil {
			d.board.Lost(now, a.Entry)
		}
		k = &asker{boot: a.Boot, told: map[string]time.Time{}}
		d.asked[a.Entry] = k
	}
	last := &k.latest[a.Number%keptAsks]
	if *last == a.Number && a.Number > 0 {
		return true
	}
	*last = max(*last, a.Number)
	return false
}

func (d *Desk) take(now time.Time, events []place.Event) {
	if len(events) > maxEvents {
		events = events[:maxEvents]
	}
	for _, e := range events {
		d.board.Take(now, e)
	}
}

// lead brings the board up to date and reports whether this instance places requests; one that begins to starts empty.
func (d *Desk) lead() bool {
	leads := d.opt.Leads()
	if leads != d.leads {
		d.leads = leads
		d.board, d.synced, d.asked = place.New(), nil, map[string]*asker{}
		d.opt.Log.Info("placing of requests changed hands", zap.Bool("here", leads))
	}
	if !leads {
		return false
	}
	if v := d.opt.View(); v != d.synced {
		d.synced = v
		d.learn(d.board.Sync(v.Endpoints, v.Table))
	}
	return true
}

// learn asks engines that are new to this board what they have in their caches, as they may have run for long.
func (d *Desk) learn(engines []roster.Endpoint) {
	if len(engines) == 0 {
		return
	}
	board := d.board
	asks := pool.New().WithMaxGoroutines(learners)
	d.wg.Go(func() {
		for _, e := range engines {
			asks.Go(func() { d.learnOne(board, e) })
		}
		asks.Wait()
	})
}

// learnOne asks one engine for its cache.
func (d *Desk) learnOne(board *place.Board, e roster.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	parts, err := d.opt.Engines.Cached(ctx, e.Addr)
	if err != nil {
		d.opt.Log.Warn("cache of engine not learned", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	d.mu.Lock()
	board.Cached(e.ID, parts)
	d.mu.Unlock()
	d.opt.Log.Info("cache of engine learned", zap.String("endpoint", e.ID), zap.Int("parts", len(parts)))
}

// Heard notes that an endpoint was heard at a time.
func (d *Desk) Heard(at time.Time, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.board.Heard(d.opt.Now(), at, id)
}

// Run keeps the board until the context ends.
func (d *Desk) Run(ctx context.Context) {
	pace.Every(ctx, tickEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.lead() {
			d.board.Tick(d.opt.Now())
		}
	})
	d.wg.Wait()
}

// Check returns an error for an ask that no entry sends.
func (a *Ask) Check() error {
	if a.Request != nil {
		return a.Request.Check()
	}
	return nil
}
