package group

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/store"
)

const (
	// shortestTick bounds how often the rules are asked for what is due.
	shortestTick = 5 * time.Millisecond
	inbox        = 4096
	outbox       = 256
	// sendTimeout is how long messages to a replica wait for an answer before a new connection is tried; it is below the
	// longest time without a leader after which a replica stands for election.
	sendTimeout = 700 * time.Millisecond
	// reopenEvery is the time between two tries to use storage that failed.
	reopenEvery = 300 * time.Millisecond
	// snapEvery is the number of entries after which the log is compacted.
	snapEvery = 8192
	// snapBytes is the size of the log file in bytes after which the log is compacted.
	snapBytes = 8 << 20
	// snapTail is the number of compacted entries kept for slow replicas.
	snapTail = 1024
	// tailBytes bounds the size of the compacted entries that are kept, in bytes.
	tailBytes = 1 << 20
)

var (
	// ErrLost tells that a proposed command was overtaken and is not in the log.
	ErrLost = errors.New("command was overtaken by a new leader")
	// ErrStopped tells that the replica has stopped.
	ErrStopped = errors.New("replica has stopped")
)

type (
	// Machine is the state that the log's commands change.
	Machine interface {
		Apply(index uint64, data []byte) any
		Snapshot() ([]byte, error)
		Restore(data []byte) error
		// Reset empties the state, before what is stored is applied anew.
		Reset()
	}

	// Options holds what a replica needs.
	Options struct {
		Name string
		Zone string
		Dir  string
		Self netip.AddrPort
		// Peers are the replicas that found the log together, this one among them; none on a replica that may only join.
		Peers []repl.Member
		// Seeds returns further addresses at which replicas may be found; it may be nil.
		Seeds func() []netip.AddrPort
		// Voters is the number of replicas that shall have a vote; 0 gives each one a vote.
		Voters int
		// Now is the clock by which the age of a proof is told.
		Now     func() time.Time
		Links   *peer.Links
		Machine Machine
		Log     *zap.Logger
		Seed    uint64
	}

	// Group is one running replica.
	Group struct {
		opt     Options
		store   *store.Store
		msgs    chan repl.Msg
		work    chan func(now time.Time)
		done    chan struct{}
		mu      sync.RWMutex
		core    *repl.Core
		status  repl.Status
		leader  repl.Member
		applied uint64
		snapAt  uint64
		waiting map[uint64]waiter
		reads   map[uint64]readWaiter
		sending map[string]chan repl.Msg
		met     map[string]repl.Member
		wg      conc.WaitGroup
		ctx     context.Context
		turned  func()
		founds  atomic.Bool
		// failed is when storage failed last, while it cannot be used.
		failed time.Time
	}

	waiter struct {
		term uint64
		to   chan result
	}

	readWaiter struct {
		at time.Time
		to chan readResult
	}

	result struct {
		value any
		err   error
	}

	readResult struct {
		at  time.Time
		err error
	}
)

// New opens the data folder and returns a replica that Run starts.
func New(opt Options) (*Group, error) {
	if opt.Now == nil {
		opt.Now = clock.Now
	}
	now := opt.Now()
	st, stored, wiped, err := store.Open(opt.Dir)
	if err != nil {
		return nil, fault.At("open data folder", opt.Dir, err)
	}
	g := &Group{
		opt: opt, store: st, msgs: make(chan repl.Msg, inbox), work: make(chan func(time.Time), inbox),
		done: make(chan struct{}), waiting: map[uint64]waiter{}, reads: map[uint64]readWaiter{},
		sending: map[string]chan repl.Msg{}, met: map[string]repl.Member{},
	}
	g.founds.Store(len(opt.Peers) > 0)
	ident := st.Identity()
	if wiped {
		opt.Log.Error("log damaged; the folder was emptied and joins anew", zap.String("id", ident.ID))
	}
	if ident.Cluster != "" {
		if err := g.start(stored, now); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// start makes the core from what was stored.
func (g *Group) start(stored repl.Stored, now time.Time) error {
	if len(stored.Snap.Data) > 0 {
		if err := g.opt.Machine.Restore(stored.Snap.Data); err != nil {
			return fault.At("restore snapshot", g.opt.Dir, err)
		}
	}
	g.applied, g.snapAt = stored.Snap.Index, stored.Snap.Index
	rng := rand.New(rand.NewPCG(g.opt.Seed, uint64(now.UnixNano())))
	g.core = repl.New(g.store.Identity().ID, stored, rng, now)
	g.core.Want(g.opt.Voters)
	g.publish()
	return nil
}

// OnLeader sets what is called after each change of the leader, before Run; it must not block.
func (g *Group) OnLeader(f func()) {
	g.turned = f
}

// Run works until the context ends; it must be called once.
func (g *Group) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	g.ctx = ctx
	defer close(g.done)
	defer g.wg.Wait()
	defer cancel()
	g.wg.Go(func() { g.enroll(ctx) })
	t := time.NewTimer(shortestTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failAll(ErrStopped)
			_ = g.store.Close()
			return
		case m := <-g.msgs:
			g.step(m)
		case f := <-g.work:
			f(g.opt.Now())
		case <-t.C:
		}
		g.drain()
		if !g.failed.IsZero() {
			g.reopen()
			t.Reset(reopenEvery)
		}
		if g.core == nil {
			continue
		}
		g.core.Tick(g.opt.Now())
		g.core.Flush()
		t.Reset(max(shortestTick, g.core.Next().Sub(g.opt.Now())))
		if err := g.flush(); err != nil {
			g.opt.Log.Error("storage failed; the replica takes no part until it can be used", zap.Error(err))
			g.failAll(err)
			g.retire()
			g.core, g.failed = nil, g.opt.Now()
			t.Reset(reopenEvery)
		}
	}
}

// reopen goes on from what is stored, as after a start, once storage can be used again. A folder that was lost meanwhile has a
// new identity and can only join.
func (g *Group) reopen() {
	now := g.opt.Now()
	if now.Sub(g.failed) < reopenEvery {
		return
	}
	g.failed = now
	if err := g.store.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		g.opt.Log.Warn("failed log not closed", zap.Error(err))
	}
	st, stored, wiped, err := store.Open(g.opt.Dir)
	if err != nil {
		g.opt.Log.Debug("storage cannot be used yet", zap.Error(err))
		return
	}
	g.mu.Lock()
	before := g.store.Identity()
	g.store = st
	g.mu.Unlock()
	g.failed = time.Time{}
	g.opt.Machine.Reset()
	ident := st.Identity()
	g.opt.Log.Info("storage can be used again", zap.String("id", ident.ID), zap.Bool("wiped", wiped || ident.ID != before.ID))
	if ident.ID != before.ID {
		g.founds.Store(false)
	}
	if ident.Cluster == "" {
		return
	}
	if err := g.start(stored, now); err != nil {
		g.opt.Log.Error("stored state not restored", zap.Error(err))
		g.core, g.failed = nil, now
	}
}

// drain takes in all that waits, so that one sync serves it.
func (g *Group) drain() {
	for range inbox {
		select {
		case m := <-g.msgs:
			g.step(m)
		case f := <-g.work:
			f(g.opt.Now())
		default:
			return
		}
	}
}

func (g *Group) step(m repl.Msg) {
	if g.core != nil {
		g.core.Step(g.opt.Now(), m)
	}
}

// flush stores, sends and applies what the core put out, in this order.
func (g *Group) flush() error {
	out := g.core.Take()
	if err := g.store.Save(out); err != nil {
		return err
	}
	g.post(out.Msgs)
	if out.Snap != nil {
		if err := g.opt.Machine.Restore(out.Snap.Data); err != nil {
			return fault.At("restore snapshot", "", err)
		}
		g.applied, g.snapAt = out.Snap.Index, out.Snap.Index
	}
	g.apply(out.Commit)
	g.answerReads(out.Reads)
	if !g.core.IsLeader() {
		g.failReads()
	}
	g.publish()
	return g.compact()
}

func (g *Group) apply(entries []repl.Entry) {
	for _, e := range entries {
		var value any
		if e.Kind == repl.Command {
			value = g.opt.Machine.Apply(e.Index, e.Data)
		}
		g.applied = e.Index
		w, ok := g.waiting[e.Index]
		if !ok {
			continue
		}
		delete(g.waiting, e.Index)
		if w.term != e.Term {
			w.to <- result{err: ErrLost}
			continue
		}
		w.to <- result{value: value}
	}
}

func (g *Group) answerReads(reads []repl.Read) {
	for _, r := range reads {
		if w, ok := g.reads[r.Round]; ok {
			delete(g.reads, r.Round)
			w.to <- readResult{at: w.at}
		}
	}
}

func (g *Group) failReads() {
	for round, w := range g.reads {
		delete(g.reads, round)
		w.to <- readResult{err: repl.ErrNotLeader}
	}
}

func (g *Group) failAll(err error) {
	for i, w := range g.waiting {
		delete(g.waiting, i)
		w.to <- result{err: err}
	}
	g.failReads()
}

// compact stores a snapshot once enough entries were applied since the last one.
func (g *Group) compact() error {
	if g.applied < g.snapAt+snapEvery && (g.store.Size() < snapBytes || g.applied == g.snapAt) {
		return nil
	}
	data, err := g.opt.Machine.Snapshot()
	if err != nil {
		return fault.At("take snapshot", "", err)
	}
	snap := g.core.SnapshotAt(g.applied, data)
	rest := g.core.Compact(snap.Index, snapTail, tailBytes)
	g.snapAt = snap.Index
	return g.store.Compact(snap, rest)
}

// publish makes the status readable to other goroutines.
func (g *Group) publish() {
	st := g.core.Status()
	lead, _ := g.core.LeaderAddr()
	g.mu.Lock()
	turned := g.leader.ID != lead.ID
	before := g.status.Conf
	g.status, g.leader = st, lead
	g.mu.Unlock()
	if !slices.Equal(before.Members, st.Conf.Members) {
		g.opt.Log.Info("members of the log changed", zap.Stringer("members", st.Conf), zap.Uint64("last", st.Last), zap.Uint64("term", st.Term))
	}
	if turned && g.turned != nil {
		g.turned()
	}
}

// retire makes the status that of a replica that takes no part.
func (g *Group) retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.Role, g.status.Leader = repl.Follower.String(), ""
	g.leader = repl.Member{}
}

// Status returns a view of the replica.
func (g *Group) Status() repl.Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.status
}

// Leader returns the replica that is believed to lead, if one is.
func (g *Group) Leader() (repl.Member, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.leader, g.leader.ID != ""
}

// LeaderAddr returns the address of the replica that is believed to lead, or an invalid one.
func (g *Group) LeaderAddr() netip.AddrPort {
	m, _ := g.Leader()
	return m.Addr
}

// Cluster returns the identity of the cluster, or the empty string before it is founded.
func (g *Group) Cluster() string {
	return g.identity().Cluster
}

// do runs f on the replica's goroutine.
func (g *Group) do(ctx context.Context, f func(now time.Time)) error {
	select {
	case g.work <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return ErrStopped
	}
}

// await waits for what the replica's goroutine hands out.
func await[T any](ctx context.Context, g *Group, from <-chan T) (v T, err error) {
	select {
	case v = <-from:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	case <-g.done:
		return v, ErrStopped
	}
}

// Propose commits a command and returns what the state machine answered.
// After an error other than repl.ErrNotLeader and ErrLost the command may yet be committed.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	to := make(chan result, 1)
	err := g.do(ctx, func(time.Time) {
		if g.core == nil {
			to <- result{err: repl.ErrNotLeader}
			return
		}
		index, term, err := g.core.Propose(data)
		if err != nil {
			to <- result{err: err}
			return
		}
		if old, ok := g.waiting[index]; ok {
			old.to <- result{err: ErrLost}
		}
		g.waiting[index] = waiter{term: term, to: to}
	})
	if err != nil {
		return nil, err
	}
	r, err := await(ctx, g, to)
	if err != nil {
		return nil, err
	}
	return r.value, r.err
}

// Confirm proves by a quorum that no newer leader existed at the returned time, and that all committed by then is applied here.
func (g *Group) Confirm(ctx context.Context) (time.Time, error) {
	to := make(chan readResult, 1)
	err := g.do(ctx, func(now time.Time) {
		if g.core == nil {
			to <- readResult{err: repl.ErrNotLeader}
			return
		}
		round, err := g.core.Confirm()
		if err != nil {
			to <- readResult{err: err}
			return
		}
		g.reads[round] = readWaiter{at: now, to: to}
	})
	if err != nil {
		return time.Time{}, err
	}
	r, err := await(ctx, g, to)
	if err != nil {
		return time.Time{}, err
	}
	return r.at, r.err
}
