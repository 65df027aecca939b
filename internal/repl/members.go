package repl

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// VoterReplaceTimeout is the time without a response after which a voter may be replaced by a learner; it exceeds the time
	// that a restart takes.
	VoterReplaceTimeout = 5 * time.Second
	// learnerRemoveTimeout is the time without a response after which a learner may be removed when another one is added.
	learnerRemoveTimeout = 30 * time.Second
)

var errTooManyMembers = errors.New("too many members")

// Join adds a replica with a new data folder, one membership change per call, and reports whether it is a voter.
//
// The steps are: add it as a learner; once it holds all committed entries, remove
// the voter of the same name, whose data folder is lost, or an unresponsive voter if
// the target number of voters is reached; then promote the learner to voter.
// A step starts only after the previous change is committed; until then Join returns
// ErrConfChangePending. On a replica that does not lead it returns ErrNotLeader.
func (c *Core) Join(m Member) (voter bool, err error) {
	if c.role != Leader {
		return false, ErrNotLeader
	}
	current, found := c.conf.Find(m.ID)
	switch {
	case found && current.Voter:
		return true, nil
	case c.confIndex > c.commitIndex || !c.currentTermCommitted():
		return false, ErrConfChangePending
	case !found:
		return false, c.addLearner(m)
	case c.progress[m.ID].matchIndex < c.commitIndex:
		return false, nil
	}
	if old, ok := c.voterNamed(current.Name); ok {
		return false, c.proposeConf(c.conf.without(old.ID))
	}
	if c.targetVoters > 0 && c.conf.NumVoters() >= c.targetVoters {
		if old, ok := c.replaceableVoter(); ok {
			return false, c.proposeConf(c.conf.without(old.ID))
		}
		return false, nil
	}
	newConf := c.conf.without(m.ID)
	current.Voter = true
	newConf.Members = append(newConf.Members, current)
	return false, c.proposeConf(newConf)
}

// addLearner adds a non-voting member. It replaces an earlier learner of the same name and drops unresponsive learners.
func (c *Core) addLearner(m Member) error {
	m.Voter = false
	newConf := Conf{}
	for _, other := range c.conf.Members {
		if other.Voter || other.Name != m.Name && c.timeSinceResponse(other) < learnerRemoveTimeout {
			newConf.Members = append(newConf.Members, other)
		}
	}
	if len(newConf.Members) >= maxMembers {
		return errTooManyMembers
	}
	newConf.Members = append(newConf.Members, m)
	return c.proposeConf(newConf)
}

// SetTargetVoters sets the number of voters from which on Join promotes a learner only in place of another voter; 0 means no
// limit.
func (c *Core) SetTargetVoters(voters int) {
	c.targetVoters = voters
}

// timeSinceResponse returns the time since a member last responded to this leader; 0 for the leader itself.
func (c *Core) timeSinceResponse(m Member) time.Duration {
	if m.ID == c.id {
		return 0
	}
	return c.now.Sub(c.progress[m.ID].lastResponse)
}

// replaceableVoter returns a voter that has not responded within VoterReplaceTimeout, provided that a majority of the other
// voters responds.
func (c *Core) replaceableVoter() (Member, bool) {
	for _, m := range c.conf.Members {
		if !m.Voter || c.timeSinceResponse(m) < VoterReplaceTimeout {
			continue
		}
		others := c.conf.without(m.ID)
		if others.majority(func(other Member) bool { return c.timeSinceResponse(other) < MaxElectionTimeout }) {
			return m, true
		}
	}
	return Member{}, false
}

func (c *Core) voterNamed(name string) (Member, bool) {
	for _, m := range c.conf.Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// currentTermCommitted reports whether an entry of the current term is committed; membership changes are unsafe before that.
func (c *Core) currentTermCommitted() bool {
	t, _ := c.termAt(c.commitIndex)
	return t == c.hardState.Term
}

func (c *Core) proposeConf(next Conf) error {
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	c.appendEntry(ConfChange, data)
	c.broadcastAppend()
	return nil
}

// stepDownIfRemoved makes a leader a follower once a committed configuration no longer has it as a voter.
func (c *Core) stepDownIfRemoved() {
	if c.confIndex > c.commitIndex {
		return
	}
	if m, ok := c.conf.Find(c.id); !ok || !m.Voter {
		c.becomeFollower(c.hardState.Term, "")
	}
}
