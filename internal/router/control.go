package router

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// sweepEvery is the time between two looks for endpoints that are silent.
	sweepEvery = time.Second
	// lostAfter is the silence after which an endpoint is taken out; one that is only cut off from the replicas may still
	// serve, so this is long, and entries find dead ones by themselves.
	lostAfter = 30 * time.Second
	// heardEvery is the time between two reports to the leader of which endpoints were heard here.
	heardEvery = 500 * time.Millisecond
	// heardStale is the age of the last report that the leader took at which announcements are passed on to it one by one, so that
	// endpoints turn to another replica where this one is cut off.
	heardStale = 3 * time.Second
	// maxHeard bounds the endpoints of one report; the rest goes with the next.
	maxHeard = 4096
	// announceTimeout is how long the leader may take to take in an announcement.
	announceTimeout = 800 * time.Millisecond
)

// errNoLeader tells that no leader of the log is known.
var errNoLeader = errors.New("no leader is known")

type (
	// Control is what operators and endpoints may ask.
	Control interface {
		Replace(ctx context.Context, t table.Table, source []byte) error
		Document(ctx context.Context) ([]byte, error)
		Announce(ctx context.Context, e roster.Endpoint) (netip.AddrPort, error)
		Exit(ctx context.Context, x roster.Exit) error
	}

	// control serves operators and endpoints on a replica. Heard is when the leader heard each endpoint in a term; Here are those
	// heard on this replica that the leader was not told of yet, and reported is when it was told last.
	control struct {
		r        *Router
		port     uint16
		mu       sync.Mutex
		heard    map[string]time.Time
		term     uint64
		here     map[string]bool
		reported time.Time
	}

	// word is what a replica that does not lead passes on to the leader.
	word struct {
		Endpoint *roster.Endpoint `json:"endpoint,omitempty"`
		Exit     *roster.Exit     `json:"exit,omitempty"`
		Heard    []string         `json:"heard,omitempty"`
	}

	// heeded answers a word; with Leads unset it was not taken in.
	heeded struct {
		Leads   bool `json:"leads"`
		Foreign bool `json:"foreign,omitempty"`
	}
)

func newControl(r *Router, c *conf.Conf) *control {
	return &control{r: r, port: c.Listen.Operators.Port(), heard: map[string]time.Time{}, here: map[string]bool{}}
}

// Replace commits a routing table.
func (c *control) Replace(ctx context.Context, t table.Table, source []byte) error {
	res, err := c.r.quorum.Propose(ctx, ctrl.Command{ReplaceTable: &ctrl.ReplaceTable{Table: t, Source: source}})
	if err != nil {
		c.r.log.Warn("routing table not committed", zap.Uint64("table", t.Version), zap.Error(err))
		return err
	}
	c.r.log.Info("routing table accepted", zap.Uint64("table", t.Version), zap.Uint64("in_force", res.Version), zap.String("note", res.Reason),
		zap.Int("routes", len(t.Routes)))
	return nil
}

// Document reads the newest routing table's document from the leader, which a quorum has confirmed.
func (c *control) Document(ctx context.Context) ([]byte, error) {
	v, err := c.r.quorum.Read(ctx, quorum.Query{Document: true})
	return v.Document, err
}

// Announce takes in an announcement, and returns the operators' address for the next one: that of this replica, so that endpoints
// stay spread over all. What tells nothing new is only reported to the leader, with others.
func (c *control) Announce(ctx context.Context, e roster.Endpoint) (netip.AddrPort, error) {
	own := netip.AddrPortFrom(c.r.self.Addr.Addr(), c.port)
	if !c.r.machine.WouldChange(e) && c.known(&e) && c.note(clock.Now(), e.ID) {
		return own, nil
	}
	if err := c.tell(ctx, word{Endpoint: &e}); err != nil {
		return netip.AddrPort{}, err
	}
	return own, nil
}

// known reports whether an endpoint's service is in the routing table, or there is no table yet.
func (c *control) known(e *roster.Endpoint) bool {
	t := c.r.spread.View().Table
	return t.Version() == 0 || t.Service(e.Service) != nil
}

// note enters an endpoint that was heard here for the next report, and reports whether the leader takes these.
func (c *control) note(now time.Time, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.reported) > heardStale {
		return false
	}
	c.here[id] = true
	return true
}

// report tells the leader which endpoints were heard here.
func (c *control) report(ctx context.Context) {
	c.mu.Lock()
	ids := make([]string, 0, len(c.here))
	for id := range c.here {
		if len(ids) < maxHeard {
			ids = append(ids, id)
			delete(c.here, id)
		}
	}
	c.mu.Unlock()
	err := c.tell(ctx, word{Heard: ids})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.reported = clock.Now()
		return
	}
	c.r.log.Debug("endpoints heard here not reported", zap.Error(err))
	for _, id := range ids {
		c.here[id] = true
	}
}

// Exit has the leader take an endpoint out.
func (c *control) Exit(ctx context.Context, x roster.Exit) error {
	return c.tell(ctx, word{Exit: &x})
}

// tell has the leader take in a word.
func (c *control) tell(ctx context.Context, w word) error {
	if c.r.leads() {
		h, err := c.serve(ctx, w)
		return heed(h, err)
	}
	leader := c.r.group.LeaderAddr()
	if !leader.IsValid() {
		return errNoLeader
	}
	var h heeded
	err := c.r.links.Call(ctx, leader, peer.Announce, announceTimeout, w, &h)
	return heed(h, err)
}

func heed(h heeded, err error) error {
	switch {
	case err != nil:
		return err
	case h.Foreign:
		return roster.ErrForeign
	case !h.Leads:
		return errNoLeader
	}
	return nil
}

// serve takes in a word on the leader.
func (c *control) serve(ctx context.Context, w word) (heeded, error) {
	if !c.r.leads() {
		return heeded{}, nil
	}
	switch {
	case w.Endpoint != nil:
		return c.announced(ctx, *w.Endpoint)
	case w.Exit != nil:
		err := c.commit(ctx, ctrl.Command{Exit: w.Exit})
		c.r.log.Info("endpoint left", zap.String("endpoint", w.Exit.ID), zap.Int64("born", w.Exit.Born), zap.Error(err))
		return heeded{Leads: true}, err
	}
	at := clock.Now().Add(-heardEvery)
	for _, id := range w.Heard {
		c.hear(at, id)
	}
	return heeded{Leads: true}, nil
}

// announced commits what an announcement tells that is new, and notes that the endpoint was heard.
func (c *control) announced(ctx context.Context, e roster.Endpoint) (heeded, error) {
	if !c.known(&e) {
		c.r.log.Warn("announcement refused", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Stringer("address", e.Addr))
		return heeded{Leads: true, Foreign: true}, nil
	}
	if c.r.machine.WouldChange(e) {
		if err := c.commit(ctx, ctrl.Command{Announce: &e}); err != nil {
			return heeded{Leads: true}, err
		}
		c.r.log.Info("endpoint announced", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Stringer("address", e.Addr),
			zap.String("state", string(e.State)), zap.Int64("born", e.Born))
	}
	c.hear(clock.Now(), e.ID)
	return heeded{Leads: true}, nil
}

// hear notes on the leader that an endpoint was heard at a time or later.
func (c *control) hear(at time.Time, id string) {
	c.mu.Lock()
	c.heard[id] = at
	c.mu.Unlock()
	c.r.desk.Heard(at, id)
}

func (c *control) commit(ctx context.Context, cmd ctrl.Command) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	out, err := c.r.server.Propose(ctx, quorum.Proposal{Command: cmd})
	if err == nil && !out.Lead {
		err = errNoLeader
	}
	return err
}

// run reports the endpoints that were heard here, and takes out those that are silent for long where this instance leads.
func (c *control) run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { pace.Every(ctx, heardEvery, func() { c.report(ctx) }) })
	pace.Every(ctx, sweepEvery, func() {
		if !c.r.leads() {
			return
		}
		for _, e := range c.silent(clock.Now(), c.r.group.Status().Term) {
			c.r.log.Warn("endpoint lost", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.Stringer("address", e.Addr))
			if err := c.commit(ctx, ctrl.Command{Exit: &roster.Exit{ID: e.ID, Born: e.Born, Lost: true}}); err != nil {
				c.r.log.Warn("lost endpoint not taken out", zap.String("endpoint", e.ID), zap.Error(err))
			}
		}
	})
}

// silent returns the endpoints that were not heard for long in this term.
func (c *control) silent(now time.Time, term uint64) []roster.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		c.term = term
		clear(c.heard)
	}
	var out []roster.Endpoint
	known := map[string]bool{}
	for _, e := range c.r.machine.Endpoints() {
		known[e.ID] = true
		at, ok := c.heard[e.ID]
		if !ok {
			c.heard[e.ID] = now
		} else if now.Sub(at) > lostAfter {
			out = append(out, e)
		}
	}
	for id := range c.heard {
		if !known[id] {
			delete(c.heard, id)
		}
	}
	return out
}
