package group

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	enrollEvery = 300 * time.Millisecond
	// settledEvery is the time between two looks of a replica with a vote at whether it still has it.
	settledEvery = 2 * time.Second
	helloTimeout = time.Second
)

type (
	// Packet is what one replica sends another: messages, a greeting, or a request to join.
	Packet struct {
		Cluster string       `json:"cluster,omitempty"`
		Msgs    []repl.Msg   `json:"msgs,omitempty"`
		Hello   *repl.Member `json:"hello,omitempty"`
		Join    *repl.Member `json:"join,omitempty"`
	}

	// Reply tells who answered and, to a greeting, what cluster it belongs to.
	Reply struct {
		Self     repl.Member    `json:"self"`
		Cluster  string         `json:"cluster,omitempty"`
		Founding repl.Conf      `json:"founding"`
		Leader   netip.AddrPort `json:"leader"`
		Voter    bool           `json:"voter,omitempty"`
	}
)

// Check returns an error for a packet that holds a message no replica sends.
func (p *Packet) Check() error {
	if len(p.Msgs) > inbox {
		return errors.New("packet: too many messages")
	}
	for i := range p.Msgs {
		if err := p.Msgs[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Receive takes in a packet from another replica.
func (g *Group) Receive(ctx context.Context, p Packet) (Reply, error) {
	ident := g.identity()
	if p.Cluster == ident.Cluster && p.Cluster != "" {
		for _, m := range p.Msgs {
			select {
			case g.msgs <- m:
			default:
			}
		}
	}
	r := g.reply()
	if p.Join != nil && p.Cluster == ident.Cluster {
		voter, err := g.join(ctx, *p.Join)
		r.Voter = voter
		return r, err
	}
	return r, nil
}

func (g *Group) reply() Reply {
	ident := g.identity()
	r := Reply{Self: g.self(), Cluster: ident.Cluster, Founding: ident.Founding}
	if m, ok := g.Leader(); ok {
		r.Leader = m.Addr
	}
	return r
}

func (g *Group) self() repl.Member {
	return repl.Member{ID: g.identity().ID, Name: g.opt.Name, Zone: g.opt.Zone, Addr: g.opt.Self, Voter: true}
}

// join takes a new folder one step further towards a vote.
func (g *Group) join(ctx context.Context, m repl.Member) (bool, error) {
	type answer struct {
		voter bool
		err   error
	}
	to := make(chan answer, 1)
	err := g.do(ctx, func(time.Time) {
		if g.core == nil {
			to <- answer{err: repl.ErrNotLeader}
			return
		}
		voter, err := g.core.Join(m)
		to <- answer{voter, err}
	})
	if err != nil {
		return false, err
	}
	a, err := await(ctx, g, to)
	if err != nil {
		return false, err
	}
	return a.voter, a.err
}

// post hands messages to one sender for each member; a full outbox drops them, which the protocol bears.
func (g *Group) post(msgs []repl.Msg) {
	for _, m := range msgs {
		if m.Kind == repl.Install && m.Snap == nil {
			snap, err := g.store.Snapshot()
			if err != nil {
				continue
			}
			m.Snap = &snap
		}
		to := g.core.Status().Conf
		member, ok := to.Find(m.To)
		if !ok {
			member, ok = g.known(m.To)
		}
		if !ok {
			continue
		}
		select {
		case g.outbox(member) <- m:
		default:
		}
	}
}

// known finds a replica that the log does not name yet, among those that answered a greeting.
func (g *Group) known(id string) (repl.Member, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m, ok := g.met[id]
	return m, ok
}

func (g *Group) identity() store.Identity {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.store.Identity()
}

func (g *Group) outbox(to repl.Member) chan repl.Msg {
	if ch, ok := g.sending[to.ID]; ok {
		return ch
	}
	ch := make(chan repl.Msg, outbox)
	g.sending[to.ID] = ch
	g.wg.Go(func() { g.sender(to, ch) })
	return ch
}

// sender sends a member's messages in batches, in order.
func (g *Group) sender(to repl.Member, ch chan repl.Msg) {
	for {
		var p Packet
		select {
		case <-g.ctx.Done():
			return
		case m := <-ch:
			p.Msgs = append(p.Msgs, m)
		}
		for len(ch) > 0 && len(p.Msgs) < outbox {
			p.Msgs = append(p.Msgs, <-ch)
		}
		p.Cluster = g.Cluster()
		var r Reply
		_ = g.opt.Links.Call(g.ctx, to.Addr, peer.Step, sendTimeout, p, &r)
	}
}

// enroll founds or joins a cluster, and asks for a vote whenever this replica has none.
func (g *Group) enroll(ctx context.Context) {
	for ctx.Err() == nil {
		wait := enrollEvery
		if g.settled() {
			wait = settledEvery
		} else {
			g.enrollOnce(ctx)
		}
		pace.Pause(ctx, wait)
	}
}

// settled reports whether this replica has a vote and a leader. One without a leader may have lost its vote unheard.
func (g *Group) settled() bool {
	st := g.Status()
	m, ok := st.Conf.Find(g.self().ID)
	return ok && m.Voter && st.Leader != ""
}

// enrollOnce takes one step towards a vote.
func (g *Group) enrollOnce(ctx context.Context) {
	self := g.self()
	replies, all := g.greet(ctx, self)
	for _, r := range replies {
		if r.Cluster == "" || g.Cluster() != "" && r.Cluster != g.Cluster() {
			continue
		}
		if g.Cluster() == "" {
			g.enter(ctx, r.Cluster, r.Founding)
		}
		if r.Leader.IsValid() && r.Leader != self.Addr {
			g.askJoin(ctx, r.Leader, self)
			return
		}
	}
	if all && g.founds.Load() && g.Cluster() == "" && g.first(replies) {
		conf := repl.Conf{Members: []repl.Member{self}}
		for _, r := range replies {
			conf.Members = append(conf.Members, r.Self)
		}
		g.enter(ctx, store.NewID(), conf)
	}
}

// greet asks the other replicas that are known who they are; all tells that just the founding ones answered, each of them.
func (g *Group) greet(ctx context.Context, self repl.Member) (replies []Reply, all bool) {
	addrs := g.others()
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			var r Reply
			if err := g.opt.Links.Call(ctx, addr, peer.Step, helloTimeout, Packet{Hello: &self}, &r); err != nil {
				g.opt.Log.Debug("greeting not answered", zap.Error(err))
				return
			}
			mu.Lock()
			replies = append(replies, r)
			mu.Unlock()
			g.meet(r.Self)
		})
	}
	wg.Wait()
	return replies, len(replies) == len(addrs)
}

// others returns the addresses of the other replicas: those of the settings and, once there are any, the log's members.
func (g *Group) others() []netip.AddrPort {
	var out []netip.AddrPort
	add := func(a netip.AddrPort) {
		if a.IsValid() && a != g.opt.Self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	for _, p := range g.opt.Peers {
		if p.Name == "" || p.Name != g.opt.Name {
			add(p.Addr)
		}
	}
	if g.opt.Seeds != nil {
		for _, a := range g.opt.Seeds() {
			add(a)
		}
	}
	for _, m := range g.Status().Conf.Members {
		add(m.Addr)
	}
	return out
}

// first reports whether this replica's name comes first, so that it founds the cluster.
func (g *Group) first(replies []Reply) bool {
	for _, r := range replies {
		if r.Self.Name < g.opt.Name {
			return false
		}
	}
	return true
}

// enter makes the folder part of a cluster; a founder starts with the founding members, others as learners without any.
func (g *Group) enter(ctx context.Context, cluster string, founding repl.Conf) {
	self := g.self()
	if _, ok := founding.Find(self.ID); !ok {
		founding = repl.Conf{}
	}
	done := make(chan struct{})
	err := g.do(ctx, func(now time.Time) {
		defer close(done)
		if g.core != nil {
			return
		}
		g.mu.Lock()
		err := g.store.Found(cluster, founding)
		g.mu.Unlock()
		if err != nil {
			g.opt.Log.Error("cannot enter the cluster", zap.Error(err))
			return
		}
		_ = g.start(repl.Stored{Snap: repl.Snapshot{Conf: founding}}, now)
		g.opt.Log.Info("entered cluster", zap.String("cluster", cluster), zap.String("id", self.ID))
	})
	if err != nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Group) askJoin(ctx context.Context, leader netip.AddrPort, self repl.Member) {
	var r Reply
	p := Packet{Cluster: g.Cluster(), Join: &self}
	if err := g.opt.Links.Call(ctx, leader, peer.Step, helloTimeout, p, &r); err != nil {
		g.opt.Log.Debug("join not yet possible", zap.Error(err))
		return
	}
	// The leader may be none of those that were greeted, and is answered before the log names it.
	g.meet(r.Self)
}

// meet notes a replica that answered, so that messages reach it while the log does not name it yet.
func (g *Group) meet(m repl.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.met[m.ID] = m
}
