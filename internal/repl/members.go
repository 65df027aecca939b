package repl

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// SilentVoter is the silence after which a voter may lose its vote to a learner; above the time that a restart takes.
	SilentVoter = 5 * time.Second
	// silentLearner is the silence after which a learner may be forgotten for another.
	silentLearner = 30 * time.Second
)

var errTooMany = errors.New("too many members")

// Join brings a replica with a new folder in, one safe step a call, and reports whether it is a voter.
//
// The steps are: add it as a learner; once it holds all that is committed, remove
// the voter of the same name, whose folder is gone, or one that has long been silent
// while there are as many voters as wanted; then make the learner a voter.
// Each step is one committed change, and none begins before the last is committed.
func (c *Core) Join(m Member) (voter bool, err error) {
	if c.role != Leader {
		return false, ErrNotLeader
	}
	have, known := c.conf.Find(m.ID)
	switch {
	case known && have.Voter:
		return true, nil
	case c.confAt > c.commit || !c.ownCommitted():
		return false, ErrBusy
	case !known:
		return false, c.addLearner(m)
	case c.prog[m.ID].match < c.commit:
		return false, nil
	}
	if old, ok := c.voterNamed(have.Name); ok {
		return false, c.change(c.conf.without(old.ID))
	}
	if c.wanted > 0 && c.conf.Voters() >= c.wanted {
		if old, ok := c.silentVoter(); ok {
			return false, c.change(c.conf.without(old.ID))
		}
		return false, nil
	}
	next := c.conf.without(m.ID)
	have.Voter = true
	next.Members = append(next.Members, have)
	return false, c.change(next)
}

// addLearner adds a member without a vote in place of an earlier learner of the same name.
func (c *Core) addLearner(m Member) error {
	m.Voter = false
	next := Conf{}
	for _, o := range c.conf.Members {
		if o.Voter || o.Name != m.Name && c.silence(o) < silentLearner {
			next.Members = append(next.Members, o)
		}
	}
	if len(next.Members) >= maxMembers {
		return errTooMany
	}
	next.Members = append(next.Members, m)
	return c.change(next)
}

// Want sets the number of voters that Join keeps to; 0 lets each learner have a vote.
func (c *Core) Want(voters int) {
	c.wanted = voters
}

// silence returns how long a member has not answered this leader.
func (c *Core) silence(m Member) time.Duration {
	if m.ID == c.id {
		return 0
	}
	return c.now.Sub(c.prog[m.ID].heard)
}

// silentVoter returns a voter that has been silent for so long that another may have its vote, if a majority of the
// others answers.
func (c *Core) silentVoter() (Member, bool) {
	for _, m := range c.conf.Members {
		if !m.Voter || c.silence(m) < SilentVoter {
			continue
		}
		rest := c.conf.without(m.ID)
		if rest.majority(func(o Member) bool { return c.silence(o) < ElectionLongest }) {
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

// ownCommitted reports whether an entry of the present term is committed, without which no member may change.
func (c *Core) ownCommitted() bool {
	t, _ := c.termAt(c.commit)
	return t == c.hard.Term
}

func (c *Core) change(next Conf) error {
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	c.append(Members, data)
	c.broadcast()
	return nil
}

// stepDownIfRemoved ends the leadership of a replica that the committed members no longer hold.
func (c *Core) stepDownIfRemoved() {
	if c.confAt > c.commit {
		return
	}
	if m, ok := c.conf.Find(c.id); !ok || !m.Voter {
		c.follow(c.hard.Term, "")
	}
}
