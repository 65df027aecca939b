package repl

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// maxInFlight is the number of messages above which the simulated network drops the oldest ones.
const maxInFlight = 400

type (
	// simulation runs a set of replicas over a network that loses, duplicates and reorders messages, and records what is needed
	// to check the safety properties.
	simulation struct {
		fail         func(string, ...any)
		rng          *rand.Rand
		now          time.Time
		replicas     []*replica
		inFlight     []Msg
		committed    map[uint64]string // applied entries by index
		leaders      map[uint64]string // member IDs by term
		lostDisks    map[string]bool   // by member ID
		maxApplied   uint64            // highest index applied by any replica
		counter      int               // numbers the proposed commands and the replaced disks
		minReadIndex map[string]uint64 // by member ID, term and read round
		isolated     map[string]bool   // by replica name; isolated replicas reach only each other
	}

	// replica is one data folder with its process; applied lists the index and term of each entry that it applied.
	replica struct {
		member  Member
		core    *Core
		disk    Stored
		running bool
		applied []string
	}
)

func newSimulation(fail func(string, ...any), seed uint64, n int) *simulation {
	sim := &simulation{
		fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), committed: map[uint64]string{},
		leaders: map[uint64]string{}, lostDisks: map[string]bool{}, minReadIndex: map[string]uint64{}, isolated: map[string]bool{},
	}
	var conf Conf
	for i := range n {
		conf.Members = append(conf.Members, Member{
			ID: fmt.Sprintf("d%d", i), Name: fmt.Sprintf("n%d", i), Addr: netip.MustParseAddrPort("127.0.0.1:1"), Voter: true,
		})
	}
	for _, m := range conf.Members {
		r := &replica{member: m, disk: Stored{Snapshot: Snapshot{Conf: conf}}}
		sim.replicas = append(sim.replicas, r)
		sim.startReplica(r)
	}
	return sim
}

func (sim *simulation) startReplica(r *replica) {
	stored := r.disk
	stored.Entries = append([]Entry(nil), r.disk.Entries...)
	r.core = New(r.member.ID, stored, sim.rng, sim.now)
	r.running = true
	r.applied = nil
	if len(stored.Snapshot.Data) > 0 {
		r.applied = strings.Split(string(stored.Snapshot.Data), ",")
	}
}

// save persists an output on the simulated disk, as package store does.
func (r *replica) save(out Output) {
	if out.HardState != nil {
		r.disk.HardState = *out.HardState
	}
	if out.Snapshot != nil {
		r.disk.Snapshot = *out.Snapshot
		r.disk.Entries = nil
	}
	for _, e := range out.Entries {
		pos := e.Index - r.disk.Snapshot.Index - 1
		r.disk.Entries = append(r.disk.Entries[:pos:pos], e)
	}
}

// handleOutput persists, sends and applies a replica's output. With crash set the replica stops before the output is persisted,
// after a part of it is, or before it is sent.
func (sim *simulation) handleOutput(r *replica, crash bool) {
	out := r.core.TakeOutput()
	if crash {
		r.running = false
		switch sim.rng.IntN(3) {
		case 0:
			return
		case 1:
			if n := len(out.Entries); n > 0 && out.Snapshot == nil {
				out.Entries = out.Entries[:sim.rng.IntN(n)]
				r.save(out)
			}
			return
		}
		r.save(out)
		return
	}
	r.save(out)
	for _, m := range out.Msgs {
		if m.Kind == InstallSnapshot {
			snap := r.disk.Snapshot
			if len(snap.Data) == 0 {
				continue
			}
			m.Snapshot = &snap
		}
		sim.inFlight = append(sim.inFlight, m)
	}
	if out.Snapshot != nil {
		r.applied = strings.Split(string(out.Snapshot.Data), ",")
	}
	for _, e := range out.Committed {
		sim.apply(r, e)
	}
	for _, read := range out.ConfirmedReads {
		key := fmt.Sprintf("%s/%d/%d", r.member.ID, r.core.hardState.Term, read.Round)
		if minIndex, ok := sim.minReadIndex[key]; ok && read.Index < minIndex {
			sim.fail("read at index %d, but index %d was applied before the read started", read.Index, minIndex)
		}
	}
	sim.checkLeader(r)
}

// apply checks that no two replicas apply different entries at the same index, and that none is applied twice or out of order.
func (sim *simulation) apply(r *replica, e Entry) {
	text := fmt.Sprintf("%d/%d/%s", e.Index, e.Term, e.Data)
	if old, ok := sim.committed[e.Index]; ok && old != text {
		sim.fail("index %d: %q was applied before, now %q", e.Index, old, text)
	}
	sim.committed[e.Index] = text
	sim.maxApplied = max(sim.maxApplied, e.Index)
	if uint64(len(r.applied)) != e.Index-1 {
		sim.fail("%s applies index %d after %d entries", r.member.ID, e.Index, len(r.applied))
	}
	r.applied = append(r.applied, fmt.Sprintf("%d/%d", e.Index, e.Term))
}

// checkLeader checks that a term has at most one leader.
func (sim *simulation) checkLeader(r *replica) {
	if !r.core.IsLeader() {
		return
	}
	term := r.core.hardState.Term
	if old, ok := sim.leaders[term]; ok && old != r.member.ID {
		sim.fail("term %d has the leaders %s and %s", term, old, r.member.ID)
	}
	sim.leaders[term] = r.member.ID
}

// step advances the clock, delivers some of the messages, and then performs one random action, on a leader more often than on
// other replicas.
func (sim *simulation) step() {
	sim.now = sim.now.Add(time.Duration(10+sim.rng.IntN(60)) * time.Millisecond)
	for _, r := range sim.replicas {
		if sim.rng.IntN(10) != 0 {
			sim.tick(r)
		}
		if sim.rng.IntN(2) == 0 {
			sim.propose(r)
		}
	}
	for n := sim.rng.IntN(2*len(sim.inFlight) + 1); n > 0; n-- {
		sim.deliver()
	}
	r := sim.pickReplica()
	switch action := sim.rng.IntN(100); {
	case action < 12:
		sim.confirm(r)
	case action < 20 && r.running:
		sim.handleOutput(r, true)
	case action < 45 && !r.running:
		sim.startReplica(r)
	case action < 50:
		sim.compact(r)
	case action < 54:
		sim.loseDisk(r)
	case action < 64:
		sim.isolated = map[string]bool{}
	case action < 70:
		sim.isolated[r.member.Name] = true
	default:
		sim.join(sim.replicas[sim.rng.IntN(len(sim.replicas))])
	}
}

// pickReplica returns a random replica; in half the cases the first one that leads, or led when it crashed, if there is one.
func (sim *simulation) pickReplica() *replica {
	if sim.rng.IntN(2) == 0 {
		for _, r := range sim.replicas {
			if r.core.IsLeader() {
				return r
			}
		}
	}
	return sim.replicas[sim.rng.IntN(len(sim.replicas))]
}

// partitioned reports whether the replicas with IDs a and b cannot reach each other.
func (sim *simulation) partitioned(a, b string) bool {
	return sim.isolated[sim.name(a)] != sim.isolated[sim.name(b)]
}

func (sim *simulation) name(id string) string {
	for _, r := range sim.replicas {
		if r.member.ID == id {
			return r.member.Name
		}
	}
	return ""
}

func (sim *simulation) tick(r *replica) {
	if r.running {
		r.core.Tick(sim.now)
		sim.handleOutput(r, false)
	}
}

// deliver takes a random message from the network and delivers it, drops it, or delivers it and keeps a duplicate.
func (sim *simulation) deliver() {
	if len(sim.inFlight) == 0 {
		return
	}
	if len(sim.inFlight) > maxInFlight {
		sim.inFlight = sim.inFlight[len(sim.inFlight)-maxInFlight/2:]
	}
	i := sim.rng.IntN(len(sim.inFlight))
	m := sim.inFlight[i]
	if sim.rng.IntN(12) != 0 {
		sim.inFlight[i] = sim.inFlight[len(sim.inFlight)-1]
		sim.inFlight = sim.inFlight[:len(sim.inFlight)-1]
	}
	if sim.rng.IntN(12) == 0 || sim.partitioned(m.From, m.To) {
		return
	}
	for _, r := range sim.replicas {
		if r.running && r.member.ID == m.To {
			r.core.Step(sim.now, m)
			sim.handleOutput(r, sim.rng.IntN(100) == 0)
		}
	}
}

func (sim *simulation) propose(r *replica) {
	if !r.running || !r.core.IsLeader() {
		return
	}
	sim.counter++
	_, _, _ = r.core.Propose([]byte(fmt.Sprint(sim.counter)))
	r.core.Flush()
	sim.handleOutput(r, false)
}

func (sim *simulation) confirm(r *replica) {
	if !r.running {
		return
	}
	round, err := r.core.StartRead()
	if err == nil {
		sim.minReadIndex[fmt.Sprintf("%s/%d/%d", r.member.ID, r.core.hardState.Term, round)] = sim.maxApplied
		sim.handleOutput(r, false)
	}
}

func (sim *simulation) compact(r *replica) {
	if !r.running || len(r.applied) == 0 || uint64(len(r.applied)) <= r.disk.Snapshot.Index {
		return
	}
	snap := r.core.SnapshotAt(uint64(len(r.applied)), []byte(strings.Join(r.applied, ",")))
	kept := r.core.Compact(snap.Index, uint64(sim.rng.IntN(8)), 64+sim.rng.IntN(64))
	r.disk.Snapshot = snap
	r.disk.Entries = nil
	for _, e := range kept {
		if e.Index > snap.Index {
			r.disk.Entries = append(r.disk.Entries, e)
		}
	}
}

// loseDisk erases a replica's disk, unless a quorum of the newest committed configuration, or of a configuration that some
// replica has already adopted, would be lost: a configuration is in effect as soon as it is in a log.
func (sim *simulation) loseDisk(r *replica) {
	if _, ok := sim.committedConf().Find(r.member.ID); !ok {
		return
	}
	confs := []Conf{sim.committedConf()}
	for _, other := range sim.replicas {
		confs = append(confs, other.core.conf)
	}
	for _, conf := range confs {
		if !sim.toleratesLoss(conf, r.member.ID) {
			return
		}
	}
	sim.lostDisks[r.member.ID] = true
	sim.counter++
	r.member.ID = fmt.Sprintf("d%d", 100+sim.counter)
	r.disk = Stored{}
	sim.startReplica(r)
}

// toleratesLoss reports whether a configuration keeps a quorum without the data folders lost so far and one more.
func (sim *simulation) toleratesLoss(conf Conf, extraID string) bool {
	lost := 0
	for _, m := range conf.Members {
		if m.Voter && (sim.lostDisks[m.ID] || m.ID == extraID) {
			lost++
		}
	}
	return lost == 0 || lost <= (conf.NumVoters()-1)/2
}

// committedConf returns the newest committed configuration.
func (sim *simulation) committedConf() Conf {
	var conf Conf
	bestIndex := uint64(0)
	for _, r := range sim.replicas {
		if index := r.core.commitIndex; index >= bestIndex && len(r.core.confAt(index).Members) > 0 {
			bestIndex, conf = index, r.core.confAt(index)
		}
	}
	return conf
}

func (sim *simulation) join(r *replica) {
	for _, leader := range sim.replicas {
		if leader.running && r.running && leader.core.IsLeader() {
			_, _ = leader.core.Join(r.member)
			sim.handleOutput(leader, false)
		}
	}
}

// checkRecovery ends all faults and checks that the replicas elect a leader, that all of them are voters again, and that none is
// more than 4 entries behind.
func (sim *simulation) checkRecovery() {
	sim.isolated = map[string]bool{}
	for _, r := range sim.replicas {
		if !r.running {
			sim.startReplica(r)
		}
	}
	counterBefore := sim.counter
	for range 400 {
		sim.now = sim.now.Add(20 * time.Millisecond)
		for _, r := range sim.replicas {
			sim.tick(r)
			sim.join(r)
			sim.propose(r)
		}
		for n := len(sim.inFlight); n > 0; n-- {
			m := sim.inFlight[0]
			sim.inFlight = sim.inFlight[1:]
			for _, r := range sim.replicas {
				if r.member.ID == m.To {
					r.core.Step(sim.now, m)
					sim.handleOutput(r, false)
				}
			}
		}
	}
	if sim.counter == counterBefore {
		sim.fail("no leader after the end of all faults")
	}
	conf := sim.committedConf()
	for _, r := range sim.replicas {
		if m, ok := conf.Find(r.member.ID); !ok || !m.Voter {
			sim.fail("%s is not a voter after the end of all faults", r.member.ID)
		}
		if sim.maxApplied-uint64(len(r.applied)) > 4 {
			sim.fail("%s has applied %d of %d entries", r.member.ID, len(r.applied), sim.maxApplied)
		}
	}
}

// TestRandomSchedules checks the safety properties and the recovery under random message loss, duplication and reordering,
// partitions, crashes, lost disks and membership changes.
func TestRandomSchedules(t *testing.T) {
	for _, n := range []int{3, 5} {
		t.Run(fmt.Sprint(n, " replicas"), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				sim := newSimulation(rt.Fatalf, rapid.Uint64().Draw(rt, "seed"), n)
				for range rapid.IntRange(100, 800).Draw(rt, "steps") {
					sim.step()
				}
				sim.checkRecovery()
			})
		})
	}
}
