package repl

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type (
	// progress is the leader's view of one member's log.
	progress struct {
		matchIndex uint64
		nextIndex  uint64
		// probing is set while the index at which the member's log diverges is unknown; no entries are sent until it is found.
		probing bool
		// readRound is the latest read round that the member has acknowledged.
		readRound      uint64
		lastResponse   time.Time
		snapshotSentAt time.Time
		// silentSince is the time of the last response to an earlier leader; zero once the member has responded to this one.
		silentSince time.Time
		// leavingUntil is the time until which the member is known to be about to stop.
		leavingUntil time.Time
	}

	// pendingRead is a quorum read that waits until a majority has acknowledged its round; index is the commit index at its start.
	pendingRead struct {
		round uint64
		index uint64
	}

	// Core is the consensus state machine of one replica. It is not safe for concurrent use.
	Core struct {
		id        string
		rng       *rand.Rand
		now       time.Time
		hardState HardState
		// snap holds the index, term and configuration up to which the log is compacted; its Data is not used.
		snap    Snapshot
		entries []Entry
		// conf is the newest configuration in the snapshot or the log, committed or not; confIndex is the index of its entry.
		conf              Conf
		confIndex         uint64
		commitIndex       uint64
		role              Role
		leader            string
		lastLeader        string
		lastLeaderContact time.Time
		electionDeadline  time.Time
		// firstCampaign is the time of the first request for votes since the last contact to a leader; zero if there was none.
		firstCampaign time.Time
		// preVoteAt is the time of the latest request for pre-votes.
		preVoteAt     time.Time
		nextHeartbeat time.Time
		preVoting     bool
		// heardLeader is set once this replica has led or heard from a leader since its start.
		heardLeader bool
		votes       map[string]bool
		progress    map[string]*progress
		// readRound is the number of the latest quorum read that this replica started as a leader.
		readRound    uint64
		pendingReads []pendingRead
		// heartbeatCommit and earlierHeartbeatCommit are the commit indexes at the leader's latest heartbeat and the one before.
		heartbeatCommit, earlierHeartbeatCommit uint64
		// lastHeard holds the time of the last message from each replica.
		lastHeard map[string]time.Time
		// silentSince holds the times since when voters are silent, as the leader reported them last, by member ID.
		silentSince map[string]time.Time
		output      Output
		// savedHardState is the hard state restored by New or last returned by TakeOutput.
		savedHardState HardState
		targetVoters   int
	}

	// Status is a snapshot of a replica's state for operators; FirstIndex is the first log index that is not compacted, and ConfIndex
	// the index of the entry that holds Conf.
	Status struct {
		ID          string `json:"id"`
		Role        string `json:"role"`
		Term        uint64 `json:"term"`
		Leader      string `json:"leader"`
		LastIndex   uint64 `json:"last"`
		CommitIndex uint64 `json:"commit"`
		FirstIndex  uint64 `json:"first"`
		Conf        Conf   `json:"conf"`
		ConfIndex   uint64 `json:"change"`
		// Unresponsive lists the members that a leader has not heard from within MaxElectionTimeout.
		Unresponsive []Silence `json:"silent,omitempty"`
	}

	// Silence is the time for which a member has not responded.
	Silence struct {
		Member Member        `json:"member"`
		Time   time.Duration `json:"time"`
	}
)

// New returns the replica with the given ID, restored from its stored state.
func New(id string, stored Stored, rng *rand.Rand, now time.Time) *Core {
	c := &Core{
		id: id, rng: rng, now: now, hardState: stored.HardState, savedHardState: stored.HardState,
		snap: stored.Snapshot, conf: stored.Snapshot.Conf, confIndex: stored.Snapshot.Index, commitIndex: stored.Snapshot.Index,
		lastHeard: map[string]time.Time{},
	}
	c.entries = append(c.entries, stored.Entries...)
	for _, e := range c.entries {
		c.adoptConf(e)
	}
	c.electionDeadline = now.Add(time.Duration(rng.Int64N(int64(maxFirstElectionDelay))))
	return c
}

// adoptConf applies a ConfChange entry. It takes effect as soon as it is appended, before it is committed.
func (c *Core) adoptConf(e Entry) {
	if e.Kind != ConfChange {
		return
	}
	var conf Conf
	if cbor.Unmarshal(e.Data, &conf) == nil {
		c.conf, c.confIndex = conf, e.Index
	}
}

// rebuildConf recomputes the current configuration from the snapshot and the log after a truncation.
func (c *Core) rebuildConf() {
	c.conf, c.confIndex = c.snap.Conf, c.snap.Index
	for _, e := range c.entries {
		c.adoptConf(e)
	}
}

// resetElectionDeadline draws the time at which the replica starts an election unless it hears from a leader before.
func (c *Core) resetElectionDeadline(now time.Time) {
	jitter := int64(MaxElectionTimeout - MinElectionTimeout)
	c.electionDeadline = now.Add(MinElectionTimeout + time.Duration(c.rng.Int64N(jitter)))
}

func (c *Core) lastIndex() uint64 {
	return c.snap.Index + uint64(len(c.entries))
}

func (c *Core) lastTerm() uint64 {
	t, _ := c.termAt(c.lastIndex())
	return t
}

// termAt returns the term of the entry at index, and false if the entry is compacted or not yet written.
func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == c.snap.Index:
		return c.snap.Term, true
	case index < c.snap.Index || index > c.lastIndex():
		return 0, false
	}
	return c.entries[index-c.snap.Index-1].Term, true
}

// Status returns the replica's current state for operators.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Role: c.role.String(), Term: c.hardState.Term, Leader: c.leader, LastIndex: c.lastIndex(),
		CommitIndex: c.commitIndex, FirstIndex: c.snap.Index + 1, Conf: c.conf, ConfIndex: c.confIndex, Unresponsive: c.unresponsive(),
	}
}

// unresponsive returns the members that have not responded to this leader within MaxElectionTimeout.
func (c *Core) unresponsive() []Silence {
	if c.role != Leader {
		return nil
	}
	var out []Silence
	for _, m := range c.conf.Members {
		if silent := c.timeSinceResponse(m); silent >= MaxElectionTimeout {
			out = append(out, Silence{Member: m, Time: silent})
		}
	}
	return out
}

// IsLeader reports whether the replica is the leader of its term.
func (c *Core) IsLeader() bool {
	return c.role == Leader
}

// Leader returns the member that this replica believes to be the leader, and whether one is known.
func (c *Core) Leader() (Member, bool) {
	return c.conf.Find(c.leader)
}

// TakeOutput returns the output accumulated since the last call and clears it.
func (c *Core) TakeOutput() Output {
	out := c.output
	c.output = Output{}
	if c.hardState != c.savedHardState {
		hardState := c.hardState
		out.HardState = &hardState
		c.savedHardState = hardState
	}
	return out
}

// Tick advances the clock: it starts elections, sends heartbeats, and steps a leader down that has lost its quorum.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionDeadline(now)
	if m, ok := c.conf.Find(c.id); ok && m.Voter {
		c.campaign(true)
		c.hastenFirstElection()
	}
}

// hastenFirstElection shortens the time to the next attempt while no leader has been heard of since the start. After a loss of power the
// first replicas ask before enough others have started, and two may ask for votes at once. A vote gets more time than a pre-vote, as it
// waits for disks.
func (c *Core) hastenFirstElection() {
	if c.heardLeader || c.role != Candidate {
		return
	}
	shortest, longest := minVoteRepeat, maxVoteRepeat
	if c.preVoting {
		shortest, longest = minPreVoteRepeat, maxPreVoteRepeat
	}
	c.electionDeadline = c.now.Add(shortest + time.Duration(c.rng.Int64N(int64(longest-shortest))))
}

func (c *Core) tickLeader(now time.Time) {
	if !c.quorumActive(now) {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.earlierHeartbeatCommit, c.heartbeatCommit = c.heartbeatCommit, c.commitIndex
		c.broadcastAppend()
	}
	c.reconcileMembers()
}

// quorumActive reports whether a majority responded within MaxElectionTimeout.
func (c *Core) quorumActive(now time.Time) bool {
	return c.conf.majority(func(m Member) bool {
		return m.ID == c.id || now.Sub(c.progress[m.ID].lastResponse) < MaxElectionTimeout
	})
}

// NextTick returns the time at which Tick is due next.
func (c *Core) NextTick() time.Time {
	if c.role == Leader {
		return c.nextHeartbeat
	}
	return c.electionDeadline
}

// Step processes a message. Messages to another ID are ignored.
func (c *Core) Step(now time.Time, m Msg) {
	c.now = now
	if m.To != c.id {
		return
	}
	c.lastHeard[m.From] = now
	switch m.Kind {
	case PreVoteRequest:
		c.handlePreVoteRequest(m)
		return
	case PreVoteResponse:
		c.handlePreVoteResponse(m)
		return
	case VoteRequest:
		if c.hasLiveLeader(now) {
			return
		}
	}
	if m.Term < c.hardState.Term {
		c.rejectStale(m)
		return
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(m.Term, "")
	}
	switch m.Kind {
	case VoteRequest:
		c.handleVoteRequest(m)
	case VoteResponse:
		c.handleVoteResponse(m)
	case AppendRequest:
		c.handleAppendRequest(m)
	case AppendResponse:
		c.handleAppendResponse(m)
		c.reconcileMembers()
	case InstallSnapshot:
		c.handleInstallSnapshot(m)
	}
}

// rejectStale informs the sender of a message with an outdated term of the current term.
func (c *Core) rejectStale(m Msg) {
	switch m.Kind {
	case AppendRequest, InstallSnapshot:
		c.send(Msg{Kind: AppendResponse, To: m.From, Reject: true, Index: c.lastIndex()})
	case VoteRequest:
		c.send(Msg{Kind: VoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) send(m Msg) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.output.Msgs = append(c.output.Msgs, m)
}

// becomeFollower makes the replica a follower in the given term; a newer term clears its vote.
func (c *Core) becomeFollower(term uint64, leader string) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	if c.role == Leader {
		c.recordSilentVoters(c.silentVoters())
	}
	c.role = Follower
	c.leader = leader
	c.progress, c.votes, c.pendingReads = nil, nil, nil
	c.resetElectionDeadline(c.now)
}

// commitTo advances the commit index and adds the newly committed entries to the output.
func (c *Core) commitTo(index uint64) {
	index = min(index, c.lastIndex())
	if index <= c.commitIndex {
		return
	}
	from := c.commitIndex - c.snap.Index
	to := index - c.snap.Index
	c.output.Committed = append(c.output.Committed, c.entries[from:to]...)
	c.commitIndex = index
}

// SnapshotAt returns a snapshot with the given data, which must be the state after applying the entry at index.
func (c *Core) SnapshotAt(index uint64, data []byte) Snapshot {
	term, _ := c.termAt(index)
	return Snapshot{Index: index, Term: term, Conf: c.confAt(index), Data: data}
}

// Compact drops the entries up to the index of a stored snapshot, except for a tail of at most maxTailEntries entries and
// maxTailBytes bytes, so that slow members need no snapshot. It returns the entries that it keeps.
func (c *Core) Compact(index, maxTailEntries uint64, maxTailBytes int) []Entry {
	first := index
	for first > c.snap.Index && index-first < maxTailEntries {
		maxTailBytes -= len(c.entries[first-c.snap.Index-1].Data)
		if maxTailBytes < 0 {
			break
		}
		first--
	}
	if first <= c.snap.Index {
		return c.entries
	}
	term, _ := c.termAt(first)
	conf := c.confAt(first)
	c.entries = append([]Entry(nil), c.entries[first-c.snap.Index:]...)
	c.snap = Snapshot{Index: first, Term: term, Conf: conf}
	return c.entries
}

// confAt returns the configuration in effect at the given index.
func (c *Core) confAt(index uint64) Conf {
	conf := c.snap.Conf
	for _, e := range c.entries {
		if e.Index > index {
			break
		}
		if e.Kind == ConfChange {
			var next Conf
			if cbor.Unmarshal(e.Data, &next) == nil {
				conf = next
			}
		}
	}
	return conf
}
