package repl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// catchUp is the time after the start of a machine at which it no longer counts as lost.
	catchUp = 4 * time.Second
	// bootTime is the time from the start of a machine to its first request to join.
	bootTime = 300 * time.Millisecond
	// joinInterval is the time between two requests to join.
	joinInterval = 300 * time.Millisecond
	// memberCheckInterval is the time between two checks of a running voter whether it still is one.
	memberCheckInterval = time.Second
	// leaveInterval and leaveLimit are the time between two requests to leave and the time for which a stopping machine repeats them.
	leaveInterval = 100 * time.Millisecond
	leaveLimit    = 2 * time.Second
	// slowDelay is longer than the silence after which voters are reported.
	slowDelay = 2 * minObservation
	// timeStep is the step of the virtual clock.
	timeStep = 5 * time.Millisecond
)

type (
	// outage runs a cluster on a virtual clock over a network with delays, takes machines away within the limit, and checks that
	// each loss ends in time.
	outage struct {
		*simulation
		limit    int // machines that may be lost at once
		machines []*machine
		queue    []delayed
		// deadlines holds the checks that are due, by the machine whose loss ends.
		deadlines []deadline
		names     int
		history   []string
		// conf is the newest committed configuration that was noted, numConfs the number of them.
		conf     string
		numConfs int
		// earlierBuild takes from messages what builds before 4db0bae do not send.
		earlierBuild bool
		// slow is a machine to and from which messages take slowDelay longer; nil if there is none.
		slow *machine
	}

	// machine is a replica with its process and its place among the losses.
	machine struct {
		*replica
		// role, term and confIndex are those of the last note.
		role      Role
		term      uint64
		confIndex uint64
		frozen    bool
		gone      bool      // for good
		lostTo    time.Time // zero while the end of the loss is not known
		lost      bool
		backAt    time.Time // when it starts again; zero while it runs or never does
		thawAt    time.Time
		healAt    time.Time
		joinAt    time.Time
		leaveAt   time.Time // when it begins to leave
		leaving   bool
	}

	delayed struct {
		at  time.Time
		msg Msg
	}

	// deadline is the time by which successor must vote, and the member in whose place must not.
	deadline struct {
		at        time.Time
		successor *machine
		goneID    string
	}
)

// newOutage returns a cluster of 2*limit+1 machines that has a leader.
func newOutage(fail func(string, ...any), seed uint64, limit int) *outage {
	o := &outage{limit: limit}
	o.simulation = newSimulation(func(format string, args ...any) {
		for _, line := range o.history {
			format += "\n" + line
		}
		for _, m := range o.machines {
			s := m.core.Status()
			format += fmt.Sprintf("\n%s: runs %v frozen %v %s term %d leader %s last %d commit %d conf %d", m.member.Name, m.running, m.frozen,
				s.Role, s.Term, s.Leader, s.LastIndex, s.CommitIndex, s.ConfIndex)
		}
		fail(format, args...)
	}, seed, 2*limit+1)
	for _, r := range o.replicas {
		r.core.SetTargetVoters(2*limit + 1)
		o.machines = append(o.machines, &machine{replica: r, joinAt: o.now.Add(memberCheckInterval)})
		o.names++
	}
	o.run(3 * time.Second)
	return o
}

func (o *outage) note(format string, args ...any) {
	o.history = append(o.history, fmt.Sprintf("%7.3f ", o.now.Sub(time.Unix(0, 0)).Seconds())+fmt.Sprintf(format, args...))
}

// run lets the cluster run for a time.
func (o *outage) run(d time.Duration) {
	for end := o.now.Add(d); o.now.Before(end); {
		o.advance()
	}
}

// advance moves the clock by one step.
func (o *outage) advance() {
	o.now = o.now.Add(timeStep)
	for _, m := range o.machines {
		o.wake(m)
		if !m.running || m.frozen {
			continue
		}
		if m.core.IsLeader() && o.rng.IntN(20) == 0 {
			o.propose(m.replica)
		}
		if o.rng.IntN(400) == 0 {
			o.compact(m.replica)
		}
		if !m.core.NextTick().After(o.now) || m.core.IsLeader() {
			o.tick(m.replica)
		}
		if !o.now.Before(m.joinAt) && !m.leaving {
			o.enroll(m)
		}
		o.transmit()
	}
	o.deliverDue()
	o.observe()
	for len(o.deadlines) > 0 && !o.now.Before(o.deadlines[0].at) {
		d := o.deadlines[0]
		o.deadlines = o.deadlines[1:]
		o.checkDeadline(d)
	}
}

// wake ends the faults of a machine that are over.
func (o *outage) wake(m *machine) {
	due := func(at *time.Time) bool {
		if at.IsZero() || o.now.Before(*at) {
			return false
		}
		*at = time.Time{}
		return true
	}
	if due(&m.backAt) {
		o.note("%s starts", m.member.Name)
		o.startReplica(m.replica)
		m.core.SetTargetVoters(2*o.limit + 1)
		m.joinAt = o.now.Add(bootTime)
	}
	if due(&m.thawAt) {
		o.note("%s thaws", m.member.Name)
		m.frozen = false
	}
	if due(&m.healAt) {
		o.note("%s is connected again", m.member.Name)
		delete(o.isolated, m.member.Name)
	}
	if due(&m.leaveAt) {
		o.leave(m)
	}
	if m.lost && !m.lostTo.IsZero() && !o.now.Before(m.lostTo) {
		m.lost = false
	}
}

// transmit moves new messages to the network.
func (o *outage) transmit() {
	for _, msg := range o.inFlight {
		if o.earlierBuild {
			msg.Silent = nil
		}
		at := o.now.Add(5*time.Millisecond + time.Duration(o.rng.IntN(10))*time.Millisecond)
		if o.slow != nil && (msg.From == o.slow.member.ID || msg.To == o.slow.member.ID) {
			at = at.Add(slowDelay)
		}
		o.queue = append(o.queue, delayed{at: at, msg: msg})
	}
	o.inFlight = nil
}

func (o *outage) deliverDue() {
	for _, d := range o.takeDue() {
		for _, m := range o.machines {
			switch {
			case m.member.ID != d.msg.To || !m.running || o.partitioned(d.msg.From, d.msg.To):
			case m.frozen:
				o.queue = append(o.queue, delayed{at: o.now.Add(timeStep), msg: d.msg})
			default:
				m.core.Step(o.now, d.msg)
				o.handleOutput(m.replica, false)
				o.transmit()
			}
		}
	}
}

func (o *outage) takeDue() []delayed {
	var due []delayed
	o.queue = slices.DeleteFunc(o.queue, func(d delayed) bool {
		if d.at.After(o.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	return due
}

// observe notes changes of leader and of members.
func (o *outage) observe() {
	for _, m := range o.machines {
		if !m.running {
			continue
		}
		if role, term := m.core.role, m.core.hardState.Term; role != Follower && (role != m.role || term != m.term) {
			o.note("%s is %s in term %d", m.member.Name, role, term)
		}
		m.role, m.term = m.core.role, m.core.hardState.Term
		if m.core.IsLeader() && m.core.confIndex != m.confIndex && m.core.mayChangeConf() && m.core.conf.String() != o.conf {
			m.confIndex = m.core.confIndex
			o.conf = m.core.conf.String()
			o.numConfs++
			o.note("%s leads, members %s", m.member.Name, o.conf)
		}
	}
}

// leaders returns the leaders that the reachable machines name.
func (o *outage) leaders(from *machine) []*machine {
	var out []*machine
	for _, via := range o.machines {
		if !via.running || via.frozen || o.partitioned(from.member.ID, via.member.ID) {
			continue
		}
		leader, _ := via.core.Leader()
		for _, m := range o.machines {
			if m.member.ID == leader.ID && m.running && !m.frozen && !o.partitioned(from.member.ID, m.member.ID) && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// enroll asks to join if the machine is no voter, as package group does.
func (o *outage) enroll(m *machine) {
	status := m.core.Status()
	if self, ok := status.Conf.Find(m.member.ID); ok && self.Voter && status.Leader != "" {
		m.joinAt = o.now.Add(memberCheckInterval)
		return
	}
	m.joinAt = o.now.Add(joinInterval)
	for _, leader := range o.leaders(m) {
		_, _ = leader.core.Join(m.member)
		o.handleOutput(leader.replica, false)
	}
}

// leave asks the leader for a successor and stops the machine for good once there is one, or none is to be had.
func (o *outage) leave(m *machine) {
	m.leaving = true
	end := o.now.Add(leaveLimit)
	for o.now.Before(end) {
		handover := false
		for _, leader := range o.leaders(m) {
			more, err := leader.core.Leave(m.member.ID)
			o.handleOutput(leader.replica, false)
			handover = handover || more || err != nil
		}
		if self, ok := m.core.conf.Find(m.member.ID); (!ok || !self.Voter) && m.core.confIndex <= m.core.commitIndex {
			handover = false
		}
		if !handover && len(o.leaders(m)) > 0 {
			break
		}
		o.run(leaveInterval)
	}
	o.note("%s stops for good", m.member.Name)
	m.running, m.gone = false, true
}

// numLost returns the number of machines that count as lost.
func (o *outage) numLost() int {
	n := 0
	for _, m := range o.machines {
		if m.lost {
			n++
		}
	}
	return n
}

func (o *outage) lose(m *machine, to time.Time) {
	m.lost, m.lostTo = true, to
}

// machineThat returns a machine that is not lost, nor still has to take a lost one's place, and for which cond holds, or nil.
func (o *outage) machineThat(cond func(*machine) bool) *machine {
	var fit []*machine
	for _, m := range o.machines {
		pending := slices.ContainsFunc(o.deadlines, func(d deadline) bool { return d.successor == m })
		if m.running && !m.lost && !pending && cond(m) {
			fit = append(fit, m)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[o.rng.IntN(len(fit))]
}

func isLeader(m *machine) bool { return m.core.IsLeader() }

func isFollower(m *machine) bool { return !m.core.IsLeader() }

// addMachine adds an empty machine that starts after a delay.
func (o *outage) addMachine(delay time.Duration) *machine {
	name := fmt.Sprintf("n%d", o.names)
	r := &replica{member: Member{ID: "d" + name[1:], Name: name, Voter: true}}
	r.core = New(r.member.ID, Stored{}, o.rng, o.now)
	o.names++
	o.replicas = append(o.replicas, r)
	m := &machine{replica: r, backAt: o.now.Add(max(delay, timeStep))}
	o.machines = append(o.machines, m)
	return m
}

// replaceLost takes a machine away for good; an empty one with another name starts after a delay.
func (o *outage) replaceLost(m *machine, delay time.Duration) {
	o.note("%s is lost for good, leader %v", m.member.Name, m.core.IsLeader())
	m.running, m.gone = false, true
	o.lose(m, o.now.Add(delay+catchUp))
	successor := o.addMachine(delay)
	o.expect(deadline{at: o.now.Add(delay + catchUp), successor: successor, goneID: m.member.ID})
}

// loseDiskOf starts a machine again after a delay, with an empty disk.
func (o *outage) loseDiskOf(m *machine, delay time.Duration) {
	o.note("%s loses its disk, leader %v", m.member.Name, m.core.IsLeader())
	oldID := m.member.ID
	m.running = false
	m.member.ID = fmt.Sprintf("%s-%d", oldID, len(o.history))
	m.disk = Stored{}
	m.backAt = o.now.Add(delay)
	o.lose(m, o.now.Add(delay+catchUp))
	o.expect(deadline{at: o.now.Add(delay + catchUp), successor: m, goneID: oldID})
}

// replacePlanned starts an empty machine, and stops the one whose place it takes after a delay.
func (o *outage) replacePlanned(m *machine, delay time.Duration) {
	successor := o.addMachine(0)
	o.note("%s is to replace %s, leader %v", successor.member.Name, m.member.Name, m.core.IsLeader())
	end := o.now.Add(max(catchUp, delay+leaveLimit) + timeStep)
	o.lose(m, end)
	m.leaveAt = o.now.Add(delay)
	o.expect(deadline{at: end, successor: successor, goneID: m.member.ID})
}

// restart stops a machine and starts it again with its disk after a time.
func (o *outage) restart(m *machine, after time.Duration) {
	o.note("%s stops for %v, leader %v", m.member.Name, after, m.core.IsLeader())
	m.running = false
	m.backAt = o.now.Add(after)
	o.lose(m, m.backAt.Add(catchUp))
}

func (o *outage) freeze(m *machine, d time.Duration) {
	o.note("%s freezes for %v, leader %v", m.member.Name, d, m.core.IsLeader())
	m.frozen, m.thawAt = true, o.now.Add(d)
	o.lose(m, m.thawAt.Add(catchUp))
}

func (o *outage) cutOff(m *machine, d time.Duration) {
	o.note("%s is cut off for %v, leader %v", m.member.Name, d, m.core.IsLeader())
	o.isolated[m.member.Name], m.healAt = true, o.now.Add(d)
	o.lose(m, m.healAt.Add(catchUp))
}

// restartAll stops all machines at once and starts them again within a second. All of them count as lost until they have caught up.
func (o *outage) restartAll() {
	o.note("all machines stop")
	for _, m := range o.machines {
		if !m.running || m.gone || !m.leaveAt.IsZero() {
			continue
		}
		m.running = false
		m.backAt = o.now.Add(500*time.Millisecond + time.Duration(o.rng.IntN(500))*time.Millisecond)
		o.lose(m, m.backAt.Add(catchUp))
	}
	for i := range o.deadlines {
		o.deadlines[i].at = o.deadlines[i].at.Add(time.Second + catchUp)
	}
	o.sortDeadlines()
	for _, m := range o.machines {
		if m.gone && m.lost {
			m.lostTo = m.lostTo.Add(time.Second + catchUp)
		}
	}
}

func (o *outage) expect(d deadline) {
	o.deadlines = append(o.deadlines, d)
	o.sortDeadlines()
}

func (o *outage) sortDeadlines() {
	slices.SortStableFunc(o.deadlines, func(a, b deadline) int { return a.at.Compare(b.at) })
}

// checkDeadline checks that a successor votes or that others hold all votes, and that no more voters are gone for good than machines are
// lost.
func (o *outage) checkDeadline(d deadline) {
	conf := o.committedConf()
	gone := 0
	for _, voter := range conf.Members {
		if voter.Voter && !slices.ContainsFunc(o.machines, func(m *machine) bool { return m.member.ID == voter.ID && !m.gone }) {
			gone++
		}
	}
	full := gone == 0 && conf.NumVoters() >= 2*o.limit+1
	if m, ok := conf.Find(d.successor.member.ID); !full && (!ok || !m.Voter) {
		o.fail("%v: %s does not vote when the loss of %s ends; members %s", o.now.Sub(time.Unix(0, 0)), d.successor.member.Name, d.goneID, conf)
	}
	if lost := o.numLost(); gone > lost {
		o.fail("%d voters are gone for good, but %d machines are lost; members %s", gone, lost, conf)
	}
}

// awaitRoom lets the cluster run until another machine may be lost.
func (o *outage) awaitRoom() {
	for o.numLost() >= o.limit {
		o.advance()
	}
}

// settle lets all losses end and checks that the target number of voters is reached, all of them on machines that run, and that a change
// commits.
func (o *outage) settle() {
	for o.numLost() > 0 || len(o.deadlines) > 0 {
		o.advance()
	}
	before := o.maxApplied
	o.run(3 * time.Second)
	if o.maxApplied == before {
		o.fail("nothing is committed after the end of all losses")
	}
	conf := o.committedConf()
	if conf.NumVoters() != 2*o.limit+1 {
		o.fail("%d voters after the end of all losses: %s", conf.NumVoters(), conf)
	}
	for _, voter := range conf.Members {
		if voter.Voter && !slices.ContainsFunc(o.machines, func(m *machine) bool { return m.member.ID == voter.ID && m.running }) {
			o.fail("voter %s does not run after the end of all losses", voter.Name)
		}
	}
}

// trouble takes a random machine away in a random way, the leader in every other case.
func (o *outage) trouble() {
	cond := isFollower
	if o.rng.IntN(2) == 0 {
		cond = isLeader
	}
	m := o.machineThat(func(m *machine) bool {
		member, ok := m.core.conf.Find(m.member.ID)
		return ok && member.Voter && cond(m)
	})
	if m == nil {
		return
	}
	delay := time.Duration(o.rng.IntN(2000)) * time.Millisecond
	switch o.rng.IntN(9) {
	case 0, 1, 2:
		o.replaceLost(m, delay)
	case 3, 4:
		o.loseDiskOf(m, max(delay, timeStep))
	case 5:
		o.replacePlanned(m, 3*delay)
	case 6:
		o.restart(m, delay/2+100*time.Millisecond)
	case 7:
		o.freeze(m, 2*delay)
	case 8:
		o.cutOff(m, 2*delay)
	}
}

// TestLossesEndInTime guards against a log that has lost its majority for good: machines are lost in any sequence within the limit, and
// each successor must vote by the time at which the next machine may be lost.
func TestLossesEndInTime(t *testing.T) {
	for _, limit := range []int{1, 2} {
		t.Run(fmt.Sprint(2*limit+1, " replicas"), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				o := newOutage(rt.Fatalf, rapid.Uint64().Draw(rt, "seed"), limit)
				for range rapid.IntRange(3, 12).Draw(rt, "losses") {
					o.awaitRoom()
					if o.rng.IntN(2) == 0 {
						o.run(time.Duration(o.rng.IntN(3000)) * time.Millisecond)
						o.awaitRoom()
					}
					if o.rng.IntN(12) == 0 {
						o.restartAll()
						continue
					}
					o.trouble()
				}
				o.settle()
			})
		})
	}
}

// votes reports whether a machine votes by the newest committed configuration.
func (o *outage) votes(m *machine) bool {
	member, ok := o.committedConf().Find(m.member.ID)
	return ok && member.Voter
}

// TestLeaderLostBeforeReplacement guards against an election that delays the replacement of a voter that was lost before: the leader is
// lost at each moment from the loss of the voter to the end of that loss.
func TestLeaderLostBeforeReplacement(t *testing.T) {
	for at := time.Duration(0); at <= catchUp; at += 250 * time.Millisecond {
		for seed := range uint64(5) {
			o := newOutage(t.Fatalf, seed, 2)
			o.replaceLost(o.machineThat(isFollower), timeStep)
			o.run(at)
			o.replaceLost(o.machineThat(isLeader), time.Second)
			o.awaitRoom()
			o.replaceLost(o.machineThat(isFollower), time.Second)
			o.settle()
		}
	}
}

// TestCombinedLosses guards against single ways to lose replicas after which a successor has no vote in time.
func TestCombinedLosses(t *testing.T) {
	losses := []struct {
		name string
		lose func(o *outage)
	}{
		{"two lost together, the leader among them", func(o *outage) {
			o.replaceLost(o.machineThat(isLeader), time.Second)
			o.replaceLost(o.machineThat(isFollower), timeStep)
		}},
		{"two lost disks, the leader's among them", func(o *outage) {
			o.loseDiskOf(o.machineThat(isLeader), time.Second)
			o.loseDiskOf(o.machineThat(isFollower), time.Second)
		}},
		{"a lost machine and a lost disk", func(o *outage) {
			o.replaceLost(o.machineThat(isFollower), time.Second)
			o.loseDiskOf(o.machineThat(isLeader), time.Second)
		}},
		{"a restart of all before the successor votes", func(o *outage) {
			o.replaceLost(o.machineThat(isFollower), time.Second)
			o.run(1200 * time.Millisecond)
			o.restartAll()
		}},
		{"a restart of all at the moment of the loss", func(o *outage) {
			o.replaceLost(o.machineThat(isLeader), 2*time.Second)
			o.restartAll()
		}},
	}
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			for seed := range uint64(20) {
				o := newOutage(t.Fatalf, seed, 2)
				for range 3 {
					l.lose(o)
					o.settle()
				}
			}
		})
	}
}

// TestSplitVote guards against elections that three voters of five repeat, as two of them ask for votes at once: then no candidate gets all
// three votes.
func TestSplitVote(t *testing.T) {
	const seeds = 500
	split := 0
	for seed := range uint64(seeds) {
		o := newOutage(t.Fatalf, seed, 2)
		o.machineThat(isFollower).running = false
		o.machineThat(isLeader).running = false
		o.run(MaxElectionTimeout + 2*HeartbeatInterval)
		if o.machineThat(isLeader) == nil {
			split++
		}
	}
	t.Logf("no leader after the longest election timeout in %d of %d", split, seeds)
	if split > seeds/100 {
		t.Errorf("votes were split in %d of %d elections", split, seeds)
	}
}

// TestVoterKeepsItsPlace guards against the replacement of a voter that is only slow, or restarts within a second, by a learner that
// waits for a place.
func TestVoterKeepsItsPlace(t *testing.T) {
	for seed := range uint64(20) {
		o := newOutage(t.Fatalf, seed, 2)
		spare := o.addMachine(0)
		o.run(2 * time.Second)
		before := o.numConfs
		for range 5 {
			m := o.machineThat(func(m *machine) bool { return o.votes(m) })
			if o.rng.IntN(2) == 0 {
				o.freeze(m, 1500*time.Millisecond)
			} else {
				o.restart(m, time.Second)
			}
			o.run(5 * time.Second)
		}
		if o.votes(spare) || o.numConfs != before {
			o.fail("members changed, %d times before and %d after", before, o.numConfs)
		}
	}
}

// TestSlowVoterKeepsItsPlace guards against the replacement of a voter that answers late all the time, by a learner that waits for a
// place.
func TestSlowVoterKeepsItsPlace(t *testing.T) {
	for seed := range uint64(20) {
		o := newOutage(t.Fatalf, seed, 2)
		spare := o.addMachine(0)
		o.run(2 * time.Second)
		before := o.numConfs
		o.slow = o.machineThat(func(m *machine) bool { return m != spare && isFollower(m) })
		o.run(20 * time.Second)
		if o.votes(spare) || o.numConfs != before {
			o.fail("members changed, %d times before and %d after", before, o.numConfs)
		}
	}
}

// TestReplacedVoterReturns guards against a replaced replica that stays outside, or has an effect on the others, when it is back after a
// freeze or a cut: it becomes a learner and takes the next place.
func TestReplacedVoterReturns(t *testing.T) {
	for seed := range uint64(20) {
		for _, cond := range []func(*machine) bool{isFollower, isLeader} {
			for _, lose := range []func(*outage, *machine, time.Duration){(*outage).freeze, (*outage).cutOff} {
				o := newOutage(t.Fatalf, seed, 2)
				old := o.machineThat(cond)
				lose(o, old, 8*time.Second)
				successor := o.addMachine(time.Second)
				o.run(time.Second + catchUp)
				if !o.votes(successor) || o.votes(old) {
					o.fail("%s has not taken the place of %s", successor.member.Name, old.member.Name)
				}
				o.run(3*time.Second + catchUp)
				if _, ok := o.committedConf().Find(old.member.ID); !ok || o.votes(old) {
					o.fail("%s is no learner: %s", old.member.Name, o.committedConf())
				}
				o.replaceLost(o.machineThat(func(m *machine) bool { return m != old }), time.Minute)
				o.run(catchUp)
				if !o.votes(old) {
					o.fail("%s has not taken the next place: %s", old.member.Name, o.committedConf())
				}
			}
		}
	}
}

// TestLossesDuringHandover guards against a planned replacement that leaves no majority if as many others as may be lost at once are lost
// at any moment of it.
func TestLossesDuringHandover(t *testing.T) {
	for at := time.Duration(0); at <= 200*time.Millisecond; at += timeStep {
		o := newOutage(t.Fatalf, uint64(at), 2)
		successor := o.addMachine(0)
		o.run(2 * time.Second)
		leaving, leader := o.machineThat(isFollower), o.machineThat(isLeader)
		end := o.now.Add(at)
		for o.now.Before(end) && o.votes(leaving) {
			_, _ = leader.core.Leave(leaving.member.ID)
			o.handleOutput(leader.replica, false)
			o.advance()
		}
		for range 2 {
			o.machineThat(func(m *machine) bool { return m != leaving && m != successor && o.votes(m) }).running = false
		}
		before := o.maxApplied
		o.run(5 * time.Second)
		if o.maxApplied == before {
			o.fail("nothing is committed after the loss of two others, %v after the leave", at)
		}
	}
}

// TestReplacementAmongEarlierBuilds guards against replacements that depend on what only this build sends: leaders of earlier builds do
// not tell who is silent.
func TestReplacementAmongEarlierBuilds(t *testing.T) {
	for seed := range uint64(20) {
		o := newOutage(t.Fatalf, seed, 2)
		o.earlierBuild = true
		lost := []*machine{o.machineThat(isFollower), o.machineThat(isLeader)}
		for _, m := range lost {
			m.running, m.gone = false, true
		}
		successors := []*machine{o.addMachine(time.Second), o.addMachine(time.Second)}
		o.run(3*MaxElectionTimeout + 2*VoterReplaceTimeout)
		for i := range lost {
			if !o.votes(successors[i]) || o.votes(lost[i]) {
				o.fail("%s has not taken the place of %s", successors[i].member.Name, lost[i].member.Name)
			}
		}
	}
}
