package repl

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// VoterReplaceTimeout is the time without a response after which a voter may be replaced by a learner; it exceeds the time
	// that a restart takes.
	VoterReplaceTimeout = 2 * time.Second
	// minObservation is the time without a response after which a leader tells the others that a voter is silent, and for which a new
	// leader waits for a response of a voter that was silent before its election.
	minObservation = 2 * HeartbeatInterval
	// leaveTimeout is the time after which a call of Leave that is not repeated is void: the voter may have started again.
	leaveTimeout = time.Second
	// learnerRemoveTimeout is the time without a response after which a learner may be removed when another one is added.
	learnerRemoveTimeout = 30 * time.Second
)

var errTooManyMembers = errors.New("too many members")

// Join adds a replica with a new data folder as a learner and reports whether it is a voter. It returns ErrConfChangePending until
// an earlier membership change is committed, and ErrNotLeader on a replica that does not lead. The leader makes the further changes
// itself, as soon as the learner has caught up; see nextConf.
func (c *Core) Join(m Member) (voter bool, err error) {
	if c.role != Leader {
		return false, ErrNotLeader
	}
	current, found := c.conf.Find(m.ID)
	switch {
	case found && current.Voter:
		return true, nil
	case !c.mayChangeConf():
		return false, ErrConfChangePending
	case !found:
		return false, c.addLearner(m)
	}
	c.reconcileMembers()
	return false, nil
}

// Leave notes that a voter is about to stop and reports whether a learner is taking its place; until then the voter should go on and
// repeat the call within a second. It returns ErrNotLeader on a replica that does not lead.
func (c *Core) Leave(id string) (handover bool, err error) {
	if c.role != Leader {
		return false, ErrNotLeader
	}
	m, ok := c.conf.Find(id)
	switch {
	case c.confIndex > c.commitIndex:
		return true, nil
	case !ok || !m.Voter || c.targetVoters == 0:
		return false, nil
	}
	if !slices.ContainsFunc(c.conf.Members, c.isLiveLearner) && c.conf.NumVoters() <= c.targetVoters {
		return false, nil
	}
	c.progress[id].leavingUntil = c.now.Add(leaveTimeout)
	c.reconcileMembers()
	return true, nil
}

// SetTargetVoters sets the number of voters from which on a learner is promoted only in place of another voter; 0 means no limit.
func (c *Core) SetTargetVoters(voters int) {
	c.targetVoters = voters
}

// mayChangeConf reports whether the next membership change may be proposed: the previous one and an entry of the current term must be
// committed.
func (c *Core) mayChangeConf() bool {
	t, _ := c.termAt(c.commitIndex)
	return c.confIndex <= c.commitIndex && t == c.hardState.Term
}

// reconcileMembers proposes the membership change that is due, if any.
func (c *Core) reconcileMembers() {
	if c.role != Leader || c.hasTargetMembers() || !c.mayChangeConf() {
		return
	}
	if next, ok := c.nextConf(); ok {
		// The encoding of a Conf does not fail.
		_ = c.proposeConf(next)
	}
}

// hasTargetMembers reports whether there are no learners and no surplus voters, so that no change can be due.
func (c *Core) hasTargetMembers() bool {
	voters := c.conf.NumVoters()
	return voters == len(c.conf.Members) && (c.targetVoters == 0 || voters <= c.targetVoters)
}

// nextConf returns the configuration that the leader should propose next, and false if the present one stands. Each differs by one
// member from the one before, so that their majorities overlap.
//
// A voter that is lost is removed before its successor is promoted: it cannot
// vote, so a configuration that counts it tolerates one loss less. A voter that
// leaves in order still votes, so its successor is promoted first.
func (c *Core) nextConf() (Conf, bool) {
	leaving, isLeaving := c.leavingVoter()
	lost, isLost := c.replaceableVoter()
	if c.targetVoters > 0 && c.conf.NumVoters() > c.targetVoters {
		switch {
		case isLeaving:
			return c.conf.without(leaving.ID), true
		case isLost:
			return c.conf.without(lost.ID), true
		}
		return Conf{}, false
	}
	learners := c.readyLearners()
	if len(learners) == 0 {
		return Conf{}, false
	}
	for _, m := range learners {
		if old, ok := c.voterNamed(m.Name); ok {
			return c.conf.without(old.ID), true
		}
	}
	switch {
	case c.targetVoters == 0 || c.conf.NumVoters() < c.targetVoters || isLeaving:
		return c.conf.promote(learners[0].ID), true
	case isLost:
		return c.conf.without(lost.ID), true
	}
	return Conf{}, false
}

// addLearner adds a non-voting member. It replaces an earlier learner of the same name and drops unresponsive learners, sooner if there
// is no room for another member.
func (c *Core) addLearner(m Member) error {
	m.Voter = false
	for _, timeout := range []time.Duration{learnerRemoveTimeout, VoterReplaceTimeout} {
		newConf := Conf{}
		for _, other := range c.conf.Members {
			if other.Voter || other.Name != m.Name && c.timeSinceResponse(other) < timeout {
				newConf.Members = append(newConf.Members, other)
			}
		}
		if len(newConf.Members) < maxMembers {
			newConf.Members = append(newConf.Members, m)
			return c.proposeConf(newConf)
		}
	}
	return errTooManyMembers
}

// timeSinceResponse returns the time since a member last responded to this leader, or since the election if it has not yet; 0 for the
// leader itself.
func (c *Core) timeSinceResponse(m Member) time.Duration {
	if m.ID == c.id {
		return 0
	}
	return c.now.Sub(c.progress[m.ID].lastResponse)
}

// silence returns the time since a member last responded to this leader or, as far as known, to an earlier one.
func (c *Core) silence(m Member) time.Duration {
	silence := c.timeSinceResponse(m)
	if p := c.progress[m.ID]; p != nil && !p.silentSince.IsZero() {
		silence = max(silence, c.now.Sub(p.silentSince))
	}
	return silence
}

// silentVoters returns the silence of each voter that has not responded for minObservation, by member ID, or nil if all have.
func (c *Core) silentVoters() map[string]time.Duration {
	var out map[string]time.Duration
	for _, m := range c.conf.Members {
		silence := c.silence(m)
		if !m.Voter || silence < minObservation {
			continue
		}
		if out == nil {
			out = map[string]time.Duration{}
		}
		out[m.ID] = silence
	}
	return out
}

// recordSilentVoters records the silent voters that the leader reports, so that an election does not delay their replacement anew.
func (c *Core) recordSilentVoters(silent map[string]time.Duration) {
	c.silentSince = nil
	for id, silence := range silent {
		if c.silentSince == nil {
			c.silentSince = map[string]time.Time{}
		}
		c.silentSince[id] = c.now.Add(-silence)
	}
}

// knownSilence returns, for a candidate, the silence of the voters that the leader reported and of that leader.
func (c *Core) knownSilence(candidate string) map[string]time.Duration {
	out := map[string]time.Duration{}
	for id, since := range c.silentSince {
		out[id] = c.now.Sub(since)
	}
	if c.lastLeader != "" && c.lastLeader != c.id {
		out[c.lastLeader] = c.now.Sub(c.lastLeaderContact)
	}
	delete(out, candidate)
	return out
}

// mergeSilence takes over what a voter tells with its vote. This replica may have started again since it heard from a leader.
func (c *Core) mergeSilence(silent map[string]time.Duration) {
	for id, silence := range silent {
		since := c.now.Add(-silence)
		if known, ok := c.silentSince[id]; ok && known.Before(since) {
			continue
		}
		if c.silentSince == nil {
			c.silentSince = map[string]time.Time{}
		}
		c.silentSince[id] = since
	}
}

// inheritSilence makes a new leader count the silence of voters before its election: since the time that the earlier leader or another
// voter reported, the last contact to that leader, or else the first request for votes since then. Voters that granted their vote are not
// silent.
func (c *Core) inheritSilence() {
	for id, p := range c.progress {
		since, reported := c.silentSince[id]
		switch {
		case c.votes[id]:
			continue
		case reported:
		case id == c.lastLeader:
			since = c.lastLeaderContact
		default:
			since = c.firstCampaign
		}
		if heard := c.lastHeard[id]; heard.After(since) {
			since = heard
		}
		p.silentSince = since
	}
}

func (c *Core) isLiveLearner(m Member) bool {
	return !m.Voter && c.timeSinceResponse(m) < MaxElectionTimeout
}

// readyLearners returns the learners that respond and have caught up: they hold what was committed at the heartbeat before the latest
// one. What is committed at the moment would be too much to ask, as its acknowledgement is under way.
func (c *Core) readyLearners() []Member {
	var out []Member
	for _, m := range c.conf.Members {
		match := c.progress[m.ID].matchIndex
		if !m.Voter && c.timeSinceResponse(m) < minObservation && match > 0 && match >= c.earlierHeartbeatCommit {
			out = append(out, m)
		}
	}
	return out
}

func (c *Core) leavingVoter() (Member, bool) {
	for _, m := range c.conf.Members {
		if m.Voter && c.now.Before(c.progress[m.ID].leavingUntil) {
			return m, true
		}
	}
	return Member{}, false
}

// replaceableVoter returns the voter that has been silent for longest, provided that it is so for VoterReplaceTimeout and that a
// majority of the other voters responds.
func (c *Core) replaceableVoter() (Member, bool) {
	var lost Member
	longest := VoterReplaceTimeout
	for _, m := range c.conf.Members {
		if silence := c.silence(m); m.Voter && c.timeSinceResponse(m) >= minObservation && silence >= longest {
			lost, longest = m, silence
		}
	}
	responds := func(m Member) bool { return c.timeSinceResponse(m) < MaxElectionTimeout }
	return lost, lost.ID != "" && c.conf.without(lost.ID).majority(responds)
}

func (c *Core) voterNamed(name string) (Member, bool) {
	for _, m := range c.conf.Members {
		if m.Voter && m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

func (c *Core) proposeConf(next Conf) error {
	data, err := cbor.Marshal(next)
	if err != nil {
		return err
	}
	c.appendEntry(ConfChange, data)
	if c.role == Leader {
		c.broadcastAppend()
	}
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
