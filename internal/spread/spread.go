package spread

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/blame"
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
	// staleAge is the age of the local proof above which it is stale, so that another parent is tried. A stale proof still admits
	// requests until it expires at Options.MaxProofAge.
	staleAge = 1200 * time.Millisecond
	// bestParentInterval is the time after which the best parent is tried again.
	bestParentInterval = 5 * time.Second
	// pullTimeout limits one pull.
	pullTimeout = memb.MaxHold + 300*time.Millisecond
	// retryDelay is the minimum time between the starts of two pulls after a failure. A pull that was held as long is followed by the
	// next at once, so that an instance learns of the first proof after an election when it is made.
	retryDelay = 100 * time.Millisecond
	// unprovenHold is the longest time for which a parent with no proof or a stale one holds a pull. It is short, as another
	// parent may have a proof; it is not 0, as all parents get a proof at about the same time after an election.
	unprovenHold = 100 * time.Millisecond
)

type (
	// LocalReplica gives access to the replicated control state on an instance that holds a replica of the log.
	LocalReplica interface {
		// Confirm proves by a quorum read that the local state was current at the returned time; it fails unless this replica leads.
		Confirm(ctx context.Context) (time.Time, error)
		// Since returns the items changed after a version and the latest version; full means that they are all items.
		Since(version uint64) (items []ctrl.Item, full bool, latest uint64)
		// Cluster returns the cluster ID, or the empty string.
		Cluster() string
		// LeaderAddr returns the address of the leader, or an invalid address.
		LeaderAddr() netip.AddrPort
		// Replicas returns the instances that hold a replica of the log.
		Replicas() []memb.Replica
	}

	// Options configures a Distributor.
	Options struct {
		Self ctrl.Instance
		// Replicas are the replicas known at the start.
		Replicas []memb.Replica
		// SeedAddrs returns addresses at which to look for replicas while none is known or responds; it may be nil.
		SeedAddrs func() []netip.AddrPort
		// ReplicasOnly makes this instance pull from replicas only.
		ReplicasOnly bool
		// MaxProofAge is the age at which a proof is no longer accepted.
		MaxProofAge time.Duration
		Links       *peer.Links
		// LocalReplica is nil on an instance without a replica of the log.
		LocalReplica LocalReplica
		Log          *zap.Logger
	}

	// Distributor maintains this instance's copy of the configuration and serves it to other instances. It is safe for concurrent
	// use.
	Distributor struct {
		opt  Options
		view atomic.Pointer[ctrl.View]
		// mu guards cluster, items, baseVersion, proof, children, packed, packedVersion, updated and cancelPull.
		mu      sync.Mutex
		cluster string
		items   map[string]ctrl.Item
		// baseVersion is the version of the last full replacement of items; which items changed before it is not known.
		baseVersion uint64
		proof       memb.Proof
		children    *memb.Children
		// packed holds all items of packedVersion in packed form, or nil.
		packed        []byte
		packedVersion uint64
		// updated is closed and replaced at each new version, proof or leader, which ends the wait of held pulls.
		updated chan struct{}
		// wakeup ends the wait of Run.
		wakeup chan struct{}
		// proofExpired is the state of the proof last logged.
		proofExpired bool
		cancelPull   context.CancelFunc
		replicas     atomic.Pointer[[]memb.Replica]
		leader       atomic.Pointer[netip.AddrPort]
	}
)

// New returns a Distributor with an empty configuration; Run keeps it current.
func New(opt Options) *Distributor {
	d := &Distributor{opt: opt, items: map[string]ctrl.Item{}, children: memb.NewChildren(opt.MaxProofAge), updated: make(chan struct{}),
		wakeup: make(chan struct{}, 1)}
	d.view.Store(emptyView())
	d.replicas.Store(&opt.Replicas)
	d.leader.Store(&netip.AddrPort{})
	return d
}

func emptyView() *ctrl.View {
	return &ctrl.View{
		Contracts: contr.NewSet(0, nil), Instances: map[string]ctrl.Instance{},
		Crashes: map[string]ctrl.Crash{}, Parts: blame.Records{}, Cells: map[string]endpt.Kind{},
		Table: table.New(&table.Table{}), Endpoints: map[string]roster.Endpoint{},
	}
}

// View returns the current configuration, which is immutable.
func (d *Distributor) View() *ctrl.View {
	return d.view.Load()
}

// ConfigCurrent reports whether the configuration is proven current within Options.MaxProofAge.
func (d *Distributor) ConfigCurrent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.proof.Valid(now, d.opt.MaxProofAge)
}

// ProofAge returns the age of the proof, or 24 hours if there is none.
func (d *Distributor) ProofAge(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	provenAt, ok := d.proof.Time()
	if !ok {
		return 24 * time.Hour
	}
	return now.Sub(provenAt)
}

// LeastVersion returns the lowest version applied by this instance and all that pull through it, and their number.
func (d *Distributor) LeastVersion(now time.Time) (uint64, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.children.LeastVersion(now, d.view.Load().Version)
}

// Run keeps the copy current until the context ends.
func (d *Distributor) Run(ctx context.Context) {
	parentIndex, lastReset := 0, clock.Now()
	for ctx.Err() == nil {
		if d.opt.LocalReplica != nil && d.proveAsLeader(ctx) {
			parentIndex = 0
			d.waitWakeup(ctx, proofInterval)
			continue
		}
		parents := d.parents()
		if len(parents) == 0 {
			pace.Sleep(ctx, retryDelay)
			continue
		}
		if clock.Since(lastReset) > bestParentInterval {
			parentIndex, lastReset = 0, clock.Now()
		}
		began := clock.Now()
		if !d.pull(ctx, parents[parentIndex%len(parents)]) || d.ProofAge(clock.Now()) > staleAge {
			if parentIndex++; d.waitWakeup(ctx, retryDelay-clock.Since(began)) {
				parentIndex = 0
			}
		}
		d.logProofState()
	}
}

// waitWakeup waits for the timeout, and reports whether Wake ended the wait early.
func (d *Distributor) waitWakeup(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wakeup:
		return true
	case <-timer.C:
	}
	return false
}

// parents returns the addresses to pull from, best first, and the seeds at the end.
func (d *Distributor) parents() []netip.AddrPort {
	var leader netip.AddrPort
	if d.opt.LocalReplica != nil {
		leader = d.opt.LocalReplica.LeaderAddr()
	}
	instances := d.View().Instances
	if d.opt.ReplicasOnly {
		instances = nil
	}
	addrs := memb.Parents(d.opt.Self, instances, d.Replicas(), leader)
	if d.opt.SeedAddrs == nil {
		return addrs
	}
	for _, addr := range seedOrder(d.opt.Self.Name, d.opt.SeedAddrs()) {
		if addr != d.opt.Self.Addr && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// seedOrder returns the seeds in the order in which an instance asks them. Each is the first for some of the instances, as all ask
// seeds at the same time after a loss of power.
func seedOrder(name string, seeds []netip.AddrPort) []netip.AddrPort {
	if len(seeds) == 0 {
		return nil
	}
	first := xxhash.Sum64String(name) % uint64(len(seeds))
	return slices.Concat(seeds[first:], seeds[:first])
}

// Replicas returns the known instances that hold a replica of the log.
func (d *Distributor) Replicas() []memb.Replica {
	if d.opt.LocalReplica != nil {
		return d.opt.LocalReplica.Replicas()
	}
	return *d.replicas.Load()
}

// Leader returns the peer address of the last known leader of the log, or an invalid address.
func (d *Distributor) Leader() netip.AddrPort {
	return *d.leader.Load()
}

// setLeader records the leader and, if there are any, the replicas, as told by a parent or by the local replica.
func (d *Distributor) setLeader(leader netip.AddrPort, replicas []memb.Replica) {
	if leader != d.Leader() {
		d.leader.Store(&leader)
		d.opt.Log.Info("leader of the log changed", zap.Stringer("leader", leader))
		d.mu.Lock()
		d.notifyPulls()
		d.mu.Unlock()
	}
	if len(replicas) > 0 && !slices.Equal(replicas, d.Replicas()) {
		d.replicas.Store(&replicas)
	}
}

// logProofState logs when the proof expires and when it is renewed after that.
func (d *Distributor) logProofState() {
	expired := !d.ConfigCurrent(clock.Now())
	if expired == d.proofExpired {
		return
	}
	d.proofExpired = expired
	if expired {
		d.opt.Log.Warn("configuration not proven current; admission stops", zap.Duration("age", d.ProofAge(clock.Now())))
		return
	}
	d.opt.Log.Info("configuration proven current", zap.Uint64("version", d.View().Version))
}

// proveAsLeader renews the proof by a quorum read and reports whether this instance is the leader.
func (d *Distributor) proveAsLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*proofInterval)
	defer cancel()
	provenAt, err := d.opt.LocalReplica.Confirm(ctx)
	if err != nil {
		return false
	}
	items, full, version := d.opt.LocalReplica.Since(d.View().Version)
	d.applyItems(d.opt.LocalReplica.Cluster(), items, full, version)
	d.setLeader(d.opt.LocalReplica.LeaderAddr(), d.opt.LocalReplica.Replicas())
	d.renewProof(provenAt)
	d.logProofState()
	return true
}

// LeaderChanged adopts the leader known to the local replica at once: it cancels the pull in progress and notifies the held pulls.
func (d *Distributor) LeaderChanged() {
	if leader := d.opt.LocalReplica.LeaderAddr(); leader.IsValid() {
		d.setLeader(leader, nil)
	}
	d.mu.Lock()
	if d.cancelPull != nil {
		d.cancelPull()
	}
	d.mu.Unlock()
	d.Wake()
}

// Wake ends the wait of Run: the leader applies and distributes a change just committed without waiting for the next proof, and any
// other instance tries its best parent again.
func (d *Distributor) Wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

func (d *Distributor) renewProof(provenAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.proof.Renew(provenAt)
	d.notifyPulls()
}

// notifyPulls ends the wait of all held pulls. The caller must hold d.mu.
func (d *Distributor) notifyPulls() {
	close(d.updated)
	d.updated = make(chan struct{})
}

// pull pulls from one parent and reports whether the response was applied and proven current.
func (d *Distributor) pull(ctx context.Context, from netip.AddrPort) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := clock.Now()
	d.mu.Lock()
	d.cancelPull = cancel
	least, count := d.children.LeastVersion(sent, d.View().Version)
	request := memb.PullRequest{
		Name: d.opt.Self.Name, Boot: d.opt.Self.Boot, Cluster: d.cluster,
		Version: d.View().Version, LeastVersion: least, InstanceCount: count, ReadsPacked: true,
	}
	d.mu.Unlock()
	var response memb.PullResponse
	if err := d.opt.Links.Call(ctx, from, peer.Pull, pullTimeout, request, &response); err != nil {
		d.opt.Log.Debug("pull of the configuration failed", zap.Error(err))
		return false
	}
	if err := response.Unpack(); err != nil {
		d.opt.Log.Warn("configuration not read", zap.Stringer("peer", from), zap.Error(err))
		return false
	}
	if !d.applyItems(response.Cluster, response.Items, response.Full, response.Version) {
		return false
	}
	if response.Proven {
		d.setLeader(response.Leader, response.Replicas)
		d.renewProof(memb.ProofTime(sent, response))
	}
	return response.Proven
}

// applyItems applies changed items, and reports whether they belong to this cluster and are not older than the local version.
func (d *Distributor) applyItems(cluster string, items []ctrl.Item, full bool, version uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cluster == "" || d.cluster != "" && cluster != d.cluster {
		return false
	}
	d.cluster = cluster
	old := d.view.Load()
	if version < old.Version {
		return false
	}
	if version == old.Version {
		return true
	}
	if full {
		d.items = map[string]ctrl.Item{}
		d.baseVersion = version
	}
	for _, item := range items {
		d.items[string(item.Kind)+"/"+item.Key] = item
	}
	view := buildView(version, d.items, old, items, full)
	d.view.Store(view)
	d.opt.Log.Info("configuration applied", zap.Uint64("version", version), zap.Uint64("before", old.Version),
		zap.Int("changed", len(items)), zap.Bool("full", full), zap.Uint64("table", view.Table.Version()),
		zap.Int("endpoints", len(view.Endpoints)), zap.Int("prints", len(view.Crashes)), zap.Int("parts", len(view.Parts)))
	if wakesPulls(items, full) {
		d.notifyPulls()
	}
	return true
}

// wakesPulls reports whether a change goes to other instances at once. One of the list of instances goes with the next proof: after a
// loss of power all instances register, and each registration would be an answer to each of them.
func wakesPulls(changed []ctrl.Item, full bool) bool {
	return full || slices.ContainsFunc(changed, func(item ctrl.Item) bool { return item.Kind != ctrl.KindInstance })
}

// buildView builds the view of a version from the old view and the changed items, or from all items if full is set.
func buildView(version uint64, all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item, full bool) *ctrl.View {
	if full {
		old, changed = emptyView(), slices.Collect(maps.Values(all))
	}
	view := &ctrl.View{
		Version: version, Instances: maps.Clone(old.Instances), Crashes: maps.Clone(old.Crashes), Cells: maps.Clone(old.Cells),
		Parts: maps.Clone(old.Parts),
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
		case ctrl.KindTable, ctrl.KindRoute, ctrl.KindService, ctrl.KindOrganisation:
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
		if item.Kind == ctrl.KindEndpoint && !item.Deleted && cbor.Unmarshal(item.Data, &endpoint) == nil {
			endpoints[item.Key] = endpoint
		}
	}
	return index, endpoints
}

// assembleTable builds the routing table from its items.
func assembleTable(all map[string]ctrl.Item) *table.Table {
	t := &table.Table{}
	for _, item := range all {
		if item.Deleted {
			continue
		}
		switch item.Kind {
		case ctrl.KindTable:
			var header ctrl.TableHeader
			if cbor.Unmarshal(item.Data, &header) == nil {
				t.Version, t.Limits = header.Version, header.Limits
			}
		case ctrl.KindRoute:
			t.Routes = appendDecoded(t.Routes, item)
		case ctrl.KindService:
			t.Services = appendDecoded(t.Services, item)
		case ctrl.KindOrganisation:
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

// setItem applies a changed instance, cell, crash record or record of a prompt part to a view. A changed contract is added to
// contracts, a removed one as nil.
func setItem(view *ctrl.View, contracts map[string]*contr.Contract, item ctrl.Item) {
	switch item.Kind {
	case ctrl.KindContract:
		var c ctrl.VersionedContract
		contracts[item.Key] = nil
		if !item.Deleted && cbor.Unmarshal(item.Data, &c) == nil {
			contracts[item.Key] = &c.Contract
		}
	case ctrl.KindInstance:
		var instance ctrl.Instance
		delete(view.Instances, item.Key)
		if !item.Deleted && cbor.Unmarshal(item.Data, &instance) == nil {
			view.Instances[item.Key] = instance
		}
	case ctrl.KindCell:
		var kind endpt.Kind
		if cbor.Unmarshal(item.Data, &kind) == nil {
			view.Cells[item.Key] = kind
		}
	case ctrl.KindCrash:
		var crash ctrl.Crash
		delete(view.Crashes, item.Key)
		if !item.Deleted && cbor.Unmarshal(item.Data, &crash) == nil {
			view.Crashes[item.Key] = crash
		}
	case ctrl.KindPart:
		var rec blame.Record
		part, err := strconv.ParseUint(item.Key, 16, 64)
		delete(view.Parts, part)
		if err == nil && !item.Deleted && cbor.Unmarshal(item.Data, &rec) == nil {
			view.Parts[part] = rec
		}
	}
}

// Serve answers a child's pull: at once if there is a newer version, else at the next new version, proof or leader, and at the latest
// after memb.MaxHold. With no proof or a stale one it waits in any case, but at most unprovenHold, so that the child tries another
// parent.
func (d *Distributor) Serve(ctx context.Context, request memb.PullRequest) (memb.PullResponse, error) {
	arrived := clock.Now()
	d.mu.Lock()
	d.children.RecordPull(arrived, request)
	updated := d.updated
	provenAt, ok := d.proof.Time()
	hold := unprovenHold
	if ok && arrived.Sub(provenAt) < staleAge {
		if hold = memb.MaxHold; d.view.Load().Version > request.Version {
			hold = 0
		}
	}
	d.mu.Unlock()
	if hold > 0 {
		timer := time.NewTimer(hold)
		defer timer.Stop()
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return d.responseTo(arrived, request), nil
}

// responseTo returns the response to a pull: the items changed since the child's version, or all items if the child belongs to no or
// another cluster or its version predates the last full replacement.
func (d *Distributor) responseTo(arrived time.Time, request memb.PullRequest) memb.PullResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := memb.PullResponse{Cluster: d.cluster, Version: d.view.Load().Version, Leader: d.Leader(), Replicas: d.Replicas()}
	provenAt, ok := d.proof.Time()
	response.Proven = ok && d.proof.Valid(clock.Now(), d.opt.MaxProofAge)
	response.ProofOffset = provenAt.Sub(arrived)
	if !response.Proven {
		response.ProofOffset = 0
	}
	since := request.Version
	if request.Cluster != d.cluster || since < d.baseVersion {
		since, response.Full = 0, true
	}
	for _, item := range d.items {
		if item.ModVersion > since {
			response.Items = append(response.Items, item)
		}
	}
	if response.Full && request.ReadsPacked {
		d.pack(&response)
	}
	return response
}

// pack replaces the items of a full response by packed ones. All instances that have just started get the same. The caller holds d.mu.
func (d *Distributor) pack(response *memb.PullResponse) {
	if d.packed == nil || d.packedVersion != response.Version {
		packed, err := memb.Pack(response.Items)
		if err != nil {
			d.opt.Log.Warn("configuration not packed", zap.Error(err))
			return
		}
		d.packed, d.packedVersion = packed, response.Version
	}
	response.Items, response.Packed = nil, d.packed
}
