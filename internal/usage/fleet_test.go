package usage

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
)

const (
	testWindow    = 5 * time.Second
	testLate      = 10 * time.Second
	testLease     = 3 * time.Second
	testTolerance = 0.05
)

var errCutOff = errors.New("cut off")

type (
	// fleet plays entries and replicas in one thread, in a time that the test advances.
	fleet struct {
		rand     *rand.Rand
		start    time.Time
		now      time.Time
		queue    eventQueue
		entries  []*fleetEntry
		replicas []*fleetReplica
		// leader is the index of the leading replica, or -1; believed is what entries take for it.
		leader   int
		believed int
		machine  *ctrl.Machine
		index    uint64
		// truth holds the requests begun by window and organisation, accepted what the platform accepted, by window.
		truth    map[int64]map[string]int
		accepted map[int64]map[string]int
		// late is the number of reports accepted too late, differing that of reports that differ from the accepted one.
		late, differing int
		token, seen     uint64
		// platformErr, if set, is returned instead of an answer; carriedOut tells whether the report is accepted nevertheless.
		platformErr error
		carriedOut  bool
		calls       int
		// lossRate is the part of messages that are lost.
		lossRate float64
	}

	// machineClock is the clocks of one machine: a steady clock with an origin of its own and a time of day that may be wrong.
	machineClock struct {
		fleet  *fleet
		origin time.Duration
		step   time.Duration
	}

	fleetEntry struct {
		clock   *machineClock
		name    string
		counter *Counter
		alive   bool
		// frozenUntil is the time until which nothing is sent or counted.
		frozenUntil time.Time
		// sendsAfter is the time until which it counts and reaches no replica.
		sendsAfter time.Time
	}

	fleetReplica struct {
		fleet     *fleet
		index     int
		clock     *machineClock
		collector *Collector
		runner    *Runner
		alive     bool
		ledSince  time.Time
		// cutUntil is the time until which it exchanges no copies.
		cutUntil time.Time
		// rand draws the loss of copies to this replica, as they are sent by several goroutines.
		rand  *rand.Rand
		grant duty.Grant
	}

	event struct {
		at time.Time
		do func()
	}

	eventQueue []event
)

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (c *machineClock) steady() time.Time { return c.fleet.now.Add(c.origin) }
func (c *machineClock) wall() time.Time   { return c.fleet.now.Add(c.step) }

func newFleet(seed uint64, entries, replicas int) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(seed, 1)), leader: -1, believed: -1, machine: ctrl.NewMachine(),
		truth: map[int64]map[string]int{}, accepted: map[int64]map[string]int{},
	}
	f.start = time.UnixMilli(1_764_980_000_000 + f.rand.Int64N(5000))
	f.now = f.start
	for i := range replicas {
		f.replicas = append(f.replicas, &fleetReplica{
			fleet: f, index: i, clock: f.newClock(), rand: rand.New(rand.NewPCG(seed, uint64(i)+2)),
		})
		f.startReplica(i)
	}
	for i := range entries {
		f.entries = append(f.entries, &fleetEntry{clock: f.newClock(), name: fmt.Sprint("e", i)})
		f.startEntry(i)
	}
	return f
}

func (f *fleet) newClock() *machineClock {
	return &machineClock{fleet: f, origin: time.Duration(f.rand.Int64N(int64(time.Hour))) - 30*time.Minute}
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.queue, event{f.now.Add(d), do})
}

func (f *fleet) every(interval time.Duration, while func() bool, do func()) {
	f.after(interval, func() {
		if while() {
			do()
			f.every(interval, while, do)
		}
	})
}

// run advances the time.
func (f *fleet) run(d time.Duration) {
	until := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(until) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = until
}

func (f *fleet) startEntry(i int) {
	e := f.entries[i]
	e.counter, e.alive = NewCounter(Retention(testWindow, testLate), e.clock.steady, e.clock.wall), true
	counter, boot := e.counter, fmt.Sprint(e.name, "-", f.rand.Uint64())
	f.every(100*time.Millisecond, func() bool { return e.alive && e.counter == counter }, func() { f.send(e, boot) })
	f.every(20*time.Millisecond, func() bool { return e.alive && e.counter == counter }, func() {
		select {
		case <-counter.Changed():
			f.send(e, boot)
		default:
		}
	})
}

// delay returns the duration of a message: some milliseconds, at times far longer.
func (f *fleet) delay() time.Duration {
	if f.rand.IntN(50) == 0 {
		return time.Duration(f.rand.Int64N(int64(300 * time.Millisecond)))
	}
	return time.Millisecond + time.Duration(f.rand.Int64N(int64(4*time.Millisecond)))
}

// send has an entry report its counts to the replica that it takes for the leader, at times twice.
func (f *fleet) send(e *fleetEntry, boot string) {
	if f.believed < 0 || f.now.Before(e.frozenUntil) || f.now.Before(e.sendsAfter) {
		return
	}
	to := f.believed
	if !e.counter.Due(addrOf(to)) {
		return
	}
	msg := e.counter.Message(addrOf(to))
	if msg == nil {
		return
	}
	counter := e.counter
	for range 1 + f.rand.IntN(2) {
		if f.rand.Float64() < f.lossRate {
			continue
		}
		f.after(f.delay(), func() {
			r := f.replicas[to]
			if !r.alive || msg.Check() != nil {
				return
			}
			ack := r.collector.Receive(r.clock.steady(), e.name, boot, msg)
			if f.rand.Float64() >= f.lossRate {
				f.after(f.delay(), func() { counter.Acknowledge(addrOf(to), msg, &ack) })
			}
		})
	}
}

func (f *fleet) startReplica(i int) {
	r := f.replicas[i]
	r.collector, r.alive = NewCollector(Retention(testWindow, testLate), r.clock.wall), true
	runner := New(Options{
		Addr: addrOf(99), Window: testWindow, Late: testLate, Collector: r.collector, Platform: r, Keeper: r, Log: r, Replicas: r,
		Now: r.clock.steady, Logger: zap.NewNop(),
	})
	r.runner = runner
	current := func() bool { return r.alive && r.runner == runner }
	f.every(tickInterval, current, func() { runner.fix(context.Background()); runner.report(context.Background()) })
	f.every(copyInterval, current, func() { runner.copy(context.Background()) })
	f.every(askInterval, current, func() { runner.ask(context.Background()) })
}

// elect makes a replica the leader, of which entries hear a moment later.
func (f *fleet) elect(i int) {
	f.leader, f.replicas[i].ledSince, f.replicas[i].grant = i, f.now, duty.Grant{}
	f.after(50*time.Millisecond, func() { f.believed = i })
}

// killLeader ends the leader; another replica follows after some hundred milliseconds, and the killed one comes back empty.
func (f *fleet) killLeader() {
	killed := f.leader
	f.replicas[killed].alive, f.leader = false, -1
	f.after(300*time.Millisecond+time.Duration(f.rand.Int64N(int64(500*time.Millisecond))), func() {
		f.elect((killed + 1 + f.rand.IntN(len(f.replicas)-1)) % len(f.replicas))
	})
	f.after(3*time.Second, func() { f.startReplica(killed) })
}

// begin has an endpoint begin a request of an organisation for a random entry.
func (f *fleet) begin(organisation string) {
	e := f.entries[f.rand.IntN(len(f.entries))]
	if !e.alive || f.now.Before(e.frozenUntil) {
		return
	}
	window := f.now.UnixNano() / int64(testWindow)
	if f.truth[window] == nil {
		f.truth[window] = map[string]int{}
	}
	f.truth[window][organisation]++
	e.counter.Count(organisation)
}

// traffic has endpoints begin the requests of an organisation at a rate a second, at random times, for as long as a time.
func (f *fleet) traffic(organisation string, rate float64, until time.Time) {
	f.after(time.Duration(f.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.Before(until) {
			f.begin(organisation)
			f.traffic(organisation, rate, until)
		}
	})
}

// deviations returns the number of compared counts and of those that differ by more than the tolerance, and the largest absolute
// difference of the latter. Windows without an accepted report count as zero.
func (f *fleet) deviations(from, to time.Time) (compared, beyond, largest int) {
	for window, truth := range f.truth {
		begin := time.Unix(0, window*int64(testWindow))
		if begin.Before(from) || begin.Add(testWindow).After(to) {
			continue
		}
		for organisation, want := range truth {
			compared++
			diff := int(math.Abs(float64(f.accepted[window][organisation] - want)))
			if float64(diff) > testTolerance*float64(want) {
				beyond++
				largest = max(largest, diff)
			}
		}
	}
	return compared, beyond, largest
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

// IsLeader implements Log, as do the next two functions.
func (r *fleetReplica) IsLeader() bool { return r.fleet.leader == r.index }

func (r *fleetReplica) UnreportedUsage() (int64, map[int64]map[string]int) {
	return r.fleet.machine.UnreportedUsage()
}

func (r *fleetReplica) FixUsage(_ context.Context, fix ctrl.FixUsage) error {
	if !r.IsLeader() {
		return errCutOff
	}
	cmd := ctrl.Command{FixUsage: &fix}
	if err := cmd.Check(); err != nil {
		return err
	}
	data, err := cbor.Marshal(cmd)
	r.fleet.index++
	r.fleet.machine.Apply(r.fleet.index, data)
	return err
}

// Grant implements Keeper, as does Refuse.
func (r *fleetReplica) Grant(context.Context, time.Time, duty.Name, string) (duty.Grant, error) {
	f := r.fleet
	if !r.IsLeader() || f.now.Sub(r.ledSince) <= testLease {
		return duty.Grant{}, duty.ErrNotHolder
	}
	if r.grant.Token == 0 {
		f.token++
		r.grant = duty.Grant{Duty: duty.UsageReporting, Subject: subject, Token: f.token}
	}
	return r.grant, nil
}

func (r *fleetReplica) Refuse(duty.Grant) { r.grant = duty.Grant{} }

// ReportUsage implements Platform: it accepts reports with the highest token.
func (r *fleetReplica) ReportUsage(_ context.Context, _ netip.AddrPort, grant duty.Grant, report Report) error {
	f := r.fleet
	f.calls++
	if f.platformErr != nil && !f.carriedOut {
		return f.platformErr
	}
	if grant.Token < f.seen {
		return duty.ErrStale
	}
	f.seen = grant.Token
	if earlier, ok := f.accepted[report.Window]; ok {
		if fmt.Sprint(earlier) != fmt.Sprint(report.Counts) {
			f.differing++
		}
	} else if f.accepted[report.Window] = report.Counts; f.now.After(time.Unix(0, (report.Window+1)*int64(testWindow)).Add(testLate)) {
		f.late++
	}
	return f.platformErr
}

// Others implements Replicas, as does SendCopy.
func (r *fleetReplica) Others() (others []netip.AddrPort) {
	for i := range r.fleet.replicas {
		if i != r.index {
			others = append(others, addrOf(i))
		}
	}
	return others
}

func (r *fleetReplica) SendCopy(_ context.Context, to netip.AddrPort, msg Copy) (Copy, error) {
	f := r.fleet
	for i, other := range f.replicas {
		if addrOf(i) == to && other.alive && !f.now.Before(other.cutUntil) && other.rand.Float64() >= f.lossRate && msg.Check() == nil {
			return other.collector.Serve(other.clock.steady(), &msg), nil
		}
	}
	return Copy{}, errCutOff
}

// warmUp elects a leader and has 12 organisations send requests for a time: two large ones and ten of 2 requests a second.
func (f *fleet) warmUp(traffic time.Duration) {
	f.elect(0)
	until := f.now.Add(traffic)
	f.traffic("large", 120, until)
	f.traffic("medium", 30, until)
	for i := range 10 {
		f.traffic(fmt.Sprint("small", i), 2, until)
	}
	f.run(6 * time.Second)
}

func seeds(t *testing.T) uint64 {
	if testing.Short() {
		return 4
	}
	t.Helper()
	return 12
}

// upTo returns a random duration below a limit.
func (f *fleet) upTo(limit time.Duration) time.Duration {
	return time.Duration(f.rand.Int64N(int64(limit)))
}
