package repl

import "time"

// sticky reports whether a leader was heard so lately that no election is due.
func (c *Core) sticky(now time.Time) bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && now.Sub(c.heard) < ElectionShortest
}

// campaign asks for votes; pre asks only whether votes would be given, so that no term is used up.
func (c *Core) campaign(pre bool) {
	c.role = Candidate
	c.leader = ""
	c.pre = pre
	c.votes = map[string]bool{c.id: true}
	term := c.hard.Term + 1
	kind := AskPreVote
	if !pre {
		c.hard = Hard{Term: term, Vote: c.id}
		kind = AskVote
	}
	if c.won() {
		return
	}
	for _, m := range c.conf.Members {
		if m.Voter && m.ID != c.id {
			c.send(Msg{Kind: kind, To: m.ID, Term: term, Index: c.last(), LogTerm: c.lastTerm()})
		}
	}
}

// won goes on to the real election, or to leading, once the votes suffice.
func (c *Core) won() bool {
	if !c.conf.majority(func(m Member) bool { return c.votes[m.ID] }) {
		return false
	}
	if c.pre {
		c.campaign(false)
		return true
	}
	c.lead()
	return true
}

func (c *Core) upToDate(m Msg) bool {
	mine := c.lastTerm()
	return m.LogTerm > mine || m.LogTerm == mine && m.Index >= c.last()
}

func (c *Core) onAskPreVote(m Msg) {
	grant := m.Term > c.hard.Term && c.upToDate(m) && !c.sticky(c.now)
	term := m.Term
	if !grant {
		term = c.hard.Term
	}
	c.send(Msg{Kind: PreVote, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) onPreVote(m Msg) {
	if m.Reject {
		if m.Term > c.hard.Term {
			c.follow(m.Term, "")
		}
		return
	}
	if c.role != Candidate || !c.pre || m.Term != c.hard.Term+1 {
		return
	}
	c.votes[m.From] = true
	c.won()
}

func (c *Core) onAskVote(m Msg) {
	free := c.hard.Vote == "" || c.hard.Vote == m.From
	grant := free && c.role == Follower && c.upToDate(m)
	if grant {
		c.hard.Vote = m.From
		c.rest(c.now)
	}
	c.send(Msg{Kind: Vote, To: m.From, Reject: !grant})
}

func (c *Core) onVote(m Msg) {
	if c.role != Candidate || c.pre || m.Reject {
		return
	}
	c.votes[m.From] = true
	c.won()
}

// lead begins the term with a blank entry, whose commit makes all earlier entries readable.
func (c *Core) lead() {
	c.role = Leader
	c.leader = c.id
	c.prog = map[string]*progress{}
	c.reads = nil
	c.track()
	c.append(Blank, nil)
	c.broadcast()
}

// track keeps one progress for each member.
func (c *Core) track() {
	for _, m := range c.conf.Members {
		if c.prog[m.ID] == nil {
			c.prog[m.ID] = &progress{next: c.last() + 1, heard: c.now}
		}
	}
}
