package duty

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

const testLease = 3 * time.Second

var errCut = errors.New("no quorum")

type (
	// world is a log with its members, the clock and the platform.
	world struct {
		now     time.Time
		index   uint64
		term    uint64
		members []*member
		// highest holds the highest token that the platform has seen, by subject.
		highest map[string]uint64
		sent    []sentCall
	}

	// member is an instance. It believes to lead a term until it learns of another one.
	member struct {
		world    *world
		name     string
		believes uint64
		cut      bool
		keeper   *Keeper
		// onConfirm and onTake are called while a confirmation or a commit is under way.
		onConfirm, onTake func()
	}

	// sentCall is a call that an instance sent.
	sentCall struct {
		at       time.Time
		keeper   *Keeper
		grant    Grant
		accepted bool
	}

	noCounter struct{}
)

func (noCounter) CountDutyCall(string, string) {}

// newWorld returns members of which the first leads. All may bear the same name.
func newWorld(names ...string) *world {
	w := &world{now: time.Unix(1000, 0), highest: map[string]uint64{}}
	for _, name := range names {
		m := &member{world: w, name: name}
		m.start()
		w.members = append(w.members, m)
	}
	w.elect(0)
	return w
}

// start gives the member a new keeper, as after a start of its process.
func (m *member) start() {
	m.believes = 0
	m.keeper = New(Options{
		Holder: m.name, Lease: testLease, Rate: 1e6, Leadership: m, Taker: m, Counter: noCounter{},
		Now: func() time.Time { return m.world.now }, Log: zap.NewNop(),
	})
}

// elect makes a member the leader; the others go on with what they believe.
func (w *world) elect(i int) {
	w.term++
	w.index++
	w.members[i].believes = w.term
	w.members[i].keeper.Holds(w.now)
}

// pass lets time pass.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
}

func (m *member) Term() uint64 { return m.believes }

func (m *member) reachesQuorum() bool {
	return !m.cut && m.believes == m.world.term
}

func (m *member) Confirm(context.Context) (time.Time, error) {
	at := m.world.now
	if !m.reachesQuorum() {
		return time.Time{}, errCut
	}
	if m.onConfirm != nil {
		m.onConfirm()
	}
	return at, nil
}

func (m *member) TakeDuty(context.Context, Name, string) (uint64, string, error) {
	if !m.reachesQuorum() {
		return 0, "", errCut
	}
	m.world.index++
	index := m.world.index
	if m.onTake != nil {
		m.onTake()
	}
	return index, "", nil
}

func (m *member) grant(subject string) (Grant, error) {
	return m.keeper.Grant(context.Background(), m.world.now, UsageReporting, subject)
}

// deliver lets the platform carry a call out, with a check of its token.
func (w *world) deliver(g Grant) error {
	if g.Token < w.highest[g.Subject] {
		return ErrStale
	}
	w.highest[g.Subject] = g.Token
	return nil
}

// call makes a call with a grant that is carried out at once.
func (m *member) call(g Grant) error {
	return m.keeper.Do(context.Background(), g, func(context.Context) error {
		err := m.world.deliver(g)
		m.world.sent = append(m.world.sent, sentCall{m.world.now, m.keeper, g, err == nil})
		return err
	})
}

// TestHolder guards against instances that act without being the only holder of a duty: before the lease has passed, after they were
// replaced, or with a token that was refused or used by another.
func TestHolder(t *testing.T) {
	Convey("With two instances of which the first leads", t, func() {
		w := newWorld("a", "b")
		a, b := w.members[0], w.members[1]

		Convey("it holds nothing until it has led for more than the lease, whatever time its caller passes", func() {
			w.pass(testLease)
			_, err := a.grant("")
			So(err, ShouldWrap, ErrNotHolder)
			_, err = a.keeper.Grant(context.Background(), w.now.Add(time.Hour), UsageReporting, "")
			So(err, ShouldWrap, ErrNotHolder)
			So(w.index, ShouldEqual, 1)
			w.pass(time.Millisecond)
			_, err = a.grant("")
			So(err, ShouldBeNil)
		})

		Convey("a time from before the election that a caller passes does not shorten the lease", func() {
			before := w.now
			w.pass(time.Minute)
			b.believes = 0
			w.term++
			b.believes = w.term
			So(b.keeper.Holds(before), ShouldBeFalse)
			So(b.keeper.Holds(w.now), ShouldBeFalse)
		})

		Convey("the second instance never holds", func() {
			w.pass(time.Minute)
			_, err := b.grant("")
			So(err, ShouldWrap, ErrNotHolder)
		})
	})

	Convey("With a leader that has a grant, and another instance", t, func() {
		w := newWorld("a", "b")
		a, b := w.members[0], w.members[1]
		w.pass(testLease + time.Millisecond)
		g, err := a.grant("")
		So(err, ShouldBeNil)
		So(g, ShouldResemble, Grant{Duty: UsageReporting, Holder: "a", Token: w.index})

		Convey("a grant is kept, without further commits, and is one of its subject only", func() {
			again, err := a.grant("")
			So(err, ShouldBeNil)
			So(again, ShouldResemble, g)
			other, err := a.grant("x")
			So(err, ShouldBeNil)
			So(other.Token, ShouldBeGreaterThan, g.Token)
		})

		Convey("a holder that was frozen while another took over does not act when it goes on", func() {
			w.elect(1)
			w.pass(testLease + time.Millisecond)
			gb, err := b.grant("")
			So(err, ShouldBeNil)
			So(b.call(gb), ShouldBeNil)
			sent := len(w.sent)
			So(a.call(g), ShouldWrap, ErrNotHolder)
			_, err = a.grant("")
			So(err, ShouldWrap, ErrNotHolder)
			So(w.sent, ShouldHaveLength, sent)
		})

		Convey("one frozen between the last check and its call is refused by its token", func() {
			err := a.keeper.Do(context.Background(), g, func(context.Context) error {
				w.elect(1)
				w.pass(testLease + time.Millisecond)
				gb, err := b.grant("")
				So(err, ShouldBeNil)
				So(b.call(gb), ShouldBeNil)
				return w.deliver(g)
			})
			So(err, ShouldWrap, ErrStale)
		})

		Convey("one that gets the confirmation of its leadership late does not act on it", func() {
			w.pass(testLease)
			a.onConfirm = func() { w.pass(testLease / 2) }
			So(a.call(g), ShouldWrap, ErrNotHolder)
			So(w.sent, ShouldBeEmpty)
		})

		Convey("one cut off from the log stops, although it reaches the platform and still believes to lead", func() {
			a.cut = true
			w.pass(testLease / confirmDivisor)
			So(a.call(g), ShouldWrap, ErrNotHolder)
			_, err := a.keeper.Renew(context.Background(), w.now, UsageReporting, "")
			So(err, ShouldWrap, ErrNotHolder)
			So(w.sent, ShouldBeEmpty)
		})

		Convey("one cut off from the platform keeps the duty and fences its call off with a larger token", func() {
			late := g
			So(a.keeper.Do(context.Background(), g, func(context.Context) error { return ErrUnanswered }), ShouldWrap, ErrUnanswered)
			renewed, err := a.keeper.Renew(context.Background(), w.now, UsageReporting, "")
			So(err, ShouldBeNil)
			So(renewed.Token, ShouldBeGreaterThan, late.Token)
			So(a.call(late), ShouldWrap, ErrStale)
			So(w.sent, ShouldBeEmpty)
			So(a.call(renewed), ShouldBeNil)
			So(w.deliver(late), ShouldWrap, ErrStale)
		})

		Convey("a leader that changes during a call and comes back takes a new token", func() {
			err := a.keeper.Do(context.Background(), g, func(context.Context) error {
				w.elect(1)
				return nil
			})
			So(err, ShouldBeNil)
			w.elect(0)
			_, err = a.grant("")
			So(err, ShouldWrap, ErrNotHolder)
			w.pass(testLease + time.Millisecond)
			again, err := a.grant("")
			So(err, ShouldBeNil)
			So(again.Token, ShouldBeGreaterThan, g.Token)
		})

		Convey("a commit that ends after the leader has changed gives no grant", func() {
			a.onTake = func() {
				w.elect(1)
				a.believes = 0
			}
			_, err := a.grant("x")
			So(err, ShouldWrap, ErrNotHolder)
		})

		Convey("a refused token is not used again, nor is a newer one dropped for it", func() {
			a.keeper.Refuse(g)
			So(a.call(g), ShouldWrap, ErrStale)
			newer, err := a.grant("")
			So(err, ShouldBeNil)
			So(newer.Token, ShouldBeGreaterThan, g.Token)
			a.keeper.Refuse(g)
			same, err := a.grant("")
			So(err, ShouldBeNil)
			So(same, ShouldResemble, newer)
		})

		Convey("after a loss of power between commit and call, an instance of the same name takes another token", func() {
			a.start()
			w.elect(0)
			w.pass(testLease + time.Millisecond)
			again, err := a.grant("")
			So(err, ShouldBeNil)
			So(again.Token, ShouldBeGreaterThan, g.Token)
		})
	})
}

// TestHoldersAtRandom draws elections, freezes, cuts, restarts and slow quorums. It guards against two processes that send the same token
// for a subject, against calls accepted in another order than that of their tokens, and against holders in the order A, B, A within the
// lease. All instances bear the same name.
func TestHoldersAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld("n", "n", "n")
		span := func(label string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, label))
		}
		during := func() {
			w.pass(span("during", testLease/3))
			if rapid.IntRange(0, 29).Draw(t, "elected during") == 0 {
				w.elect(rapid.IntRange(0, 2).Draw(t, "who"))
			}
		}
		for _, m := range w.members {
			m.onConfirm, m.onTake = during, during
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			m := w.members[rapid.IntRange(0, 2).Draw(t, "member")]
			subject := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "subject"))
			switch rapid.IntRange(0, 49).Draw(t, "step") {
			case 0:
				w.elect(rapid.IntRange(0, 2).Draw(t, "who"))
			case 1:
				m.cut = !m.cut
			case 2:
				m.start()
			case 3:
				if m.believes != w.term {
					m.believes = 0
				}
			case 4:
				w.pass(span("long", 2*testLease))
			case 5, 6:
				if g, err := m.keeper.Renew(context.Background(), w.now, UsageReporting, subject); err == nil {
					_ = m.call(g)
				}
			default:
				w.pass(span("short", testLease/2))
				if g, err := m.grant(subject); err == nil && m.call(g) != nil {
					m.keeper.Refuse(g)
				}
			}
		}
		w.check(t)
	})
}

// check checks all calls that were sent.
func (w *world) check(t *rapid.T) {
	owners := map[Grant]*Keeper{}
	accepted := map[string]uint64{}
	for i, c := range w.sent {
		if owner, ok := owners[c.grant]; ok && owner != c.keeper {
			t.Fatalf("two processes sent %+v", c.grant)
		}
		owners[c.grant] = c.keeper
		if c.accepted && c.grant.Token < accepted[c.grant.Subject] {
			t.Fatalf("%+v was accepted after token %d", c.grant, accepted[c.grant.Subject])
		}
		accepted[c.grant.Subject] = max(accepted[c.grant.Subject], c.grant.Token)
		between := false
		for _, later := range w.sent[i+1:] {
			between = between || later.keeper != c.keeper
			if between && later.keeper == c.keeper && later.at.Sub(c.at) <= testLease {
				t.Fatalf("holders came back within %s", later.at.Sub(c.at))
			}
		}
	}
}

// TestRate guards against more calls within any second than the platform accepts, and against calls that wait for long.
func TestRate(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 1.5, 2, 3.7, 15, 50, 300} {
		Convey(fmt.Sprint("at most ", rate, " calls begin within a second"), t, func() {
			l := newLimiter(rate)
			start := time.Unix(1000, 0)
			var times []time.Time
			var longest time.Duration
			for ms := range 20_000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				if delay, ok := l.reserve(now); ok {
					longest = max(longest, delay)
					times = append(times, now.Add(delay))
				}
			}
			So(longest, ShouldBeLessThanOrEqualTo, maxCallDelay)
			most := 0
			for i, first := range times {
				n := 0
				for _, at := range times[i:] {
					if at.Sub(first) < time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			So(most, ShouldBeLessThanOrEqualTo, max(1, int(rate)))
			So(float64(len(times)), ShouldBeGreaterThan, 20*0.85*max(0.5, math.Floor(rate)))
		})
	}
	Convey("after an answer that there were too many calls, none begins for a while", t, func() {
		l := newLimiter(50)
		now := time.Unix(1000, 0)
		l.pause(now)
		delay, ok := l.reserve(now)
		So(ok, ShouldBeTrue)
		So(delay, ShouldEqual, busyPause)
	})
}
