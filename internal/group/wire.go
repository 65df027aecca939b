package group

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	// enrollInterval is the time between two attempts to become a voter.
	enrollInterval = 300 * time.Millisecond
	// enrolledCheckInterval is the time between two checks of a voter whether it still is one.
	enrolledCheckInterval = time.Second
	// requestTimeout limits a hello, join or leave request.
	requestTimeout = time.Second
	// joinTimeout limits an attempt to become a voter once a leader is named.
	joinTimeout = 500 * time.Millisecond
	// leaveInterval is the time between two requests to leave.
	leaveInterval = 100 * time.Millisecond
	// snapshotTimeout limits a call that carries a snapshot; these take more round trips than others.
	snapshotTimeout = 2 * time.Second
)

type (
	// Packet is a request from one replica to another: consensus messages, a hello, a request to join, or one to leave by the member with
	// that ID. Builds that do not know Leave ignore it.
	Packet struct {
		Cluster string       `json:"cluster,omitempty"`
		Msgs    []repl.Msg   `json:"msgs,omitempty"`
		Hello   *repl.Member `json:"hello,omitempty"`
		Join    *repl.Member `json:"join,omitempty"`
		Leave   string       `json:"leave,omitempty"`
	}

	// Reply identifies the replica that responds, its cluster and the leader that it knows; Voter tells a replica that asked to join
	// whether it is a voter, and Handover one that asked to leave whether it should go on until another one has its vote.
	Reply struct {
		Self         repl.Member    `json:"self"`
		Cluster      string         `json:"cluster,omitempty"`
		FoundingConf repl.Conf      `json:"founding"`
		Leader       netip.AddrPort `json:"leader"`
		Voter        bool           `json:"voter,omitempty"`
		Handover     bool           `json:"handover,omitempty"`
	}
)

// Check returns an error if the packet holds too many messages or a malformed one.
func (p *Packet) Check() error {
	if len(p.Msgs) > inboxSize {
		return errors.New("packet: too many messages")
	}
	for i := range p.Msgs {
		if err := p.Msgs[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// Receive handles a packet from another replica. Messages are dropped if the inbox is full or the cluster is another one.
// It returns an error only for a request to join or to leave that failed.
func (g *Group) Receive(ctx context.Context, p Packet) (Reply, error) {
	ident := g.identity()
	if p.Cluster == ident.Cluster && p.Cluster != "" {
		for _, m := range p.Msgs {
			select {
			case g.inbox <- m:
			default:
			}
		}
	}
	reply := g.newReply()
	if p.Cluster != ident.Cluster {
		return reply, nil
	}
	var err error
	switch {
	case p.Join != nil:
		reply.Voter, err = g.changeMember(ctx, func(core *repl.Core) (bool, error) { return core.Join(*p.Join) })
	case p.Leave != "":
		reply.Handover, err = g.changeMember(ctx, func(core *repl.Core) (bool, error) { return core.Leave(p.Leave) })
	}
	return reply, err
}

func (g *Group) newReply() Reply {
	ident := g.identity()
	reply := Reply{Self: g.self(), Cluster: ident.Cluster, FoundingConf: ident.FoundingConf}
	if m, ok := g.Leader(); ok {
		reply.Leader = m.Addr
	}
	return reply
}

func (g *Group) self() repl.Member {
	return repl.Member{ID: g.identity().ID, Name: g.opt.Name, Zone: g.opt.Zone, Addr: g.opt.SelfAddr, Voter: true}
}

// changeMember runs a call of Join or Leave on the replica's goroutine and returns its result.
func (g *Group) changeMember(ctx context.Context, call func(*repl.Core) (bool, error)) (bool, error) {
	type callResult struct {
		value bool
		err   error
	}
	reply := make(chan callResult, 1)
	err := g.submit(ctx, func(time.Time) {
		if g.core == nil {
			reply <- callResult{err: repl.ErrNotLeader}
			return
		}
		value, err := call(g.core)
		reply <- callResult{value, err}
	})
	if err != nil {
		return false, err
	}
	res, err := await(ctx, g, reply)
	if err != nil {
		return false, err
	}
	return res.value, res.err
}

// sendMessages queues messages for their receivers. Messages to a full outbox are dropped; the protocol tolerates message loss.
func (g *Group) sendMessages(msgs []repl.Msg) {
	for _, m := range msgs {
		if m.Kind == repl.InstallSnapshot && m.Snapshot == nil {
			snap, err := g.store.Snapshot()
			if err != nil {
				continue
			}
			m.Snapshot = &snap
		}
		conf := g.core.Status().Conf
		member, ok := conf.Find(m.To)
		if !ok {
			member, ok = g.knownReplica(m.To)
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

// knownReplica returns a replica that has responded to a request and may not be a member of the log yet.
func (g *Group) knownReplica(id string) (repl.Member, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	m, ok := g.knownReplicas[id]
	return m, ok
}

func (g *Group) identity() store.Identity {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.store.Identity()
}

// outbox returns the queue for a replica, and starts its sender if it is new.
func (g *Group) outbox(to repl.Member) chan repl.Msg {
	if ch, ok := g.outboxes[to.ID]; ok {
		return ch
	}
	ch := make(chan repl.Msg, outboxSize)
	g.outboxes[to.ID] = ch
	g.wg.Go(func() { g.runSender(to, ch) })
	return ch
}

// runSender sends the messages queued for one replica in order, in batches, until the context ends.
func (g *Group) runSender(to repl.Member, ch chan repl.Msg) {
	for {
		var p Packet
		select {
		case <-g.ctx.Done():
			return
		case m := <-ch:
			p.Msgs = append(p.Msgs, m)
		}
		for len(ch) > 0 && len(p.Msgs) < outboxSize {
			p.Msgs = append(p.Msgs, <-ch)
		}
		p.Cluster = g.Cluster()
		timeout := sendTimeout
		if slices.ContainsFunc(p.Msgs, func(m repl.Msg) bool { return m.Snapshot != nil }) {
			timeout = snapshotTimeout
		}
		var r Reply
		_ = g.opt.Links.Call(g.ctx, to.Addr, peer.Step, timeout, p, &r)
	}
}

// enroll founds or joins a cluster, and requests to join whenever this replica is not a voter.
func (g *Group) enroll(ctx context.Context) {
	for ctx.Err() == nil && !g.leaving.Load() {
		wait := enrollInterval
		if g.enrolled() {
			wait = enrolledCheckInterval
		} else {
			g.enrollOnce(ctx)
		}
		pace.Sleep(ctx, wait)
	}
}

// Leave prepares the replica for its end: if a learner can take its place, Leave returns once that one votes instead, or ctx ends. The
// replica does not join again afterwards.
func (g *Group) Leave(ctx context.Context) {
	g.leaving.Store(true)
	for ctx.Err() == nil && g.replaceable() {
		handover, err := g.requestLeave(ctx)
		if err == nil && !handover {
			return
		}
		pace.Sleep(ctx, leaveInterval)
	}
}

// replaceable reports whether this replica is a voter whose place another member may take, or leads until the others know that it is a
// voter no more.
func (g *Group) replaceable() bool {
	status := g.Status()
	self, ok := status.Conf.Find(g.self().ID)
	if !ok || !self.Voter {
		return status.Role == repl.Leader.String() && status.ConfIndex > status.CommitIndex
	}
	learners := len(status.Conf.Members) - status.Conf.NumVoters()
	return learners > 0 || status.Conf.NumVoters() > g.opt.TargetVoters
}

// requestLeave asks the leader to replace this replica and reports whether it is to wait for that.
func (g *Group) requestLeave(ctx context.Context) (handover bool, err error) {
	id := g.self().ID
	leader, ok := g.Leader()
	switch {
	case !ok:
		return false, repl.ErrNotLeader
	case leader.ID == id:
		return g.changeMember(ctx, func(core *repl.Core) (bool, error) { return core.Leave(id) })
	}
	var r Reply
	err = g.opt.Links.Call(ctx, leader.Addr, peer.Step, requestTimeout, Packet{Cluster: g.Cluster(), Leave: id}, &r)
	return r.Handover, err
}

// enrolled reports whether this replica is a voter and knows a leader. Without a leader it may have been removed from the
// configuration without being told.
func (g *Group) enrolled() bool {
	status := g.Status()
	m, ok := status.Conf.Find(g.self().ID)
	return ok && m.Voter && status.Leader != ""
}

// enrollOnce takes one step towards being a voter. It asks the other replicas for the leader, and each leader that they name to add
// this one; a replica that is lost, or names one that is lost, delays nothing.
func (g *Group) enrollOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	self, addrs := g.self(), g.peerAddrs()
	var joins conc.WaitGroup
	defer joins.Wait()
	asked := map[netip.AddrPort]bool{}
	var replies []Reply
	for r := range g.hello(ctx, addrs, self) {
		replies = append(replies, r)
		if r.Cluster == "" || g.Cluster() != "" && r.Cluster != g.Cluster() {
			continue
		}
		if g.Cluster() == "" {
			g.enterCluster(ctx, r.Cluster, r.FoundingConf)
		}
		if !r.Leader.IsValid() || r.Leader == self.Addr || asked[r.Leader] {
			continue
		}
		if len(asked) == 0 {
			time.AfterFunc(joinTimeout, cancel)
		}
		asked[r.Leader] = true
		joins.Go(func() {
			if g.requestJoin(ctx, r.Leader, self) {
				cancel()
			}
		})
	}
	if len(replies) == len(addrs) && g.mayFound.Load() && g.Cluster() == "" && g.isFounder(replies) {
		conf := repl.Conf{Members: []repl.Member{self}}
		for _, r := range replies {
			conf.Members = append(conf.Members, r.Self)
		}
		g.enterCluster(ctx, store.NewID(), conf)
	}
}

// hello asks the replicas at addrs for their identity and cluster. The channel is closed once all have answered or failed, or ctx is
// done.
func (g *Group) hello(ctx context.Context, addrs []netip.AddrPort, self repl.Member) <-chan Reply {
	replies := make(chan Reply, len(addrs))
	var wg conc.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			var r Reply
			if err := g.opt.Links.Call(ctx, addr, peer.Step, requestTimeout, Packet{Hello: &self}, &r); err != nil {
				g.opt.Log.Debug("hello request to a replica failed", zap.Error(err))
				return
			}
			g.addKnownReplica(r.Self)
			replies <- r
		})
	}
	g.wg.Go(func() {
		wg.Wait()
		close(replies)
	})
	return replies
}

// peerAddrs returns the addresses of the other replicas: those of the settings, the seeds and the members of the log.
func (g *Group) peerAddrs() []netip.AddrPort {
	var out []netip.AddrPort
	add := func(addr netip.AddrPort) {
		if addr.IsValid() && addr != g.opt.SelfAddr && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for _, m := range g.opt.FoundingMembers {
		if m.Name == "" || m.Name != g.opt.Name {
			add(m.Addr)
		}
	}
	if g.opt.SeedAddrs != nil {
		for _, addr := range g.opt.SeedAddrs() {
			add(addr)
		}
	}
	for _, m := range g.Status().Conf.Members {
		add(m.Addr)
	}
	return out
}

// isFounder reports whether this replica's name sorts first among the founding members, so that it founds the cluster.
func (g *Group) isFounder(replies []Reply) bool {
	for _, r := range replies {
		if r.Self.Name < g.opt.Name {
			return false
		}
	}
	return true
}

// enterCluster records the cluster in the data folder and starts the core: with the founding configuration if this replica is in
// it, else with an empty one until the leader adds it.
func (g *Group) enterCluster(ctx context.Context, cluster string, founding repl.Conf) {
	self := g.self()
	if _, ok := founding.Find(self.ID); !ok {
		founding = repl.Conf{}
	}
	done := make(chan struct{})
	err := g.submit(ctx, func(now time.Time) {
		defer close(done)
		if g.core != nil {
			return
		}
		g.mu.Lock()
		err := g.store.SetCluster(cluster, founding)
		g.mu.Unlock()
		if err != nil {
			g.opt.Log.Error("cannot enter the cluster", zap.Error(err))
			return
		}
		_ = g.start(repl.Stored{Snapshot: repl.Snapshot{Conf: founding}}, now)
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

// requestJoin asks the leader to add this replica to the cluster and reports whether it has answered.
func (g *Group) requestJoin(ctx context.Context, leader netip.AddrPort, self repl.Member) bool {
	var r Reply
	p := Packet{Cluster: g.Cluster(), Join: &self}
	if err := g.opt.Links.Call(ctx, leader, peer.Step, requestTimeout, p, &r); err != nil {
		g.opt.Log.Debug("join not yet possible", zap.Error(err))
		return false
	}
	// hello may not have asked the leader, and this replica must respond to it before its own configuration lists the leader.
	g.addKnownReplica(r.Self)
	return true
}

// addKnownReplica records a replica that responded, so that messages can be sent to it before the configuration lists it.
func (g *Group) addKnownReplica(m repl.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.knownReplicas[m.ID] = m
}
