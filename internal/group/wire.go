package group

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	enrollEvery  = 300 * time.Millisecond
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
	return repl.Member{ID: g.identity().ID, Name: g.opt.Name, Addr: g.opt.Self, Voter: true}
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

// enroll founds or joins a cluster, and asks for a vote until it has one.
func (g *Group) enroll(ctx context.Context) {
	t := time.NewTicker(enrollEvery)
	defer t.Stop()
	for {
		if g.enrolled(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// enrolled takes one step and reports whether this folder has a vote.
func (g *Group) enrolled(ctx context.Context) bool {
	self := g.self()
	if m, ok := g.Status().Conf.Find(self.ID); ok && m.Voter {
		return true
	}
	replies, all := g.greet(ctx, self)
	for _, r := range replies {
		if r.Cluster == "" || g.Cluster() != "" && r.Cluster != g.Cluster() {
			continue
		}
		if g.Cluster() == "" {
			g.enter(ctx, r.Cluster, r.Founding)
		}
		if _, founder := r.Founding.Find(self.ID); !founder && r.Leader.IsValid() {
			g.askJoin(ctx, r.Leader, self)
		}
		return false
	}
	if all && g.Cluster() == "" && g.first(replies) {
		conf := repl.Conf{Members: []repl.Member{self}}
		for _, r := range replies {
			conf.Members = append(conf.Members, r.Self)
		}
		g.enter(ctx, store.NewID(), conf)
	}
	return false
}

// greet asks the other replicas of the settings who they are; all tells that each one answered.
func (g *Group) greet(ctx context.Context, self repl.Member) (replies []Reply, all bool) {
	all = true
	for _, p := range g.opt.Peers {
		if p.Name == g.opt.Name {
			continue
		}
		var r Reply
		err := g.opt.Links.Call(ctx, p.Addr, peer.Step, helloTimeout, Packet{Hello: &self}, &r)
		if err != nil || r.Self.Name != p.Name {
			all = false
			continue
		}
		replies = append(replies, r)
		g.mu.Lock()
		g.met[r.Self.ID] = r.Self
		g.mu.Unlock()
	}
	return replies, all
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
	}
}
