package repl

import "time"

// hasLiveLeader reports whether this replica leads or heard from a leader within MinElectionTimeout, so that no election is due.
func (c *Core) hasLiveLeader(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && now.Sub(c.lastLeaderContact) < MinElectionTimeout
}

// campaign requests votes. With preVote set it only asks whether they would be granted, without incrementing the term.
func (c *Core) campaign(preVote bool) {
	c.role = Candidate
	c.leader = ""
	c.preVoting = preVote
	if c.firstCampaign.IsZero() {
		c.firstCampaign = c.now
	}
	c.votes = map[string]bool{c.id: true}
	term := c.hardState.Term + 1
	kind := PreVoteRequest
	if preVote {
		c.preVoteAt = c.now
	} else {
		c.hardState = HardState{Term: term, Vote: c.id}
		kind = VoteRequest
		c.resetElectionDeadline(c.now)
		c.hastenFirstElection()
	}
	if c.advanceElection() {
		return
	}
	for _, m := range c.conf.Members {
		if m.Voter && m.ID != c.id {
			c.send(Msg{Kind: kind, To: m.ID, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm()})
		}
	}
}

// advanceElection reports whether the candidate has a majority of votes; with one it proceeds from the pre-vote to the election,
// or from the election to leadership.
func (c *Core) advanceElection() bool {
	if !c.conf.majority(func(m Member) bool { return c.votes[m.ID] }) {
		return false
	}
	if c.preVoting {
		c.campaign(false)
		return true
	}
	c.becomeLeader()
	return true
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (c *Core) upToDate(m Msg) bool {
	lastTerm := c.lastTerm()
	return m.LogTerm > lastTerm || m.LogTerm == lastTerm && m.Index >= c.lastIndex()
}

// precedes reports whether this replica has just asked for pre-votes itself, with a log as up to date as that of the candidate that sent m,
// and has the lower ID. If both won their pre-votes, they would split the votes. It holds for a short time only, as this replica may be
// unable to win, and not before the first contact to a leader, as it asks in quick succession then.
func (c *Core) precedes(m Msg) bool {
	return c.role == Candidate && c.preVoting && c.heardLeader && c.now.Sub(c.preVoteAt) < preVotePrecedence &&
		m.LogTerm == c.lastTerm() && m.Index == c.lastIndex() && c.id < m.From
}

func (c *Core) handlePreVoteRequest(m Msg) {
	grant := m.Term > c.hardState.Term && c.upToDate(m) && !c.hasLiveLeader(c.now) && !c.precedes(m)
	term := m.Term
	if !grant {
		term = c.hardState.Term
	}
	c.send(Msg{Kind: PreVoteResponse, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) handlePreVoteResponse(m Msg) {
	if m.Reject {
		if m.Term > c.hardState.Term {
			c.becomeFollower(m.Term, "")
		}
		return
	}
	if c.role != Candidate || !c.preVoting || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.advanceElection()
}

func (c *Core) handleVoteRequest(m Msg) {
	canVote := c.hardState.Vote == "" || c.hardState.Vote == m.From
	grant := canVote && c.role == Follower && c.upToDate(m)
	if grant {
		c.hardState.Vote = m.From
		c.resetElectionDeadline(c.now)
	}
	c.send(Msg{Kind: VoteResponse, To: m.From, Reject: !grant, Silent: c.knownSilence(m.From)})
}

func (c *Core) handleVoteResponse(m Msg) {
	if c.role != Candidate || c.preVoting || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.mergeSilence(m.Silent)
	c.advanceElection()
}

// becomeLeader starts the term with a no-op entry; once it is committed, so are all earlier entries, and reads may start.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.heardLeader = true
	c.progress = map[string]*progress{}
	c.pendingReads = nil
	c.trackMembers()
	c.inheritSilence()
	c.lastLeader, c.firstCampaign = c.id, time.Time{}
	c.heartbeatCommit, c.earlierHeartbeatCommit = c.commitIndex, c.commitIndex
	c.appendEntry(NoOp, nil)
	c.broadcastAppend()
}

// trackMembers adds a progress record for each member that has none, and drops those of replicas that are no members any more.
func (c *Core) trackMembers() {
	for id := range c.progress {
		if _, ok := c.conf.Find(id); !ok && id != c.id {
			delete(c.progress, id)
		}
	}
	for _, m := range c.conf.Members {
		if c.progress[m.ID] == nil {
			c.progress[m.ID] = &progress{nextIndex: c.lastIndex() + 1, lastResponse: c.now}
		}
	}
}
