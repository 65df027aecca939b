package picker

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

const (
	// askAgain is the wait for the leader's answer after which it is asked over another connection, as a packet may be lost.
	askAgain = 20 * time.Millisecond
	// patience is how long the leader's answer is waited for: a few trips between zones, twice.
	patience = 45 * time.Millisecond
	// callTimeout is how long an unanswered call is kept before its connection is given up.
	callTimeout = time.Second
	// missesToAway is the number of answers missed in a row after which the leader is left alone.
	missesToAway = 2
	// away is how long the leader is left alone then.
	away = 500 * time.Millisecond
	// flushEvery is the longest time that events wait for an ask to go with.
	flushEvery = 100 * time.Millisecond
	// staleLoads is the age at which the leader's last word on others' requests counts for nothing.
	staleLoads = 2*time.Second + tellEvery
)

// ErrNone tells that no endpoint of a service can take a request.
var ErrNone = errors.New("no endpoint can take the request")

type (
	// Options holds what a picker needs; Alone keeps it from asking the leader.
	Options struct {
		Self   ctrl.Instance
		Links  *peer.Links
		View   func() *ctrl.View
		Leader func() netip.AddrPort
		Now    func() time.Time
		Alone  bool
		Log    *zap.Logger
	}

	// Picker chooses endpoints for one entry.
	Picker struct {
		opt     Options
		mu      sync.Mutex
		board   *place.Board
		synced  *ctrl.View
		runs    map[string]placed
		events  []place.Event
		leader  netip.AddrPort
		misses  int
		awayTil time.Time
		heardAt time.Time
		asks    atomic.Uint64
	}

	// placed is a run that is under way.
	placed struct {
		q  place.Request
		at string
	}
)

// New returns a picker that has nothing under way.
func New(opt Options) *Picker {
	return &Picker{opt: opt, board: place.New(), runs: map[string]placed{}}
}

// Pick chooses the endpoint for a request and notes it as sent there; shared tells that the leader chose.
func (p *Picker) Pick(ctx context.Context, q place.Request) (c place.Choice, shared bool, err error) {
	q.Entry, q.Zone = p.opt.Self.Name, p.opt.Self.Zone
	r, ok := p.ask(ctx, q)
	if ctx.Err() != nil {
		p.End(q.Run, place.Left)
		return c, false, ctx.Err()
	}
	if ok {
		if !r.Found {
			return c, true, ErrNone
		}
		p.took(q, r)
		return r.Choice, true, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.sync()
	c, found := p.board.Place(now, q)
	if !found {
		return c, false, ErrNone
	}
	c.Age = now.Sub(p.heardAt)
	p.runs[q.Run] = placed{q, c.ID}
	p.events = append(p.events, place.Event{Run: q.Run, Start: &q, At: c.ID})
	return c, false, nil
}

// sync brings the own board up to date; its caller holds the lock.
func (p *Picker) sync() time.Time {
	now := p.opt.Now()
	if v := p.opt.View(); v != p.synced {
		p.synced = v
		p.board.Sync(v.Endpoints, v.Table)
	}
	if now.Sub(p.heardAt) > staleLoads {
		p.board.Alone()
	}
	return now
}

// took enters what the leader chose on the own board.
func (p *Picker) took(q place.Request, r Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.sync()
	if r.Loads != nil {
		p.board.Adopt(*r.Loads)
		p.heardAt = now
	}
	p.runs[q.Run] = placed{q, r.Choice.ID}
	p.board.Take(now, place.Event{Run: q.Run, Start: &q, At: r.Choice.ID})
}

// ask asks the leader, if it is known and has answered of late.
func (p *Picker) ask(ctx context.Context, q place.Request) (Reply, bool) {
	to, events, ok := p.batch(true)
	if !ok {
		return Reply{}, false
	}
	out := make(chan Reply, 1)
	go func() {
		r, err := p.call(to, Ask{Request: &q, Events: events})
		if err != nil {
			p.requeue(events)
			return
		}
		out <- r
	}()
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case r := <-out:
		p.answered(r.Leads)
		return r, r.Leads
	case <-ctx.Done():
		return Reply{}, false
	case <-t.C:
	}
	p.answered(false)
	return Reply{}, false
}

func (p *Picker) call(to netip.AddrPort, a Ask) (Reply, error) {
	a.Entry, a.Boot, a.Number = p.opt.Self.Name, p.opt.Self.Boot, p.asks.Add(1)
	var r Reply
	err := p.opt.Links.Twice(context.Background(), to, peer.Ask, askAgain, callTimeout, a, &r)
	return r, err
}

// answered notes whether the leader answered in time.
func (p *Picker) answered(yes bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if yes {
		p.misses = 0
		return
	}
	if p.misses++; p.misses == missesToAway {
		p.misses, p.awayTil = 0, p.opt.Now().Add(away)
		p.opt.Log.Warn("leader does not place requests; this entry does", zap.Stringer("leader", p.leader), zap.Duration("for", away))
	}
}

// batch takes the events that wait, for the leader if there is one to be asked. A new leader is told all that runs here.
func (p *Picker) batch(asking bool) (netip.AddrPort, []place.Event, bool) {
	if p.opt.Alone {
		return netip.AddrPort{}, nil, false
	}
	to := p.opt.Leader()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !to.IsValid() || p.opt.Now().Before(p.awayTil) {
		return to, nil, false
	}
	if to != p.leader {
		p.leader, p.misses = to, 0
		p.events = nil
		for id, r := range p.runs {
			p.events = append(p.events, place.Event{Run: id, Start: &r.q, At: r.at})
		}
	}
	events := p.events
	p.events = nil
	return to, events, asking || len(events) > 0
}

// requeue puts events back that did not reach the leader.
func (p *Picker) requeue(events []place.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.events)+len(events) <= maxEvents {
		p.events = append(events, p.events...)
	}
}

// First notes the first answer of a run.
func (p *Picker) First(run string, after time.Duration) {
	p.note(place.Event{Run: run, First: after})
}

// End notes how a run ended.
func (p *Picker) End(run string, o place.Outcome) {
	p.note(place.Event{Run: run, End: o})
}

func (p *Picker) note(e place.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.End != 0 {
		delete(p.runs, e.Run)
	}
	p.board.Take(p.opt.Now(), e)
	if !p.opt.Alone && len(p.events) < maxEvents {
		p.events = append(p.events, e)
	}
}

// Running returns the number of runs under way.
func (p *Picker) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// Run tells the leader what no ask has taken along, until the context ends.
func (p *Picker) Run(ctx context.Context) {
	pace.Every(ctx, flushEvery, func() {
		p.mu.Lock()
		p.board.Tick(p.sync())
		p.mu.Unlock()
		to, events, ok := p.batch(false)
		if !ok {
			return
		}
		if _, err := p.call(to, Ask{Events: events}); err != nil {
			p.requeue(events)
			p.opt.Log.Debug("events not told", zap.Error(err))
		}
	})
}
