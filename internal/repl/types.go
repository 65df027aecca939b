package repl

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a leader to each replica.
	HeartbeatInterval = 150 * time.Millisecond
	// MinElectionTimeout is the shortest time without contact to a leader after which a replica starts an election.
	MinElectionTimeout = 500 * time.Millisecond
	// MaxElectionTimeout is the longest time without contact to a leader after which a replica starts an election.
	MaxElectionTimeout = 900 * time.Millisecond

	// maxFirstElectionDelay is the longest time from the start of a replica to its first pre-vote. It may be shorter than
	// MinElectionTimeout because replicas with a live leader reject pre-votes.
	maxFirstElectionDelay = 300 * time.Millisecond
	// minPreVoteRepeat and maxPreVoteRepeat bound the time between two pre-votes of a replica that has not heard of a leader since its
	// start. They exceed a few round trips between zones.
	minPreVoteRepeat = 60 * time.Millisecond
	maxPreVoteRepeat = 160 * time.Millisecond
	// minVoteRepeat and maxVoteRepeat bound the time after which such a replica gives up a vote that it has not won.
	minVoteRepeat = 300 * time.Millisecond
	maxVoteRepeat = 600 * time.Millisecond

	// preVotePrecedence is the time for which a replica that has asked for pre-votes rejects those of a candidate that it precedes. It
	// covers the round trips of a pre-vote and a vote.
	preVotePrecedence = 150 * time.Millisecond

	// maxBatchEntries and maxBatchBytes limit the entries of one AppendRequest.
	maxBatchEntries = 1024
	maxBatchBytes   = 1 << 20
	// snapshotRetryInterval is the shortest time between two snapshots sent to the same member.
	snapshotRetryInterval = 2 * time.Second
	// maxMembers is the largest number of members, learners included.
	maxMembers = 9
)

// Message kinds.
const (
	PreVoteRequest MsgKind = iota + 1
	PreVoteResponse
	VoteRequest
	VoteResponse
	AppendRequest
	AppendResponse
	InstallSnapshot
)

// Replica roles.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Entry kinds.
const (
	Command EntryKind = iota + 1
	ConfChange
	NoOp
)

var (
	// ErrNotLeader means that this replica is not the leader; nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrConfChangePending means that an earlier membership change is not committed yet.
	ErrConfChangePending = errors.New("another change of members is under way")
)

type (
	// MsgKind is the type of a message.
	MsgKind uint8

	// Role is a replica's role in its term.
	Role uint8

	// EntryKind is the type of a log entry, which determines the format of its data.
	EntryKind uint8

	// Member is one replica; ID identifies its data folder, Name its instance.
	Member struct {
		ID    string         `json:"id"`
		Name  string         `json:"name"`
		Zone  string         `json:"zone,omitempty"`
		Addr  netip.AddrPort `json:"addr"`
		Voter bool           `json:"voter"`
	}

	// Conf is a cluster configuration: the set of members.
	Conf struct {
		Members []Member `json:"members"`
	}

	// Entry is one log entry.
	Entry struct {
		Index uint64    `json:"i"`
		Term  uint64    `json:"t"`
		Kind  EntryKind `json:"k"`
		Data  []byte    `json:"d,omitempty"`
	}

	// HardState is the state that must be persisted before any message is sent.
	HardState struct {
		Term uint64 `json:"term"`
		Vote string `json:"vote"`
	}

	// Snapshot is the encoded state after applying the entry at Index, with the configuration in effect there.
	Snapshot struct {
		Index uint64 `json:"index"`
		Term  uint64 `json:"term"`
		Conf  Conf   `json:"conf"`
		Data  []byte `json:"data"`
	}

	// Msg is a message between replicas; From and To are member IDs.
	Msg struct {
		Kind MsgKind `json:"k"`
		From string  `json:"f"`
		To   string  `json:"to"`
		Term uint64  `json:"t"`
		// Index is the last index of the candidate's log in a vote request, the index before the first of Entries in an AppendRequest,
		// and in an AppendResponse the highest index known to match, or with Reject set the highest that may match.
		Index uint64 `json:"i,omitempty"`
		// LogTerm is the term of the entry at Index.
		LogTerm     uint64 `json:"l,omitempty"`
		CommitIndex uint64 `json:"c,omitempty"`
		// Round is the leader's latest read round; the response returns it.
		Round    uint64    `json:"r,omitempty"`
		Reject   bool      `json:"x,omitempty"`
		Entries  []Entry   `json:"e,omitempty"`
		Snapshot *Snapshot `json:"s,omitempty"`
		// Silent holds, in an AppendRequest and a VoteResponse, the time since the last response of each voter that does not respond to
		// the leader, by member ID.
		// Builds that do not know it leave it out and ignore it.
		Silent map[string]time.Duration `json:"a,omitempty"`
	}

	// Stored is the persistent state that a replica reads from its data folder.
	Stored struct {
		HardState HardState
		Snapshot  Snapshot
		Entries   []Entry
	}

	// ConfirmedRead is a confirmed quorum read: no newer leader existed when its round started at commit index Index.
	ConfirmedRead struct {
		Round uint64
		Index uint64
	}

	// Output lists what the caller must do, in this order: persist and sync HardState, Snapshot and Entries, send Msgs, then apply
	// Snapshot and Committed and answer ConfirmedReads.
	Output struct {
		HardState      *HardState
		Snapshot       *Snapshot
		Entries        []Entry
		Msgs           []Msg
		Committed      []Entry
		ConfirmedReads []ConfirmedRead
	}
)

// Check returns an error if the message is malformed.
func (m *Msg) Check() error {
	switch {
	case m.Kind < PreVoteRequest || m.Kind > InstallSnapshot:
		return fmt.Errorf("message: unknown kind %d", m.Kind)
	case m.From == "" || m.To == "":
		return errors.New("message: sender or receiver is missing")
	case m.Kind == InstallSnapshot && m.Snapshot == nil:
		return errors.New("message: snapshot is missing")
	}
	for id, silence := range m.Silent {
		if silence < 0 {
			return fmt.Errorf("message: member %s is silent for %v", id, silence)
		}
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return fmt.Errorf("message: entry %d stands at index %d", m.Index+1+uint64(i), e.Index)
		}
	}
	return nil
}

// Find returns the member with the given ID.
func (c Conf) Find(id string) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// FindByName returns the first member with the given instance name.
func (c Conf) FindByName(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// String returns the members as name/ID, voters first; each learner is prefixed with a plus sign.
func (c Conf) String() string {
	var voters, learners string
	for _, m := range c.Members {
		if m.Voter {
			voters += " " + m.Name + "/" + m.ID
		} else {
			learners += " +" + m.Name + "/" + m.ID
		}
	}
	return strings.TrimSpace(voters + learners)
}

// NumVoters returns the number of voting members.
func (c Conf) NumVoters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of votes needed for a majority.
func (c Conf) Quorum() int {
	return c.NumVoters()/2 + 1
}

// majority reports whether matches returns true for a majority of the voters.
func (c Conf) majority(matches func(Member) bool) bool {
	n := 0
	for _, m := range c.Members {
		if m.Voter && matches(m) {
			n++
		}
	}
	return n >= c.Quorum()
}

// without returns a copy of the configuration without the given member.
func (c Conf) without(id string) Conf {
	var out Conf
	for _, m := range c.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// promote returns a copy of the configuration in which the given learner is a voter, last in order.
func (c Conf) promote(id string) Conf {
	m, _ := c.Find(id)
	m.Voter = true
	out := c.without(id)
	out.Members = append(out.Members, m)
	return out
}

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}
