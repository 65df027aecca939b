package spread

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/peer"
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
