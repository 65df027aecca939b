package repl

import "time"

// Propose appends a command to the log and returns its index and term. It returns ErrNotLeader on any other replica.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	index = c.appendEntry(Command, data)
	return index, c.hardState.Term, nil
}

// Flush sends appended entries to the members whose match index is known.
func (c *Core) Flush() {
	if c.role != Leader {
		return
	}
	for _, m := range c.conf.Members {
		p := c.progress[m.ID]
		if m.ID != c.id && p.nextIndex <= c.lastIndex() && !p.probing {
			c.sendAppend(m.ID, p)
		}
	}
}

func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.entries = append(c.entries, e)
	c.output.Entries = append(c.output.Entries, e)
	c.adoptConf(e)
	c.trackMembers()
	c.progress[c.id].matchIndex = e.Index
	c.advanceCommit()
	return e.Index
}

// broadcastAppend sends outstanding entries, or an empty heartbeat, to each member.
func (c *Core) broadcastAppend() {
	c.nextHeartbeat = c.now.Add(HeartbeatInterval)
	for _, m := range c.conf.Members {
		if m.ID != c.id {
			c.sendAppend(m.ID, c.progress[m.ID])
		}
	}
}

// sendAppend sends the next batch and advances nextIndex optimistically; if the batch is lost, the response to a later
// heartbeat shows it.
func (c *Core) sendAppend(to string, p *progress) {
	prevIndex := p.nextIndex - 1
	prevTerm, ok := c.termAt(prevIndex)
	if !ok {
		c.requestSnapshotSend(to, p)
		return
	}
	var batch []Entry
	if !p.probing {
		batch = c.nextBatch(p.nextIndex)
	}
	c.send(Msg{
		Kind: AppendRequest, To: to, Index: prevIndex, LogTerm: prevTerm, Entries: batch, CommitIndex: c.commitIndex, Round: c.readRound,
		Silent: c.silentVoters(),
	})
	p.nextIndex += uint64(len(batch))
}

func (c *Core) nextBatch(from uint64) []Entry {
	if from > c.lastIndex() {
		return nil
	}
	remaining := c.entries[from-c.snap.Index-1:]
	size := 0
	for i, e := range remaining {
		size += len(e.Data)
		if i > 0 && (i >= maxBatchEntries || size > maxBatchBytes) {
			return remaining[:i:i]
		}
	}
	return remaining[:len(remaining):len(remaining)]
}

// requestSnapshotSend emits an InstallSnapshot message without data; the caller fills in the newest stored snapshot.
func (c *Core) requestSnapshotSend(to string, p *progress) {
	if c.now.Sub(p.snapshotSentAt) < snapshotRetryInterval {
		return
	}
	p.snapshotSentAt = c.now
	c.send(Msg{Kind: InstallSnapshot, To: to, Round: c.readRound})
}

func (c *Core) handleAppendRequest(m Msg) {
	c.recordLeaderContact(m)
	c.recordSilentVoters(m.Silent)
	if m.Index < c.commitIndex {
		c.acknowledge(m, c.commitIndex)
		return
	}
	term, ok := c.termAt(m.Index)
	if !ok || term != m.LogTerm {
		c.send(Msg{Kind: AppendResponse, To: m.From, Reject: true, Index: c.lastPossibleMatch(m.Index), Round: m.Round})
		return
	}
	for i, e := range m.Entries {
		ownTerm, ok := c.termAt(e.Index)
		if ok && ownTerm == e.Term {
			continue
		}
		c.replaceSuffix(m.Entries[i:])
		break
	}
	lastNew := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.CommitIndex, lastNew))
	c.acknowledge(m, lastNew)
}

// lastPossibleMatch returns the highest index at which this log may still match the leader's, given a mismatch at index: the
// last index of this log if it is shorter, else the index before the first entry of the conflicting term.
func (c *Core) lastPossibleMatch(index uint64) uint64 {
	if index > c.lastIndex() {
		return c.lastIndex()
	}
	term, _ := c.termAt(index)
	for index > c.commitIndex {
		index--
		if t, ok := c.termAt(index); !ok || t != term {
			break
		}
	}
	return index
}

// recordLeaderContact records a message from the leader of the current term and resets the election deadline.
func (c *Core) recordLeaderContact(m Msg) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.hardState.Term, m.From)
	}
	c.lastLeader, c.lastLeaderContact, c.heardLeader, c.firstCampaign = m.From, c.now, true, time.Time{}
	c.resetElectionDeadline(c.now)
}

func (c *Core) acknowledge(m Msg, match uint64) {
	c.send(Msg{Kind: AppendResponse, To: m.From, Index: match, Round: m.Round})
}

// replaceSuffix truncates the log at the first new entry and appends the new entries.
func (c *Core) replaceSuffix(entries []Entry) {
	first := entries[0].Index
	truncated := first <= c.lastIndex()
	c.entries = append(c.entries[:first-c.snap.Index-1:first-c.snap.Index-1], entries...)
	c.output.Entries = append(c.output.Entries, entries...)
	if truncated {
		c.rebuildConf()
		return
	}
	for _, e := range entries {
		c.adoptConf(e)
	}
}

func (c *Core) handleAppendResponse(m Msg) {
	if c.role != Leader {
		return
	}
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.lastResponse, p.silentSince = c.now, time.Time{}
	p.readRound = max(p.readRound, m.Round)
	c.completeReads()
	if m.Reject {
		next := max(min(p.nextIndex, m.Index+1), p.matchIndex+1)
		if p.probing && next == p.nextIndex {
			// The response is to an earlier message; the next heartbeat probes again.
			return
		}
		p.nextIndex, p.probing = next, true
		c.sendAppend(m.From, p)
		return
	}
	p.probing = false
	if m.Index > p.matchIndex {
		p.matchIndex = m.Index
		// The log may have been compacted beyond a snapshot that the member has just installed.
		p.snapshotSentAt = time.Time{}
		p.nextIndex = max(p.nextIndex, p.matchIndex+1)
		c.advanceCommit()
	}
	if c.role == Leader && p.nextIndex <= c.lastIndex() {
		c.sendAppend(m.From, p)
	}
}

// advanceCommit commits up to the highest entry of the current term that a majority has stored. Entries of earlier terms are
// committed only together with such an entry.
func (c *Core) advanceCommit() {
	for i := c.lastIndex(); i > c.commitIndex; i-- {
		if t, _ := c.termAt(i); t != c.hardState.Term {
			return
		}
		if c.conf.majority(func(m Member) bool { return c.progress[m.ID].matchIndex >= i }) {
			c.commitTo(i)
			c.stepDownIfRemoved()
			return
		}
	}
}

func (c *Core) handleInstallSnapshot(m Msg) {
	c.recordLeaderContact(m)
	if m.Snapshot.Index <= c.commitIndex {
		c.acknowledge(m, c.commitIndex)
		return
	}
	if t, ok := c.termAt(m.Snapshot.Index); ok && t == m.Snapshot.Term {
		c.commitTo(m.Snapshot.Index)
		c.acknowledge(m, m.Snapshot.Index)
		return
	}
	c.snap = Snapshot{Index: m.Snapshot.Index, Term: m.Snapshot.Term, Conf: m.Snapshot.Conf}
	c.entries = nil
	c.commitIndex = m.Snapshot.Index
	c.rebuildConf()
	s := *m.Snapshot
	c.output.Snapshot = &s
	c.output.Entries, c.output.Committed = nil, nil
	c.acknowledge(m, m.Snapshot.Index)
}

// StartRead starts a quorum read and returns its round; the round appears in Output.ConfirmedReads once a majority has
// confirmed it. It returns ErrNotLeader on a replica that does not lead or has not yet committed an entry of its term.
func (c *Core) StartRead() (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if t, _ := c.termAt(c.commitIndex); t != c.hardState.Term {
		return 0, ErrNotLeader
	}
	c.readRound++
	c.pendingReads = append(c.pendingReads, pendingRead{round: c.readRound, index: c.commitIndex})
	c.broadcastAppend()
	c.completeReads()
	return c.readRound, nil
}

// completeReads moves the reads whose round a majority has acknowledged to the output.
func (c *Core) completeReads() {
	for len(c.pendingReads) > 0 {
		r := c.pendingReads[0]
		if !c.conf.majority(func(m Member) bool { return m.ID == c.id || c.progress[m.ID].readRound >= r.round }) {
			return
		}
		c.output.ConfirmedReads = append(c.output.ConfirmedReads, ConfirmedRead{Round: r.round, Index: r.index})
		c.pendingReads = c.pendingReads[1:]
	}
}
