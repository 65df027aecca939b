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
	// minTickInterval is the shortest time between two timer-driven ticks of the core.
	minTickInterval = 5 * time.Millisecond
	// inboxSize is the capacity of the queues of received messages and of tasks.
	inboxSize = 4096
	// outboxSize is the number of messages that may be queued for one replica.
	outboxSize = 256
	// sendTimeout limits a call to another replica, after which a new connection is tried; it is below MaxElectionTimeout, so
	// that a dead connection causes no election.
	sendTimeout = 700 * time.Millisecond
	// reopenInterval is the time between two attempts to reopen failed storage.
	reopenInterval = 300 * time.Millisecond
	// snapshotEntries is the number of applied entries since the last snapshot at which the log is compacted.
	snapshotEntries = 8192
	// snapshotLogBytes is the size of the log file in bytes at which the log is compacted.
	snapshotLogBytes = 8 << 20
	// maxTailEntries is the largest number of compacted entries that are kept for slow replicas.
	maxTailEntries = 1024
	// maxTailBytes is the largest total size in bytes of the compacted entries that are kept.
	maxTailBytes = 1 << 20
)

var (
	// ErrOverwritten means that another leader overwrote the log entry of a proposed command.
	ErrOverwritten = errors.New("command was overtaken by a new leader")
	// ErrStopped means that the replica has stopped.
	ErrStopped = errors.New("replica has stopped")
)

type (
	// StateMachine is the replicated state machine. All methods are called from the replica's goroutine, or from New.
	StateMachine interface {
		// Apply applies the command of the entry at index and returns its result.
		Apply(index uint64, data []byte) any
		// Snapshot returns the encoded state.
		Snapshot() ([]byte, error)
		// Restore replaces the state by an encoded one.
		Restore(data []byte) error
		// Reset clears the state, before the stored log is applied again.
		Reset()
	}

	// Options configures a replica.
	Options struct {
		Name     string
		Zone     string
		DataDir  string
		SelfAddr netip.AddrPort
		// FoundingMembers are the founding members of the cluster, including this one; empty on a replica that may only join.
		FoundingMembers []repl.Member
		// SeedAddrs returns additional addresses at which to look for replicas; it may be nil.
		SeedAddrs func() []netip.AddrPort
		// TargetVoters is the target number of voting replicas; 0 makes each replica a voter.
		TargetVoters int
		// Now is the clock for ticks and for the times that Confirm returns; nil selects clock.Now.
		Now          func() time.Time
		Links        *peer.Links
		StateMachine StateMachine
		Log          *zap.Logger
		RandSeed     uint64
	}

	// Group is one running replica.
	Group struct {
		opt   Options
		store *store.Store
		inbox chan repl.Msg
		// tasks are functions to run on the replica's goroutine.
		tasks   chan func(now time.Time)
		stopped chan struct{}
		// mu guards the fields shared with other goroutines: store, status, leader and knownReplicas.
		mu sync.RWMutex
		// core is nil before the replica belongs to a cluster and while storage cannot be used.
		core           *repl.Core
		status         repl.Status
		leader         repl.Member
		appliedIndex   uint64
		snapshotIndex  uint64
		proposals      map[uint64]proposal      // by log index
		pendingReads   map[uint64]pendingRead   // by read round
		outboxes       map[string]chan repl.Msg // by member ID
		knownReplicas  map[string]repl.Member   // by member ID
		wg             conc.WaitGroup
		ctx            context.Context
		onLeaderChange func()
		// mayFound is false on a replica that may only join a cluster.
		mayFound atomic.Bool
		// leaving is set once Leave was called.
		leaving atomic.Bool
		// committedConf is the index of the last membership change that was logged as committed.
		committedConf uint64
		// failedAt is the time of the last storage failure or failed attempt to reopen; zero while storage works.
		failedAt time.Time
	}

	// proposal is a caller waiting for a proposed command; term is the term in which it was appended.
	proposal struct {
		term  uint64
		reply chan result
	}

	// pendingRead is a caller waiting for a quorum read that began at start.
	pendingRead struct {
		start time.Time
		reply chan readResult
	}

	result struct {
		value any
		err   error
	}

	readResult struct {
		start time.Time
		err   error
	}
)

// New opens the data folder and returns a replica; Run starts it.
func New(opt Options) (*Group, error) {
	if opt.Now == nil {
		opt.Now = clock.Now
	}
	now := opt.Now()
	st, stored, wiped, err := store.Open(opt.DataDir)
	if err != nil {
		return nil, fault.Wrap("open data folder", opt.DataDir, err)
	}
	g := &Group{
		opt: opt, store: st, inbox: make(chan repl.Msg, inboxSize), tasks: make(chan func(time.Time), inboxSize),
		stopped: make(chan struct{}), proposals: map[uint64]proposal{}, pendingReads: map[uint64]pendingRead{},
		outboxes: map[string]chan repl.Msg{}, knownReplicas: map[string]repl.Member{},
	}
	g.mayFound.Store(len(opt.FoundingMembers) > 0)
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

// start restores the state machine and creates the consensus core from the stored state.
func (g *Group) start(stored repl.Stored, now time.Time) error {
	if len(stored.Snapshot.Data) > 0 {
		if err := g.opt.StateMachine.Restore(stored.Snapshot.Data); err != nil {
			return fault.Wrap("restore snapshot", g.opt.DataDir, err)
		}
	}
	g.appliedIndex, g.snapshotIndex = stored.Snapshot.Index, stored.Snapshot.Index
	rng := rand.New(rand.NewPCG(g.opt.RandSeed, uint64(now.UnixNano())))
	g.core = repl.New(g.store.Identity().ID, stored, rng, now)
	g.core.SetTargetVoters(g.opt.TargetVoters)
	g.publishStatus()
	return nil
}

// OnLeaderChange sets a function that is called after each change of leader. It must be called before Run, and f must not block.
func (g *Group) OnLeaderChange(f func()) {
	g.onLeaderChange = f
}

// Run runs the replica until the context ends, then closes the data folder. It must be called only once.
func (g *Group) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	g.ctx = ctx
	defer close(g.stopped)
	defer g.wg.Wait()
	defer cancel()
	g.wg.Go(func() { g.enroll(ctx) })
	timer := time.NewTimer(minTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			g.failPending(ErrStopped)
			_ = g.store.Close()
			return
		case m := <-g.inbox:
			g.stepCore(m)
		case f := <-g.tasks:
			f(g.opt.Now())
		case <-timer.C:
		}
		g.drainInputs()
		if !g.failedAt.IsZero() {
			g.reopen()
			timer.Reset(reopenInterval)
		}
		if g.core == nil {
			continue
		}
		g.core.Tick(g.opt.Now())
		g.core.Flush()
		timer.Reset(max(minTickInterval, g.core.NextTick().Sub(g.opt.Now())))
		if err := g.processOutput(); err != nil {
			g.opt.Log.Error("storage failed; the replica takes no part until it can be used", zap.Error(err))
			g.clearLeadership()
			g.failPending(err)
			g.core, g.failedAt = nil, g.opt.Now()
			timer.Reset(reopenInterval)
		}
	}
}

// reopen tries to open failed storage again and, as after a start, resumes from the stored state. A folder that was lost
// meanwhile has a new identity and can only join.
func (g *Group) reopen() {
	now := g.opt.Now()
	if now.Sub(g.failedAt) < reopenInterval {
		return
	}
	g.failedAt = now
	if err := g.store.Close(); err != nil && !errors.Is(err, os.ErrClosed) {
		g.opt.Log.Warn("failed log not closed", zap.Error(err))
	}
	st, stored, wiped, err := store.Open(g.opt.DataDir)
	if err != nil {
		g.opt.Log.Debug("storage cannot be used yet", zap.Error(err))
		return
	}
	g.mu.Lock()
	before := g.store.Identity()
	g.store = st
	g.mu.Unlock()
	g.failedAt = time.Time{}
	g.opt.StateMachine.Reset()
	ident := st.Identity()
	g.opt.Log.Info("storage can be used again", zap.String("id", ident.ID), zap.Bool("wiped", wiped || ident.ID != before.ID))
	if ident.ID != before.ID {
		g.mayFound.Store(false)
	}
	if ident.Cluster == "" {
		return
	}
	if err := g.start(stored, now); err != nil {
		g.opt.Log.Error("stored state not restored", zap.Error(err))
		g.core, g.failedAt = nil, now
	}
}

// drainInputs processes all queued messages and tasks, so that one sync covers them.
func (g *Group) drainInputs() {
	for range inboxSize {
		select {
		case m := <-g.inbox:
			g.stepCore(m)
		case f := <-g.tasks:
			f(g.opt.Now())
		default:
			return
		}
	}
}

func (g *Group) stepCore(m repl.Msg) {
	if g.core != nil {
		g.core.Step(g.opt.Now(), m)
	}
}

// processOutput persists, sends and applies the core's output, in this order.
func (g *Group) processOutput() error {
	out := g.core.TakeOutput()
	if err := g.store.Save(out); err != nil {
		return err
	}
	g.sendMessages(out.Msgs)
	if out.Snapshot != nil {
		if err := g.opt.StateMachine.Restore(out.Snapshot.Data); err != nil {
			return fault.Wrap("restore snapshot", "", err)
		}
		g.appliedIndex, g.snapshotIndex = out.Snapshot.Index, out.Snapshot.Index
	}
	g.apply(out.Committed)
	g.completeReads(out.ConfirmedReads)
	if !g.core.IsLeader() {
		g.failReads()
	}
	g.publishStatus()
	return g.compact()
}

func (g *Group) apply(entries []repl.Entry) {
	for _, e := range entries {
		var value any
		if e.Kind == repl.Command {
			value = g.opt.StateMachine.Apply(e.Index, e.Data)
		}
		g.appliedIndex = e.Index
		p, ok := g.proposals[e.Index]
		if !ok {
			continue
		}
		delete(g.proposals, e.Index)
		if p.term != e.Term {
			p.reply <- result{err: ErrOverwritten}
			continue
		}
		p.reply <- result{value: value}
	}
}

// completeReads answers the callers whose reads are confirmed.
func (g *Group) completeReads(reads []repl.ConfirmedRead) {
	for _, r := range reads {
		if read, ok := g.pendingReads[r.Round]; ok {
			delete(g.pendingReads, r.Round)
			read.reply <- readResult{start: read.start}
		}
	}
}

func (g *Group) failReads() {
	for round, read := range g.pendingReads {
		delete(g.pendingReads, round)
		read.reply <- readResult{err: repl.ErrNotLeader}
	}
}

func (g *Group) failPending(err error) {
	for i, p := range g.proposals {
		delete(g.proposals, i)
		p.reply <- result{err: err}
	}
	g.failReads()
}

// compact stores a snapshot if snapshotEntries or snapshotLogBytes is reached.
func (g *Group) compact() error {
	if g.appliedIndex < g.snapshotIndex+snapshotEntries && (g.store.LogSize() < snapshotLogBytes || g.appliedIndex == g.snapshotIndex) {
		return nil
	}
	data, err := g.opt.StateMachine.Snapshot()
	if err != nil {
		return fault.Wrap("take snapshot", "", err)
	}
	snap := g.core.SnapshotAt(g.appliedIndex, data)
	kept := g.core.Compact(snap.Index, maxTailEntries, maxTailBytes)
	g.snapshotIndex = snap.Index
	return g.store.Compact(snap, kept)
}

// publishStatus copies the status and leader for other goroutines, logs membership changes and reports a change of leader.
func (g *Group) publishStatus() {
	status := g.core.Status()
	leader, _ := g.core.Leader()
	g.mu.Lock()
	leaderChanged := g.leader.ID != leader.ID
	before := g.status
	g.status, g.leader = status, leader
	g.mu.Unlock()
	g.logMembership(before, status)
	if leaderChanged && g.onLeaderChange != nil {
		g.onLeaderChange()
	}
}

// logMembership logs what two successive states differ in: membership changes when they are appended and when they are committed, and on
// the leader the members that stop or start responding.
func (g *Group) logMembership(before, now repl.Status) {
	if !slices.Equal(before.Conf.Members, now.Conf.Members) {
		g.opt.Log.Info("members of the log changed", zap.Stringer("members", now.Conf), zap.Uint64("index", now.ConfIndex),
			zap.Uint64("last", now.LastIndex), zap.Uint64("term", now.Term), zap.String("role", now.Role))
	}
	if now.ConfIndex > g.committedConf && now.ConfIndex <= now.CommitIndex {
		g.committedConf = now.ConfIndex
		g.opt.Log.Info("change of log members committed", zap.Stringer("members", now.Conf), zap.Uint64("index", now.ConfIndex),
			zap.Uint64("term", now.Term), zap.String("role", now.Role))
	}
	if before.Term != now.Term || before.Role != now.Role {
		g.opt.Log.Info("role in the log changed", zap.String("role", now.Role), zap.Uint64("term", now.Term))
	}
	for _, s := range now.Unresponsive {
		if !slices.ContainsFunc(before.Unresponsive, func(b repl.Silence) bool { return b.Member.ID == s.Member.ID }) {
			g.opt.Log.Warn("log member does not respond", zap.String("member", s.Member.Name), zap.String("id", s.Member.ID),
				zap.Bool("voter", s.Member.Voter), zap.Duration("silent", s.Time))
		}
	}
	for _, b := range before.Unresponsive {
		if _, member := now.Conf.Find(b.Member.ID); member && now.Role == repl.Leader.String() &&
			!slices.ContainsFunc(now.Unresponsive, func(s repl.Silence) bool { return b.Member.ID == s.Member.ID }) {
			g.opt.Log.Info("log member responds again", zap.String("member", b.Member.Name), zap.String("id", b.Member.ID))
		}
	}
}

// clearLeadership makes the published status that of a follower without a leader, while storage cannot be used.
func (g *Group) clearLeadership() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status.Role, g.status.Leader = repl.Follower.String(), ""
	g.leader = repl.Member{}
}
