package place

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	brittleSlots   = 8
	brittleRefused = 3
	brittleStep    = 5 * time.Millisecond
	brittleWork    = 300 * time.Millisecond
	// brittleWay is the time from an instance to an endpoint, brittleReport the time until the leader learns what an entry has learned.
	brittleWay    = 5 * time.Millisecond
	brittleReport = 100 * time.Millisecond
)

type (
	// brittleFleet simulates entry instances and a leader in front of endpoints that turn requests away beyond their slots.
	brittleFleet struct {
		random   *rand.Rand
		now      time.Time
		eps      map[string]roster.Endpoint
		index    *table.Index
		leader   *Balancer
		entries  []*Balancer
		pending  []pendingStep
		running  map[string]int
		refusals map[string][]time.Time
		brittle  bool
		count    int
		served   int
		unplaced int
		// told holds the entry instances that have sent something to the present leader.
		told map[int]bool
	}
)

func newBrittleFleet(seed uint64, entries, endpoints int) *brittleFleet {
	f := &brittleFleet{
		random: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(1000, 0), eps: map[string]roster.Endpoint{}, running: map[string]int{},
		refusals: map[string][]time.Time{}, index: table.New(&table.Table{Services: []table.Service{{Name: "s"}}}),
	}
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		f.eps[id] = roster.Endpoint{
			ID: id, Service: "s", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), Slots: brittleSlots,
			State: roster.Ready,
		}
	}
	for i := range entries {
		entry := New()
		entry.Sync(f.eps, f.index)
		entry.SetInstances(fmt.Sprint("entry-", i), entries)
		f.entries = append(f.entries, entry)
	}
	f.electLeader()
	return f
}

// electLeader replaces the leader, which learns of the attempts and the brittle endpoints that the entry instances know.
func (f *brittleFleet) electLeader() {
	leader := New()
	leader.Sync(f.eps, f.index)
	f.leader, f.told = leader, map[int]bool{}
	for i := range f.entries {
		f.after(time.Duration(f.random.Int64N(int64(brittleReport))), func() {
			if f.leader == leader {
				f.tellLeader(i)
			}
		})
	}
}

// tellLeader makes an entry instance tell a new leader what it knows, as it does with its first message.
func (f *brittleFleet) tellLeader(i int) {
	if f.told[i] {
		return
	}
	f.told[i] = true
	entry := f.entries[i]
	for id, ep := range entry.byAttempt {
		req := ep.attempts[id].req
		f.leader.Apply(f.now, Event{AttemptID: id, Start: &req, EndpointID: ep.info.ID})
	}
	for _, told := range entry.Brittles(f.now, "") {
		f.leader.Apply(f.now, Event{Brittle: &told})
	}
}

func (f *brittleFleet) after(delay time.Duration, do func()) {
	f.pending = append(f.pending, pendingStep{f.now.Add(delay), do})
}

// run plays requests at a rate per second for a time.
func (f *brittleFleet) run(rate float64, duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(brittleStep) {
		steps := f.pending
		f.pending = nil
		for _, step := range steps {
			if step.at.After(f.now) {
				f.pending = append(f.pending, step)
				continue
			}
			step.do()
		}
		if f.leader != nil && f.now.UnixMilli()%time.Second.Milliseconds() == 0 {
			for i, entry := range f.entries {
				if f.told[i] {
					entry.SetOtherLoad(f.now, f.leader.LoadExcept(f.now, "s", fmt.Sprint("entry-", i)))
				}
			}
		}
		for due := rate * brittleStep.Seconds(); due > 0; due-- {
			if f.random.Float64() < due {
				f.request()
			}
		}
	}
}

// request places a request from a random entry instance, by the leader if there is one.
func (f *brittleFleet) request() {
	f.count++
	i := f.random.IntN(len(f.entries))
	entry, leader := f.entries[i], f.leader
	req := Request{
		AttemptID: fmt.Sprint(f.count), Service: "s", Entry: fmt.Sprint("entry-", i), TimeLeft: time.Minute, LatencyTarget: time.Second,
	}
	placer := entry
	if leader != nil {
		f.tellLeader(i)
		placer = leader
	}
	choice, ok := placer.Place(f.now, req)
	if !ok {
		f.unplaced++
		return
	}
	if leader != nil {
		entry.Apply(f.now, Event{AttemptID: req.AttemptID, Start: &req, EndpointID: choice.ID})
	} else {
		f.report(Event{AttemptID: req.AttemptID, Start: &req, EndpointID: choice.ID})
	}
	sentAt := f.now
	f.after(brittleWay, func() {
		told := Brittle{EndpointID: choice.ID, Refusals: brittleRefused, Lifted: !f.brittle}
		outcome, work := Completed, brittleWork/2+time.Duration(f.random.Int64N(int64(brittleWork)))
		if f.running[choice.ID] >= brittleSlots {
			f.refusals[choice.ID] = append(f.refusals[choice.ID], f.now)
			outcome, work = Declined, 0
		} else {
			f.running[choice.ID]++
			f.served++
		}
		f.after(work, func() {
			if outcome == Completed {
				f.running[choice.ID]--
			}
			f.after(brittleWay, func() {
				told.SentAgo = f.now.Sub(sentAt)
				if news := entry.RecordBrittle(f.now, told); news || !told.Lifted {
					f.report(Event{Brittle: &told})
				}
				end := Event{AttemptID: req.AttemptID, Outcome: outcome}
				entry.Apply(f.now, end)
				f.report(end)
			})
		})
	})
}

// report delivers an event to the leader.
func (f *brittleFleet) report(e Event) {
	f.after(brittleReport, func() {
		if f.leader != nil {
			f.leader.Apply(f.now, e)
		}
	})
}

// mostRefusals returns the largest number of refusals of one endpoint in a second, from a time on.
func (f *brittleFleet) mostRefusals(from time.Time) (most int) {
	for _, refusals := range f.refusals {
		for i, first := range refusals {
			n := 0
			for _, at := range refusals[i:] {
				if at.Sub(first) <= time.Second {
					n++
				}
			}
			if !first.Before(from) {
				most = max(most, n)
			}
		}
	}
	return most
}

// TestInstancesTogetherOverloadBrittleEndpoint guards against brittle endpoints that turn away more than they bear, as each instance
// counts only its own requests, and against such endpoints that are left idle.
func TestInstancesTogetherOverloadBrittleEndpoint(t *testing.T) {
	const (
		endpoints = 6
		// capacity is what the endpoints serve in a second.
		capacity = endpoints * brittleSlots * float64(time.Second) / float64(brittleWork)
		seeds    = 5
		contact  = 3 * time.Second
	)
	plays := map[string]func(f *brittleFleet, rate float64){
		"placed by the leader": func(f *brittleFleet, rate float64) { f.run(rate, 20*time.Second) },
		"placed by the entries alone": func(f *brittleFleet, rate float64) {
			f.leader = nil
			f.run(rate, 20*time.Second)
		},
		"in the changes between the leader and the entries": func(f *brittleFleet, rate float64) {
			for range 4 {
				f.run(rate, 3*time.Second)
				f.leader = nil
				f.run(rate, 2*time.Second)
				f.electLeader()
			}
		},
	}
	for name, play := range plays {
		for _, entries := range []int{9, 82} {
			for _, load := range []float64{0.8, 1.5, 4} {
				Convey(fmt.Sprintf("%s, %d entries, %v times the load that the endpoints bear", name, entries, load), t, func() {
					for seed := range uint64(seeds) {
						f := newBrittleFleet(seed, entries, endpoints)
						f.run(load*capacity, 2*time.Second)
						f.brittle = true
						begun := f.now
						f.run(load*capacity, contact)
						served := f.served
						play(f, load*capacity)
						So(f.mostRefusals(begun.Add(contact)), ShouldBeLessThanOrEqualTo, brittleRefused)
						if name == "placed by the leader" {
							perSecond := float64(f.served-served) / f.now.Sub(begun.Add(contact)).Seconds()
							So(perSecond, ShouldBeGreaterThan, capacity*min(1, load)/3)
						}
					}
				})
			}
		}
	}
	Convey("the care ends without a burst once the endpoints no longer say that they are brittle", t, func() {
		f := newBrittleFleet(1, 9, endpoints)
		f.brittle = true
		f.run(1.5*capacity, 8*time.Second)
		f.brittle = false
		f.run(1.5*capacity, 8*time.Second)
		So(f.leader.BrittleEndpoints(), ShouldEqual, 0)
		unplaced := f.unplaced
		f.run(1.5*capacity, time.Second)
		So(f.unplaced, ShouldEqual, unplaced)
	})
}

// TestBrittleness guards against brittle endpoints that are treated by what an earlier start said, or like before after a fall.
func TestBrittleness(t *testing.T) {
	now := time.Unix(1000, 0)
	newBrittle := func() (*brittleFleet, *Balancer) {
		f := newBrittleFleet(1, 1, 2)
		f.leader.RecordBrittle(now.Add(-settleTime), Brittle{EndpointID: "e0", Refusals: 4})
		return f, f.leader
	}
	fill := func(b *Balancer, at time.Time, id string) (n int) {
		for ; n < 3*brittleSlots; n++ {
			req := Request{AttemptID: fmt.Sprint(id, n, at), Service: "s", TimeLeft: time.Minute, ExcludedIDs: []string{"e1"}}
			if _, ok := b.Place(at, req); !ok {
				return n
			}
		}
		return n
	}
	Convey("an endpoint that has just become known to be brittle gets but a few", t, func() {
		f := newBrittleFleet(1, 1, 2)
		f.leader.RecordBrittle(now, Brittle{EndpointID: "e0", Refusals: 4})
		So(fill(f.leader, now, "a"), ShouldEqual, 1)
	})
	Convey("a brittle endpoint gets fewer requests than it has slots, and the wait is told", t, func() {
		_, b := newBrittle()
		So(fill(b, now, "a"), ShouldEqual, 6)
		So(b.LimitedFor(now, &Request{AttemptID: "x", Service: "s", ExcludedIDs: []string{"e1"}}), ShouldBeGreaterThan, 0)
	})
	Convey("after half of the refusals that it bears, it gets nothing for the rest of a second, and then less than before", t, func() {
		_, b := newBrittle()
		So(fill(b, now, "a"), ShouldEqual, 6)
		later := now.Add(10 * time.Millisecond)
		b.Apply(later, Event{AttemptID: fmt.Sprint("a", 0, now), Outcome: Declined})
		b.Apply(later, Event{AttemptID: fmt.Sprint("a", 1, now), Outcome: Declined})
		So(fill(b, now.Add(900*time.Millisecond), "b"), ShouldEqual, 0)
		for i := 2; i < 6; i++ {
			b.Apply(now, Event{AttemptID: fmt.Sprint("a", i, now), Outcome: Completed})
		}
		So(fill(b, now.Add(1100*time.Millisecond), "c"), ShouldEqual, 5)
	})
	Convey("after a fall, all brittle endpoints of the service get less, also those that start later", t, func() {
		f, b := newBrittle()
		So(fill(b, now, "a"), ShouldEqual, 6)
		b.Apply(now, Event{AttemptID: fmt.Sprint("a", 0, now), Outcome: Declined})
		b.Apply(now, Event{AttemptID: fmt.Sprint("a", 1, now), Outcome: ConnectionLost})
		again := f.eps["e0"]
		again.ID, again.StartedAtMS = "e9", 7
		b.Sync(map[string]roster.Endpoint{"e1": f.eps["e1"], "e9": again}, f.index)
		So(b.BrittleEndpoints(), ShouldEqual, 0)
		b.RecordBrittle(now, Brittle{EndpointID: "e1", Refusals: 4})
		b.Sync(map[string]roster.Endpoint{"e1": f.eps["e1"]}, f.index)
		b.Sync(map[string]roster.Endpoint{"e1": f.eps["e1"], "e9": again}, f.index)
		So(b.BrittleEndpoints(), ShouldEqual, 2)
		So(fill(b, now.Add(2*time.Second), "b"), ShouldEqual, 4)
	})
	Convey("a fall that entries report one after the other counts once, another one later counts too", t, func() {
		_, b := newBrittle()
		report := func(at time.Time, outcome Outcome, n int) {
			b.Apply(at, Event{AttemptID: fmt.Sprint("a", n, now), Outcome: outcome})
		}
		So(fill(b, now, "a"), ShouldEqual, 6)
		for entry := range 3 {
			report(now.Add(100*time.Millisecond), Declined, 2*entry)
			report(now.Add(100*time.Millisecond), ConnectionLost, 2*entry+1)
		}
		So(b.fallFactor(now.Add(100*time.Millisecond), "s"), ShouldEqual, fallFactor)
		now := now.Add(3 * time.Second)
		before := b.fallFactor(now, "s")
		for n, outcome := range []Outcome{Declined, ConnectionLost} {
			id := fmt.Sprint("later", n)
			b.Apply(now, Event{AttemptID: id, Start: &Request{AttemptID: id, Service: "s", TimeLeft: time.Minute}, EndpointID: "e0"})
			b.Apply(now.Add(time.Millisecond), Event{AttemptID: id, Outcome: outcome})
		}
		So(b.fallFactor(now.Add(time.Millisecond), "s"), ShouldBeLessThan, before*0.8)
	})
	Convey("a fall under requests that were sent before the endpoint was known to be brittle does not count", t, func() {
		f := newBrittleFleet(1, 1, 2)
		b := f.leader
		So(fill(b, now.Add(-time.Second), "a"), ShouldEqual, 3*brittleSlots)
		b.RecordBrittle(now, Brittle{EndpointID: "e0", Refusals: 4})
		b.Apply(now, Event{AttemptID: fmt.Sprint("a", 0, now.Add(-time.Second)), Outcome: Declined})
		b.Apply(now, Event{AttemptID: fmt.Sprint("a", 1, now.Add(-time.Second)), Outcome: ConnectionLost})
		So(b.fallFactor(now, "s"), ShouldEqual, 1)
	})
	Convey("what an earlier start said, and what makes no sense, is not taken", t, func() {
		_, b := newBrittle()
		So(b.RecordBrittle(now, Brittle{EndpointID: "e1", StartedAtMS: 3, Refusals: 4}), ShouldBeFalse)
		So(b.RecordBrittle(now, Brittle{EndpointID: "e1", Refusals: -1}), ShouldBeFalse)
		So(b.RecordBrittle(now, Brittle{Refusals: 1}), ShouldBeFalse)
	})
}
