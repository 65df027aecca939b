package repl

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

const (
	// Heartbeat is the time between two messages of a leader to each replica.
	Heartbeat = 150 * time.Millisecond
	// ElectionShortest is the shortest time without a leader after which a replica stands for election.
	ElectionShortest = 500 * time.Millisecond
	// ElectionLongest is the longest such time.
	ElectionLongest = 900 * time.Millisecond

	// firstElection is the longest time after its start until a replica first asks whether it would be elected. Replicas that
	// hear a leader refuse, so that this disturbs none.
	firstElection = 300 * time.Millisecond

	maxBatch      = 1024
	maxBatchBytes = 1 << 20
	snapRetry     = 2 * time.Second
	maxMembers    = 9
)

// Kinds of message.
const (
	AskPreVote Kind = iota + 1
	PreVote
	AskVote
	Vote
	Append
	Appended
	Install
)

// Roles of a replica.
const (
	Follower Role = iota
	Candidate
	Leader
)

// Kinds of entry.
const (
	Command EntryKind = iota + 1
	Members
	Blank
)

var (
	// ErrNotLeader tells that this replica does not lead, so that nothing was appended.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy tells that another change of members is under way.
	ErrBusy = errors.New("another change of members is under way")
)

type (
	// Kind names a message.
	Kind uint8

	// Role is a replica's part in its term.
	Role uint8

	// EntryKind tells what an entry's data holds.
	EntryKind uint8

	// Member is one replica; ID is the identity of its data folder.
	Member struct {
		ID    string         `json:"id"`
		Name  string         `json:"name"`
		Zone  string         `json:"zone,omitempty"`
		Addr  netip.AddrPort `json:"addr"`
		Voter bool           `json:"voter"`
	}

	// Conf is a set of members.
	Conf struct {
		Members []Member `json:"members"`
	}

	// Entry is one record of the log.
	Entry struct {
		Index uint64    `json:"i"`
		Term  uint64    `json:"t"`
		Kind  EntryKind `json:"k"`
		Data  []byte    `json:"d,omitempty"`
	}

	// Hard is the state that must be stored before a message leaves.
	Hard struct {
		Term uint64 `json:"term"`
		Vote string `json:"vote"`
	}

	// Snapshot is the applied state up to an index.
	Snapshot struct {
		Index uint64 `json:"index"`
		Term  uint64 `json:"term"`
		Conf  Conf   `json:"conf"`
		Data  []byte `json:"data"`
	}

	// Msg is a message between replicas; From and To are folder identities.
	Msg struct {
		Kind    Kind      `json:"k"`
		From    string    `json:"f"`
		To      string    `json:"to"`
		Term    uint64    `json:"t"`
		Index   uint64    `json:"i,omitempty"`
		LogTerm uint64    `json:"l,omitempty"`
		Commit  uint64    `json:"c,omitempty"`
		Round   uint64    `json:"r,omitempty"`
		Reject  bool      `json:"x,omitempty"`
		Entries []Entry   `json:"e,omitempty"`
		Snap    *Snapshot `json:"s,omitempty"`
	}

	// Stored is what a replica reads back from its data folder.
	Stored struct {
		Hard    Hard
		Snap    Snapshot
		Entries []Entry
	}

	// Read is a confirmed read: no newer leader existed when its round began at commit index Index.
	Read struct {
		Round uint64
		Index uint64
	}

	// Output is what the shell must do: store Hard, Snap and Entries with a sync, send Msgs, then apply.
	Output struct {
		Hard    *Hard
		Snap    *Snapshot
		Entries []Entry
		Msgs    []Msg
		Commit  []Entry
		Reads   []Read
	}
)

// Check returns an error for a message that no replica sends.
func (m *Msg) Check() error {
	switch {
	case m.Kind < AskPreVote || m.Kind > Install:
		return fmt.Errorf("message: unknown kind %d", m.Kind)
	case m.From == "" || m.To == "":
		return errors.New("message: sender or receiver is missing")
	case m.Kind == Install && m.Snap == nil:
		return errors.New("message: snapshot is missing")
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return fmt.Errorf("message: entry %d stands at index %d", m.Index+1+uint64(i), e.Index)
		}
	}
	return nil
}

// Find returns the member with the given identity.
func (c Conf) Find(id string) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Named returns the member with the given instance name.
func (c Conf) Named(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// String returns the members' names, voters first, and learners behind a plus sign each.
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

// Voters returns the number of members that vote.
func (c Conf) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of votes that make a majority.
func (c Conf) Quorum() int {
	return c.Voters()/2 + 1
}

// majority reports whether holds is true of a majority of the voters.
func (c Conf) majority(holds func(Member) bool) bool {
	n := 0
	for _, m := range c.Members {
		if m.Voter && holds(m) {
			n++
		}
	}
	return n >= c.Quorum()
}

func (c Conf) without(id string) Conf {
	var out Conf
	for _, m := range c.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "candidate", "leader"}[r]
}
