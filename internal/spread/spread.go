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
	// proofInterval is the time between two proofs on the leader.
	proofInterval = 500 * time.Millisecond
	// staleAge is the age of the local proof above which another parent is tried.
	staleAge = 1200 * time.Millisecond
	// bestParentInterval is the time after which the best parent is tried again.
	bestParentInterval = 5 * time.Second
	// pullTimeout limits one pull.
	pullTimeout = memb.Hold + 300*time.Millisecond
	// retryDelay is the time between two pulls after a failure.
	retryDelay = 100 * time.Millisecond
	// unprovenHold is how long a parent with a stale proof holds a pull. It is short, as another parent may have a proof; it is
	// not 0, as all parents get a proof at about the same time after an election.
	unprovenHold = 100 * time.Millisecond
)

type (
	// Root is the replicated control state, on an instance that holds a replica of the log.
	Root interface {
		// Confirm proves by a quorum read that the local state was current at the returned time; it fails unless this replica leads.
		Confirm(ctx context.Context) (time.Time, error)
		// Since returns the items changed after a version and the latest version; full means that they are all items.
		Since(version uint64) (items []ctrl.Item, full bool, latest uint64)
		// Cluster returns the cluster ID, or the empty string.
		Cluster() string
		// LeaderAddr returns the address of the leader, or an invalid address.
		LeaderAddr() netip.AddrPort
		// Replicas returns the instances that hold the log.
		Replicas() []memb.Replica
	}

	// Options configures a Spread. Root is nil on an instance without a replica of the log; Replicas are the replicas known at the
	// start; Bound is the age at which a proof is no longer accepted.
	Options struct {
		Self     ctrl.Instance
		Replicas []memb.Replica
		// Seeds returns addresses at which to look for replicas while none is known or responds; it may be nil.
		Seeds func() []netip.AddrPort
		// Direct makes this instance pull from replicas only.
		Direct bool
		Bound  time.Duration
		Links  *peer.Links
		Root   Root
		Log    *zap.Logger
	}

	// Spread is this instance's copy of the configuration. It is safe for concurrent use.
	Spread struct {
		opt         Options
		view        atomic.Pointer[ctrl.View]
		mu          sync.Mutex
		cluster     string
		items       map[string]ctrl.Item
		baseVersion uint64
		proof       memb.Proof
		children    *memb.Children
		updated     chan struct{}
		wakeup      chan struct{}
		proofLapsed bool
		cancelPull  context.CancelFunc
		replicas    atomic.Pointer[[]memb.Replica]
		leader      atomic.Pointer[netip.AddrPort]
	}
)

// New returns an empty copy; Run keeps it current.
func New(opt Options) *Spread {
	s := &Spread{opt: opt, items: map[string]ctrl.Item{}, children: memb.NewChildren(opt.Bound), updated: make(chan struct{}),
		wakeup: make(chan struct{}, 1)}
	s.view.Store(emptyView())
	s.replicas.Store(&opt.Replicas)
	s.leader.Store(&netip.AddrPort{})
	return s
}

func emptyView() *ctrl.View {
	return &ctrl.View{
		Contracts: contr.NewSet(0, nil), Instances: map[string]ctrl.Instance{},
		Prints: map[string]ctrl.Print{}, Cells: map[string]endpt.Kind{},
		Table: table.New(&table.Table{}), Endpoints: map[string]roster.Endpoint{},
	}
}

// View returns the current configuration, which is immutable.
func (s *Spread) View() *ctrl.View {
	return s.view.Load()
}

// Fresh reports whether the configuration is proven current within Options.Bound.
func (s *Spread) Fresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.proof.Fresh(now, s.opt.Bound)
}

// Age returns the age of the proof, or 24 hours if there is none.
func (s *Spread) Age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	provenAt, ok := s.proof.Moment()
	if !ok {
		return 24 * time.Hour
	}
	return now.Sub(provenAt)
}

// Least returns the lowest version applied by this instance and all that pull through it, and their number.
func (s *Spread) Least(now time.Time) (uint64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.children.Least(now, s.view.Load().Version)
}

// Run keeps the copy current until the context ends.
func (s *Spread) Run(ctx context.Context) {
	parentIndex, lastReset := 0, clock.Now()
	for ctx.Err() == nil {
		if s.opt.Root != nil && s.proveAsLeader(ctx) {
			parentIndex = 0
			s.waitWakeup(ctx, proofInterval)
			continue
		}
		parents := s.parents()
		if len(parents) == 0 {
			pace.Pause(ctx, retryDelay)
			continue
		}
		if clock.Since(lastReset) > bestParentInterval {
			parentIndex, lastReset = 0, clock.Now()
		}
		if !s.pull(ctx, parents[parentIndex%len(parents)]) || s.Age(clock.Now()) > staleAge {
			if parentIndex++; s.waitWakeup(ctx, retryDelay) {
				parentIndex = 0
			}
		}
		s.logProofState()
	}
}

// waitWakeup waits for the timeout, and reports whether Wake ended the wait early.
func (s *Spread) waitWakeup(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.wakeup:
		return true
	case <-timer.C:
	}
	return false
}

// parents returns the addresses to pull from, best first, and the seeds at the end.
func (s *Spread) parents() []netip.AddrPort {
	var leader netip.AddrPort
	if s.opt.Root != nil {
		leader = s.opt.Root.LeaderAddr()
	}
	instances := s.View().Instances
	if s.opt.Direct {
		instances = nil
	}
	addrs := memb.Parents(s.opt.Self, instances, s.Replicas(), leader)
	if s.opt.Seeds == nil {
		return addrs
	}
	for _, addr := range s.opt.Seeds() {
		if addr != s.opt.Self.Addr && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Replicas returns the known instances that hold a replica of the log.
func (s *Spread) Replicas() []memb.Replica {
	if s.opt.Root != nil {
		return s.opt.Root.Replicas()
	}
	return *s.replicas.Load()
}

// Leader returns the peer address of the last known leader of the log, or an invalid address.
func (s *Spread) Leader() netip.AddrPort {
	return *s.leader.Load()
}

// setLeader records the leader and, if there are any, the replicas, as told by a parent or by the local replica.
func (s *Spread) setLeader(leader netip.AddrPort, replicas []memb.Replica) {
	if leader != s.Leader() {
		s.leader.Store(&leader)
		s.opt.Log.Info("leader of the log changed", zap.Stringer("leader", leader))
		s.mu.Lock()
		s.notifyPulls()
		s.mu.Unlock()
	}
	if len(replicas) > 0 && !slices.Equal(replicas, s.Replicas()) {
		s.replicas.Store(&replicas)
	}
}

// logProofState logs when the proof lapses and when it is renewed after that.
func (s *Spread) logProofState() {
	lapsed := !s.Fresh(clock.Now())
	if lapsed == s.proofLapsed {
		return
	}
	s.proofLapsed = lapsed
	if lapsed {
		s.opt.Log.Warn("configuration not proven current; admission stops", zap.Duration("age", s.Age(clock.Now())))
		return
	}
	s.opt.Log.Info("configuration proven current", zap.Uint64("version", s.View().Version))
}

// proveAsLeader renews the proof by a quorum read and reports whether this instance is the leader.
func (s *Spread) proveAsLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*proofInterval)
	defer cancel()
	provenAt, err := s.opt.Root.Confirm(ctx)
	if err != nil {
		return false
	}
	items, full, version := s.opt.Root.Since(s.View().Version)
	s.applyItems(s.opt.Root.Cluster(), items, full, version)
	s.setLeader(s.opt.Root.LeaderAddr(), s.opt.Root.Replicas())
	s.renewProof(provenAt)
	s.logProofState()
	return true
}

// Turn adopts the leader known to the local replica at once: it cancels the pull in progress and notifies the held pulls.
func (s *Spread) Turn() {
	if leader := s.opt.Root.LeaderAddr(); leader.IsValid() {
		s.setLeader(leader, nil)
	}
	s.mu.Lock()
	if s.cancelPull != nil {
		s.cancelPull()
	}
	s.mu.Unlock()
	s.Wake()
}

// Wake makes the leader apply and distribute a change just committed, without waiting for the next proof.
func (s *Spread) Wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *Spread) renewProof(provenAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proof.Renew(provenAt)
	s.notifyPulls()
}

// notifyPulls ends the wait of all held pulls. The caller must hold s.mu.
func (s *Spread) notifyPulls() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// pull pulls from one parent and reports whether the response was applied and proven current.
func (s *Spread) pull(ctx context.Context, from netip.AddrPort) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := clock.Now()
	s.mu.Lock()
	s.cancelPull = cancel
	least, count := s.children.Least(sent, s.View().Version)
	request := memb.Pull{
		Name: s.opt.Self.Name, Boot: s.opt.Self.Boot, Cluster: s.cluster,
		Version: s.View().Version, Least: least, Count: count,
	}
	s.mu.Unlock()
	var news memb.News
	if err := s.opt.Links.Call(ctx, from, peer.Pull, pullTimeout, request, &news); err != nil {
		s.opt.Log.Debug("pull failed", zap.Error(err))
		return false
	}
	if !s.applyItems(news.Cluster, news.Items, news.Full, news.Version) {
		return false
	}
	if news.Proven {
		s.setLeader(news.Leader, news.Replicas)
		s.renewProof(memb.FromNews(sent, news))
	}
	return news.Proven
}

// applyItems applies changed items, and reports whether they belong to this cluster and are not older than the local version.
func (s *Spread) applyItems(cluster string, items []ctrl.Item, full bool, version uint64) bool {
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
		s.baseVersion = version
	}
	for _, item := range items {
		s.items[string(item.Kind)+"/"+item.Key] = item
	}
	view := buildView(version, s.items, old, items, full)
	s.view.Store(view)
	s.opt.Log.Info("configuration applied", zap.Uint64("version", version), zap.Uint64("before", old.Version),
		zap.Int("changed", len(items)), zap.Bool("full", full), zap.Uint64("table", view.Table.Version()),
		zap.Int("endpoints", len(view.Endpoints)), zap.Int("prints", len(view.Prints)))
	s.notifyPulls()
	return true
}

// buildView builds the view of a version from the old view and the changed items, or from all items if full is set.
func buildView(version uint64, all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item, full bool) *ctrl.View {
	if full {
		old, changed = emptyView(), slices.Collect(maps.Values(all))
	}
	view := &ctrl.View{
		Version: version, Instances: maps.Clone(old.Instances), Prints: maps.Clone(old.Prints), Cells: maps.Clone(old.Cells),
	}
	contracts := map[string]*contr.Contract{}
	for _, item := range changed {
		setItem(view, contracts, item)
	}
	view.Contracts = old.Contracts.With(version, contracts)
	view.Table, view.Endpoints = buildRouting(all, old, changed)
	return view
}

// buildRouting returns the routing table and the endpoints of a view; each is taken from the old view if none of its items changed.
func buildRouting(all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item) (*table.Index, map[string]roster.Endpoint) {
	index, endpoints := old.Table, old.Endpoints
	for _, item := range changed {
		switch item.Kind {
		case ctrl.KindTable, ctrl.KindRoute, ctrl.KindService, ctrl.KindOrg:
			index = nil
		case ctrl.KindEndpoint:
			endpoints = nil
		}
	}
	if index == nil {
		index = table.New(assembleTable(all))
	}
	if endpoints != nil {
		return index, endpoints
	}
	endpoints = map[string]roster.Endpoint{}
	for _, item := range all {
		var endpoint roster.Endpoint
		if item.Kind == ctrl.KindEndpoint && !item.Gone && cbor.Unmarshal(item.Data, &endpoint) == nil {
			endpoints[item.Key] = endpoint
		}
	}
	return index, endpoints
}

// assembleTable builds the routing table from its items.
func assembleTable(all map[string]ctrl.Item) *table.Table {
	t := &table.Table{}
	for _, item := range all {
		if item.Gone {
			continue
		}
		switch item.Kind {
		case ctrl.KindTable:
			var head ctrl.Head
			if cbor.Unmarshal(item.Data, &head) == nil {
				t.Version, t.Limits = head.Version, head.Limits
			}
		case ctrl.KindRoute:
			t.Routes = appendDecoded(t.Routes, item)
		case ctrl.KindService:
			t.Services = appendDecoded(t.Services, item)
		case ctrl.KindOrg:
			t.Organisations = appendDecoded(t.Organisations, item)
		}
	}
	return t
}

// appendDecoded decodes an item and appends its value; an item that cannot be decoded is skipped.
func appendDecoded[T any](values []T, item ctrl.Item) []T {
	var value T
	if cbor.Unmarshal(item.Data, &value) != nil {
		return values
	}
	return append(values, value)
}

// setItem applies a changed contract, instance, cell or fingerprint to a view. Contracts are collected, with nil for a removed one.
func setItem(view *ctrl.View, contracts map[string]*contr.Contract, item ctrl.Item) {
	switch item.Kind {
	case ctrl.KindContract:
		var c ctrl.Signed
		contracts[item.Key] = nil
		if !item.Gone && cbor.Unmarshal(item.Data, &c) == nil {
			contracts[item.Key] = &c.Contract
		}
	case ctrl.KindInstance:
		var instance ctrl.Instance
		delete(view.Instances, item.Key)
		if !item.Gone && cbor.Unmarshal(item.Data, &instance) == nil {
			view.Instances[item.Key] = instance
		}
	case ctrl.KindCell:
		var kind endpt.Kind
		if cbor.Unmarshal(item.Data, &kind) == nil {
			view.Cells[item.Key] = kind
		}
	case ctrl.KindPrint:
		var p ctrl.Print
		delete(view.Prints, item.Key)
		if !item.Gone && cbor.Unmarshal(item.Data, &p) == nil {
			view.Prints[item.Key] = p
		}
	}
}

// Serve answers a child's pull: at once if there is a newer version, else when the proof is renewed or after memb.Hold. With a
// stale proof it answers after unprovenHold, so that the child tries another parent.
func (s *Spread) Serve(ctx context.Context, request memb.Pull) (memb.News, error) {
	arrived := clock.Now()
	s.mu.Lock()
	s.children.Seen(arrived, request)
	updated := s.updated
	provenAt, ok := s.proof.Moment()
	hold := unprovenHold
	if ok && arrived.Sub(provenAt) < staleAge {
		if hold = memb.Hold; s.view.Load().Version > request.Version {
			hold = 0
		}
	}
	s.mu.Unlock()
	if hold > 0 {
		timer := time.NewTimer(hold)
		defer timer.Stop()
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return s.newsFor(arrived, request), nil
}

// newsFor returns the response to a pull: the items changed since the child's version, or all items if the child belongs to no or
// another cluster or its version predates the last full replacement.
func (s *Spread) newsFor(arrived time.Time, request memb.Pull) memb.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := memb.News{Cluster: s.cluster, Version: s.view.Load().Version, Leader: s.Leader(), Replicas: s.Replicas()}
	provenAt, ok := s.proof.Moment()
	news.Proven = ok && s.proof.Fresh(clock.Now(), s.opt.Bound)
	news.Ahead = provenAt.Sub(arrived)
	if !news.Proven {
		news.Ahead = 0
	}
	since := request.Version
	if request.Cluster != s.cluster || since < s.baseVersion {
		since, news.Full = 0, true
	}
	for _, item := range s.items {
		if item.Mod > since {
			news.Items = append(news.Items, item)
		}
	}
	return news
}
