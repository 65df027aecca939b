package repl

import (
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type (
	// progress is what a leader knows of one member.
	progress struct {
		match uint64
		next  uint64
		// probing tells that it is not known where the member's log departs from this one; no entries are sent until it is.
		probing bool
		round   uint64
		heard   time.Time
		snapAt  time.Time
	}

	pendingRead struct {
		round uint64
		index uint64
	}

	// Core is the state of one replica; its owner calls it from one goroutine at a time.
	Core struct {
		id       string
		rng      *rand.Rand
		now      time.Time
		hard     Hard
		snap     Snapshot
		entries  []Entry
		conf     Conf
		confAt   uint64
		commit   uint64
		role     Role
		leader   string
		heard    time.Time
		deadline time.Time
		beat     time.Time
		pre      bool
		votes    map[string]bool
		prog     map[string]*progress
		round    uint64
		reads    []pendingRead
		out      Output
		saved    Hard
		wanted   int
	}

	// Status is a view of a replica for operators.
	Status struct {
		ID     string `json:"id"`
		Role   string `json:"role"`
		Term   uint64 `json:"term"`
		Leader string `json:"leader"`
		Last   uint64 `json:"last"`
		Commit uint64 `json:"commit"`
		First  uint64 `json:"first"`
		Conf   Conf   `json:"conf"`
	}
)

// New returns a replica with the identity id that goes on from what it had stored.
func New(id string, st Stored, rng *rand.Rand, now time.Time) *Core {
	c := &Core{
		id: id, rng: rng, now: now, hard: st.Hard, saved: st.Hard,
		snap: st.Snap, conf: st.Snap.Conf, confAt: st.Snap.Index, commit: st.Snap.Index,
	}
	c.entries = append(c.entries, st.Entries...)
	for _, e := range c.entries {
		c.adopt(e)
	}
	c.deadline = now.Add(time.Duration(rng.Int64N(int64(firstElection))))
	return c
}

// adopt takes on the members that an entry names, from the moment that it stands in the log.
func (c *Core) adopt(e Entry) {
	if e.Kind != Members {
		return
	}
	var conf Conf
	if cbor.Unmarshal(e.Data, &conf) == nil {
		c.conf, c.confAt = conf, e.Index
	}
}

// readopt finds the members in force after a part of the log was cut off.
func (c *Core) readopt() {
	c.conf, c.confAt = c.snap.Conf, c.snap.Index
	for _, e := range c.entries {
		c.adopt(e)
	}
}

// rest sets the time at which the replica stands for election if it hears no leader.
func (c *Core) rest(now time.Time) {
	spread := int64(ElectionLongest - ElectionShortest)
	c.deadline = now.Add(ElectionShortest + time.Duration(c.rng.Int64N(spread)))
}

func (c *Core) last() uint64 {
	return c.snap.Index + uint64(len(c.entries))
}

func (c *Core) lastTerm() uint64 {
	t, _ := c.termAt(c.last())
	return t
}

func (c *Core) termAt(i uint64) (uint64, bool) {
	switch {
	case i == c.snap.Index:
		return c.snap.Term, true
	case i < c.snap.Index || i > c.last():
		return 0, false
	}
	return c.entries[i-c.snap.Index-1].Term, true
}

// Status returns a view of the replica.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Role: c.role.String(), Term: c.hard.Term, Leader: c.leader, Last: c.last(),
		Commit: c.commit, First: c.snap.Index + 1, Conf: c.conf,
	}
}

// Leading reports whether the replica leads its term.
func (c *Core) Leading() bool {
	return c.role == Leader
}

// LeaderAddr returns the member that this replica believes to lead.
func (c *Core) LeaderAddr() (Member, bool) {
	return c.conf.Find(c.leader)
}

// Take returns what is to be done since the last call.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	if c.hard != c.saved {
		h := c.hard
		out.Hard = &h
		c.saved = h
	}
	return out
}

// Tick lets time pass: elections, heartbeats and the leader's own check for a quorum.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) {
		return
	}
	c.rest(now)
	if m, ok := c.conf.Find(c.id); ok && m.Voter {
		c.campaign(true)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.heardQuorum(now) {
		c.follow(c.hard.Term, "")
		return
	}
	if !now.Before(c.beat) {
		c.broadcast()
	}
}

// heardQuorum reports whether a majority answered within the shortest election time.
func (c *Core) heardQuorum(now time.Time) bool {
	return c.conf.majority(func(m Member) bool {
		return m.ID == c.id || now.Sub(c.prog[m.ID].heard) < ElectionLongest
	})
}

// Next returns the moment at which Tick is due.
func (c *Core) Next() time.Time {
	if c.role == Leader {
		return c.beat
	}
	return c.deadline
}

// Step takes in a message.
func (c *Core) Step(now time.Time, m Msg) {
	c.now = now
	if m.To != c.id {
		return
	}
	switch m.Kind {
	case AskPreVote:
		c.onAskPreVote(m)
		return
	case PreVote:
		c.onPreVote(m)
		return
	case AskVote:
		if c.sticky(now) {
			return
		}
	}
	if m.Term < c.hard.Term {
		c.rejectStale(m)
		return
	}
	if m.Term > c.hard.Term {
		c.follow(m.Term, "")
	}
	switch m.Kind {
	case AskVote:
		c.onAskVote(m)
	case Vote:
		c.onVote(m)
	case Append:
		c.onAppend(m)
	case Appended:
		c.onAppended(m)
	case Install:
		c.onInstall(m)
	}
}

// rejectStale tells the sender of an old term about the present one.
func (c *Core) rejectStale(m Msg) {
	switch m.Kind {
	case Append, Install:
		c.send(Msg{Kind: Appended, To: m.From, Reject: true, Index: c.last()})
	case AskVote:
		c.send(Msg{Kind: Vote, To: m.From, Reject: true})
	}
}

func (c *Core) send(m Msg) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	c.out.Msgs = append(c.out.Msgs, m)
}

// follow makes the replica a follower in a term; a new term forgets the vote.
func (c *Core) follow(term uint64, leader string) {
	if term > c.hard.Term {
		c.hard = Hard{Term: term}
	}
	c.role = Follower
	c.leader = leader
	c.prog, c.votes, c.reads = nil, nil, nil
	c.rest(c.now)
}

// applyTo commits up to an index and hands the entries out.
func (c *Core) applyTo(index uint64) {
	index = min(index, c.last())
	if index <= c.commit {
		return
	}
	from := c.commit - c.snap.Index
	to := index - c.snap.Index
	c.out.Commit = append(c.out.Commit, c.entries[from:to]...)
	c.commit = index
}

// SnapshotAt returns a snapshot of the given state, which must be that after the entry at index.
func (c *Core) SnapshotAt(index uint64, data []byte) Snapshot {
	term, _ := c.termAt(index)
	return Snapshot{Index: index, Term: term, Conf: c.confUpTo(index), Data: data}
}

// Compact drops the entries up to a stored snapshot's index, but for a tail of at most so many entries and bytes that is
// kept for slow members, and returns the entries that are left.
func (c *Core) Compact(index, tail uint64, bytes int) []Entry {
	keep := index
	for keep > c.snap.Index && index-keep < tail {
		bytes -= len(c.entries[keep-c.snap.Index-1].Data)
		if bytes < 0 {
			break
		}
		keep--
	}
	if keep <= c.snap.Index {
		return c.entries
	}
	term, _ := c.termAt(keep)
	conf := c.confUpTo(keep)
	c.entries = append([]Entry(nil), c.entries[keep-c.snap.Index:]...)
	c.snap = Snapshot{Index: keep, Term: term, Conf: conf}
	return c.entries
}

// confUpTo returns the members in force at an index.
func (c *Core) confUpTo(index uint64) Conf {
	conf := c.snap.Conf
	for _, e := range c.entries {
		if e.Index > index {
			break
		}
		if e.Kind == Members {
			var next Conf
			if cbor.Unmarshal(e.Data, &next) == nil {
				conf = next
			}
		}
	}
	return conf
}
