package spread

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// proveEvery is the time between two proofs that the leader makes.
	proveEvery = 500 * time.Millisecond
	// stale is the age of the own proof at which another parent is tried.
	stale = 1200 * time.Millisecond
	// homeEvery is the time after which the best parent is tried again.
	homeEvery = 5 * time.Second
	// pullTimeout is how long a parent that does not answer is waited for.
	pullTimeout = memb.Hold + 300*time.Millisecond
	retryPause  = 100 * time.Millisecond
	// holdUnproven is how long a pull waits at a parent whose own proof is old: others may have a proof, but where a leader has
	// just been elected all get one at about the same time.
	holdUnproven = 100 * time.Millisecond
)

type (
	// Root is the control state and the quorum behind it, on a replica.
	Root interface {
		Confirm(ctx context.Context) (time.Time, error)
		Since(version uint64) (items []ctrl.Item, full bool, now uint64)
		Cluster() string
		LeaderAddr() netip.AddrPort
		Replicas() []memb.Replica
	}

	// Options holds what the spread needs; Root is nil on an instance without the log.
	Options struct {
		Self     ctrl.Instance
		Replicas []memb.Replica
		// Seeds returns addresses at which replicas may be found while none is known or answers; it may be nil.
		Seeds func() []netip.AddrPort
		// Direct lets each instance pull from replicas only.
		Direct bool
		Bound  time.Duration
		Links  *peer.Links
		Root   Root
		Log    *zap.Logger
	}

	// Spread is this instance's copy of the configuration.
	Spread struct {
		opt      Options
		view     atomic.Pointer[ctrl.View]
		mu       sync.Mutex
		cluster  string
		items    map[string]ctrl.Item
		floor    uint64
		proof    memb.Proof
		children *memb.Children
		news     chan struct{}
		poke     chan struct{}
		lapsed   bool
		stop     context.CancelFunc
		replicas atomic.Pointer[[]memb.Replica]
		leader   atomic.Pointer[netip.AddrPort]
	}
)

// New returns an empty copy.
func New(opt Options) *Spread {
	s := &Spread{opt: opt, items: map[string]ctrl.Item{}, children: memb.NewChildren(opt.Bound), news: make(chan struct{}),
		poke: make(chan struct{}, 1)}
	s.view.Store(emptyView())
	s.replicas.Store(&opt.Replicas)
	s.leader.Store(&netip.AddrPort{})
	return s
}

func emptyView() *ctrl.View {
	return &ctrl.View{
		Contracts: contr.NewSet(0, nil), Instances: map[string]ctrl.Instance{}, Crashes: map[string]ctrl.Crash{}, Cells: map[string]endpt.Kind{},
		Table: table.New(&table.Table{}), Endpoints: map[string]roster.Endpoint{},
	}
}

// View returns the present configuration; it is never changed.
func (s *Spread) View() *ctrl.View {
	return s.view.Load()
}

// Fresh reports whether the configuration is proven current within the bound.
func (s *Spread) Fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof.Fresh(now, s.opt.Bound)
}

// Age returns the age of the proof, or a day where there is none.
func (s *Spread) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.proof.Moment()
	if !ok {
		return 24 * time.Hour
	}
	return now.Sub(m)
}

// Least returns the least version applied by this instance and all that pull through it, and their number.
func (s *Spread) Least(now time.Time) (uint64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.children.Least(now, s.view.Load().Version)
}

// Run keeps the copy current until the context ends.
func (s *Spread) Run(ctx context.Context) {
	at, home := 0, clock.Now()
	for ctx.Err() == nil {
		if s.opt.Root != nil && s.prove(ctx) {
			at = 0
			s.rest(ctx, proveEvery)
			continue
		}
		parents := s.parents()
		if len(parents) == 0 {
			pace.Pause(ctx, retryPause)
			continue
		}
		if clock.Since(home) > homeEvery {
			at, home = 0, clock.Now()
		}
		if !s.pull(ctx, parents[at%len(parents)]) || s.Age(clock.Now()) > stale {
			if at++; s.rest(ctx, retryPause) {
				at = 0
			}
		}
		s.watch()
	}
}

// rest waits for a time, and reports whether it ended early because something was committed here or another replica leads.
func (s *Spread) rest(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.poke:
		return true
	case <-t.C:
	}
	return false
}

func (s *Spread) parents() []netip.AddrPort {
	var leader netip.AddrPort
	if s.opt.Root != nil {
		leader = s.opt.Root.LeaderAddr()
	}
	instances := s.View().Instances
	if s.opt.Direct {
		instances = nil
	}
	out := memb.Parents(s.opt.Self, instances, s.Replicas(), leader)
	if s.opt.Seeds == nil {
		return out
	}
	for _, a := range s.opt.Seeds() {
		if a != s.opt.Self.Addr && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// Replicas returns the instances that hold the log, as far as they are known.
func (s *Spread) Replicas() []memb.Replica {
	if s.opt.Root != nil {
		return s.opt.Root.Replicas()
	}
	return *s.replicas.Load()
}

// Leader returns the peers' address of the replica that led when this instance last heard of it, or an invalid one.
func (s *Spread) Leader() netip.AddrPort {
	return *s.leader.Load()
}

// lead takes on what a parent or the own replica says of the log's members.
func (s *Spread) lead(leader netip.AddrPort, replicas []memb.Replica) {
	if leader != s.Leader() {
		s.leader.Store(&leader)
		s.opt.Log.Info("leader of the log changed", zap.Stringer("leader", leader))
		s.mu.Lock()
		s.wake()
		s.mu.Unlock()
	}
	if len(replicas) > 0 && !slices.Equal(replicas, s.Replicas()) {
		s.replicas.Store(&replicas)
	}
}

// watch logs when the proof lapses and when it is back.
func (s *Spread) watch() {
	lapsed := !s.Fresh(clock.Now())
	if lapsed == s.lapsed {
		return
	}
	s.lapsed = lapsed
	if lapsed {
		s.opt.Log.Warn("configuration not proven current; admission stops", zap.Duration("age", s.Age(clock.Now())))
		return
	}
	s.opt.Log.Info("configuration proven current", zap.Uint64("version", s.View().Version))
}

// prove renews the proof by a quorum, on the leader, and reports whether this instance is that.
func (s *Spread) prove(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*proveEvery)
	defer cancel()
	moment, err := s.opt.Root.Confirm(ctx)
	if err != nil {
		return false
	}
	items, full, version := s.opt.Root.Since(s.View().Version)
	s.take(s.opt.Root.Cluster(), items, full, version)
	s.lead(s.opt.Root.LeaderAddr(), s.opt.Root.Replicas())
	s.renew(moment)
	s.watch()
	return true
}

// Turn takes on a new leader of the own replica at once: what waits for the old one is given up, and those that pull from
// here are told.
func (s *Spread) Turn() {
	if leader := s.opt.Root.LeaderAddr(); leader.IsValid() {
		s.lead(leader, nil)
	}
	s.mu.Lock()
	if s.stop != nil {
		s.stop()
	}
	s.mu.Unlock()
	s.Wake()
}

// Wake lets the leader take in and spread what was just committed, without waiting for the next proof.
func (s *Spread) Wake() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

func (s *Spread) renew(moment time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof.Renew(moment)
	s.wake()
}

// wake lets the pulls that are held answer.
func (s *Spread) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// pull asks one parent for news and reports whether it could prove them.
func (s *Spread) pull(ctx context.Context, from netip.AddrPort) bool {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	now := clock.Now()
	s.mu.Lock()
	s.stop = stop
	least, count := s.children.Least(now, s.View().Version)
	p := memb.Pull{
		Name: s.opt.Self.Name, Boot: s.opt.Self.Boot, Cluster: s.cluster,
		Version: s.View().Version, Least: least, Count: count,
	}
	s.mu.Unlock()
	var n memb.News
	if err := s.opt.Links.Call(ctx, from, peer.Pull, pullTimeout, p, &n); err != nil {
		s.opt.Log.Debug("pull failed", zap.Error(err))
		return false
	}
	if !s.take(n.Cluster, n.Items, n.Full, n.Version) {
		return false
	}
	if n.Proven {
		s.lead(n.Leader, n.Replicas)
		s.renew(memb.FromNews(now, n))
	}
	return n.Proven
}

// take applies newer items and reports whether they were of this cluster and not older than what is here.
func (s *Spread) take(cluster string, items []ctrl.Item, full bool, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cluster == "" || s.cluster != "" && cluster != s.cluster {
		return false
	}
	s.cluster = cluster
	old := s.view.Load()
	if version < old.Version {
		return false
	}
	if version == old.Version {
		return true
	}
	if full {
		s.items = map[string]ctrl.Item{}
		s.floor = version
	}
	for _, it := range items {
		s.items[string(it.Kind)+"/"+it.Key] = it
	}
	v := build(version, s.items, old, items, full)
	s.view.Store(v)
	s.opt.Log.Info("configuration applied", zap.Uint64("version", version), zap.Uint64("before", old.Version), zap.Int("changed", len(items)),
		zap.Bool("full", full), zap.Uint64("table", v.Table.Version()), zap.Int("endpoints", len(v.Endpoints)), zap.Int("prints", len(v.Crashes)))
	s.wake()
	return true
}

// build makes the view of a version from the old one and the changed items, or from all items where full is set.
func build(version uint64, all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item, full bool) *ctrl.View {
	if full {
		old, changed = emptyView(), slices.Collect(maps.Values(all))
	}
	v := &ctrl.View{
		Version: version, Instances: maps.Clone(old.Instances), Crashes: maps.Clone(old.Crashes), Cells: maps.Clone(old.Cells),
	}
	contracts := map[string]*contr.Contract{}
	for _, it := range changed {
		set(v, contracts, it)
	}
	v.Contracts = old.Contracts.With(version, contracts)
	v.Table, v.Endpoints = routing(all, old, changed)
	return v
}

// routing returns the routing table and the endpoints of a view, which are those of the old one where nothing changed.
func routing(all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item) (*table.Index, map[string]roster.Endpoint) {
	index, eps := old.Table, old.Endpoints
	for _, it := range changed {
		switch it.Kind {
		case ctrl.KindTable, ctrl.KindRoute, ctrl.KindService, ctrl.KindOrganisation:
			index = nil
		case ctrl.KindEndpoint:
			eps = nil
		}
	}
	if index == nil {
		index = table.New(assemble(all))
	}
	if eps != nil {
		return index, eps
	}
	eps = map[string]roster.Endpoint{}
	for _, it := range all {
		var e roster.Endpoint
		if it.Kind == ctrl.KindEndpoint && !it.Deleted && cbor.Unmarshal(it.Data, &e) == nil {
			eps[it.Key] = e
		}
	}
	return index, eps
}

// assemble puts a table together from its parts.
func assemble(all map[string]ctrl.Item) *table.Table {
	t := &table.Table{}
	for _, it := range all {
		if it.Deleted {
			continue
		}
		switch it.Kind {
		case ctrl.KindTable:
			var h ctrl.TableHeader
			if cbor.Unmarshal(it.Data, &h) == nil {
				t.Version, t.Limits = h.Version, h.Limits
			}
		case ctrl.KindRoute:
			t.Routes = decoded(t.Routes, it)
		case ctrl.KindService:
			t.Services = decoded(t.Services, it)
		case ctrl.KindOrganisation:
			t.Organisations = decoded(t.Organisations, it)
		}
	}
	return t
}

// decoded appends what an item holds.
func decoded[T any](to []T, it ctrl.Item) []T {
	var v T
	if cbor.Unmarshal(it.Data, &v) != nil {
		return to
	}
	return append(to, v)
}

func set(v *ctrl.View, contracts map[string]*contr.Contract, it ctrl.Item) {
	switch it.Kind {
	case ctrl.KindContract:
		var c ctrl.VersionedContract
		contracts[it.Key] = nil
		if !it.Deleted && cbor.Unmarshal(it.Data, &c) == nil {
			contracts[it.Key] = &c.Contract
		}
	case ctrl.KindInstance:
		var i ctrl.Instance
		delete(v.Instances, it.Key)
		if !it.Deleted && cbor.Unmarshal(it.Data, &i) == nil {
			v.Instances[it.Key] = i
		}
	case ctrl.KindCell:
		var k endpt.Kind
		if cbor.Unmarshal(it.Data, &k) == nil {
			v.Cells[it.Key] = k
		}
	case ctrl.KindCrash:
		var p ctrl.Crash
		delete(v.Crashes, it.Key)
		if !it.Deleted && cbor.Unmarshal(it.Data, &p) == nil {
			v.Crashes[it.Key] = p
		}
	}
}

// Serve answers a child's pull: at once when there is something newer, else when the proof is renewed. Where the own proof is old
// the answer comes soon, so that the child turns to another parent.
func (s *Spread) Serve(ctx context.Context, p memb.Pull) (memb.News, error) {
	arrived := clock.Now()
	s.mu.Lock()
	s.children.Seen(arrived, p)
	news := s.news
	moment, ok := s.proof.Moment()
	wait := holdUnproven
	if ok && arrived.Sub(moment) < stale {
		if wait = memb.Hold; s.view.Load().Version > p.Version {
			wait = 0
		}
	}
	s.mu.Unlock()
	if wait > 0 {
		hold := time.NewTimer(wait)
		defer hold.Stop()
		select {
		case <-news:
		case <-hold.C:
		case <-ctx.Done():
		}
	}
	return s.answer(arrived, p), nil
}

func (s *Spread) answer(arrived time.Time, p memb.Pull) memb.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := memb.News{Cluster: s.cluster, Version: s.view.Load().Version, Leader: s.Leader(), Replicas: s.Replicas()}
	moment, ok := s.proof.Moment()
	n.Proven = ok && s.proof.Fresh(clock.Now(), s.opt.Bound)
	n.Ahead = moment.Sub(arrived)
	if !n.Proven {
		n.Ahead = 0
	}
	since := p.Version
	if p.Cluster != s.cluster || since < s.floor {
		since, n.Full = 0, true
	}
	for _, it := range s.items {
		if it.ModVersion > since {
			n.Items = append(n.Items, it)
		}
	}
	return n
}
