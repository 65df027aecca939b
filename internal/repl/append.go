package repl

// Propose appends a command and returns its index and term; only a leader can.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.append(Command, data)
	return index, c.hard.Term, nil
}

// Flush sends appended entries to the members that wait for nothing older.
func (c *Core) Flush() {
	if c.role != Leader {
		return
	}
	for _, m := range c.conf.Members {
		p := c.prog[m.ID]
		if m.ID != c.id && p.next <= c.last() && !p.probing {
			c.sendAppend(m.ID, p)
		}
	}
}

func (c *Core) append(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.last() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.entries = append(c.entries, e)
	c.out.Entries = append(c.out.Entries, e)
	c.adopt(e)
	c.track()
	c.prog[c.id].match = e.Index
	c.advance()
	return e.Index
}

// broadcast sends entries or a heartbeat to each member.
func (c *Core) broadcast() {
	c.beat = c.now.Add(Heartbeat)
	for _, m := range c.conf.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID, c.prog[m.ID])
		}
	}
}

// sendAppend sends the next batch and takes for granted that it arrives; a later heartbeat finds out if it did not.
func (c *Core) sendAppend(to string, p *progress) {
	prev := p.next - 1
	term, ok := c.termAt(prev)
	if !ok {
		c.sendSnap(to, p)
		return
	}
	var batch []Entry
	if !p.probing {
		batch = c.batch(p.next)
	}
	c.send(Msg{Kind: Append, To: to, Index: prev, LogTerm: term, Entries: batch, Commit: c.commit, Round: c.round})
	p.next += uint64(len(batch))
}

func (c *Core) batch(from uint64) []Entry {
	if from > c.last() {
		return nil
	}
	rest := c.entries[from-c.snap.Index-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data)
		if i > 0 && (i >= maxBatch || size > maxBatchBytes) {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

// sendSnap asks the shell to send the newest stored snapshot; Snap's data is filled in there.
func (c *Core) sendSnap(to string, p *progress) {
	if c.now.Sub(p.snapAt) < snapRetry {
		return
	}
	p.snapAt = c.now
	c.send(Msg{Kind: Install, To: to, Round: c.round})
}

func (c *Core) onAppend(m Msg) {
	c.hear(m)
	if m.Index < c.commit {
		c.ack(m, c.commit)
		return
	}
	term, ok := c.termAt(m.Index)
	if !ok || term != m.LogTerm {
		c.send(Msg{Kind: Appended, To: m.From, Reject: true, Index: c.departs(m.Index), Round: m.Round})
		return
	}
	for i, e := range m.Entries {
		t, ok := c.termAt(e.Index)
		if ok && t == e.Term {
			continue
		}
		c.replace(m.Entries[i:])
		break
	}
	end := m.Index + uint64(len(m.Entries))
	c.applyTo(min(m.Commit, end))
	c.ack(m, end)
}

// departs returns the index up to which a leader's log may be the same, where it is not at an index: before the end of this log,
// or before all entries of the term that stands there.
func (c *Core) departs(index uint64) uint64 {
	if index > c.last() {
		return c.last()
	}
	term, _ := c.termAt(index)
	for index > c.commit {
		index--
		if t, ok := c.termAt(index); !ok || t != term {
			break
		}
	}
	return index
}

// hear notes that the leader of the present term lives.
func (c *Core) hear(m Msg) {
	if c.role != Follower || c.leader != m.From {
		c.follow(c.hard.Term, m.From)
	}
	c.heard = c.now
	c.rest(c.now)
}

func (c *Core) ack(m Msg, match uint64) {
	c.send(Msg{Kind: Appended, To: m.From, Index: match, Round: m.Round})
}

// replace cuts the log where the new entries begin and appends them.
func (c *Core) replace(entries []Entry) {
	first := entries[0].Index
	cut := first <= c.last()
	c.entries = append(c.entries[:first-c.snap.Index-1:first-c.snap.Index-1], entries...)
	c.out.Entries = append(c.out.Entries, entries...)
	if cut {
		c.readopt()
		return
	}
	for _, e := range entries {
		c.adopt(e)
	}
}

func (c *Core) onAppended(m Msg) {
	if c.role != Leader {
		return
	}
	p := c.prog[m.From]
	if p == nil {
		return
	}
	p.heard = c.now
	p.round = max(p.round, m.Round)
	c.confirm()
	if m.Reject {
		next := max(min(p.next, m.Index+1), p.match+1)
		if p.probing && next == p.next {
			// It answers an earlier message; the next heartbeat asks again.
			return
		}
		p.next, p.probing = next, true
		c.sendAppend(m.From, p)
		return
	}
	p.probing = false
	if m.Index > p.match {
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		c.advance()
	}
	if p.next <= c.last() {
		c.sendAppend(m.From, p)
	}
}

// advance commits what a majority holds, as far as it is of the present term.
func (c *Core) advance() {
	for i := c.last(); i > c.commit; i-- {
		if t, _ := c.termAt(i); t != c.hard.Term {
			return
		}
		if c.conf.majority(func(m Member) bool { return c.prog[m.ID].match >= i }) {
			c.applyTo(i)
			c.stepDownIfRemoved()
			return
		}
	}
}

func (c *Core) onInstall(m Msg) {
	c.hear(m)
	if m.Snap.Index <= c.commit {
		c.ack(m, c.commit)
		return
	}
	if t, ok := c.termAt(m.Snap.Index); ok && t == m.Snap.Term {
		c.applyTo(m.Snap.Index)
		c.ack(m, m.Snap.Index)
		return
	}
	c.snap = Snapshot{Index: m.Snap.Index, Term: m.Snap.Term, Conf: m.Snap.Conf}
	c.entries = nil
	c.commit = m.Snap.Index
	c.readopt()
	s := *m.Snap
	c.out.Snap = &s
	c.out.Entries, c.out.Commit = nil, nil
	c.ack(m, m.Snap.Index)
}

// Confirm begins a read by quorum and returns its round; Output.Reads tells when it is confirmed.
func (c *Core) Confirm() (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if t, _ := c.termAt(c.commit); t != c.hard.Term {
		return 0, ErrNotLeader
	}
	c.round++
	c.reads = append(c.reads, pendingRead{round: c.round, index: c.commit})
	c.broadcast()
	c.confirm()
	return c.round, nil
}

// confirm hands out the reads whose round a majority has answered.
func (c *Core) confirm() {
	for len(c.reads) > 0 {
		r := c.reads[0]
		if !c.conf.majority(func(m Member) bool { return m.ID == c.id || c.prog[m.ID].round >= r.round }) {
			return
		}
		c.out.Reads = append(c.out.Reads, Read{Round: r.round, Index: r.index})
		c.reads = c.reads[1:]
	}
}
