package memb

import (
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// TestMain fixes the seed of the random cases.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// TestProofIsNeverTooLate relays a proof over hops with any delay, clock offset and drift within the bound:
// the moment that the last instance believes in is never later than the moment of the proof.
func TestProofIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		span := func(label string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(rt, label))
		}
		type clock struct {
			offset time.Duration
			rate   float64
		}
		read := func(c clock, at time.Duration) time.Time {
			return time.Unix(0, 0).Add(c.offset + time.Duration(c.rate*float64(at)))
		}
		draw := func() clock {
			drift := float64(rapid.IntRange(-4, 4).Draw(rt, "drift")) / 1000
			return clock{offset: span("offset", time.Hour), rate: 1 + drift}
		}
		truth := span("truth", time.Minute)
		at := truth
		here := draw()
		believed := read(here, truth)
		for range rapid.IntRange(1, 6).Draw(rt, "hops") {
			next := draw()
			sent := at - min(at, span("early", 2*time.Second)) + span("later", time.Second)
			arrived := sent + span("trip", 500*time.Millisecond)
			answered := max(arrived, at) + span("hold", Hold)
			n := News{Proven: true, Ahead: believed.Sub(read(here, arrived))}
			believed = FromNews(read(next, sent), n)
			here, at = next, answered
			if real := read(here, truth); believed.After(real) {
				rt.Fatalf("the proof is believed to be %s younger than it is", believed.Sub(real))
			}
		}
	})
}

func TestChildren(t *testing.T) {
	Convey("A child counts until it has lapsed for sure", t, func() {
		now := time.Unix(100, 0)
		c := NewChildren(3 * time.Second)
		c.Seen(now, Pull{Name: "a", Least: 5, Count: 2})
		least, count := c.Least(now, 7)
		So(least, ShouldEqual, 5)
		So(count, ShouldEqual, 3)
		least, _ = c.Least(now.Add(3*time.Second+Hold), 7)
		So(least, ShouldEqual, 5)
		least, count = c.Least(now.Add(3*time.Second+Hold+time.Millisecond), 7)
		So(least, ShouldEqual, 7)
		So(count, ShouldEqual, 1)
	})
	Convey("What was accepted is in force everywhere once all older proofs have lapsed", t, func() {
		accepted := time.Unix(100, 0)
		var p Proof
		p.Renew(accepted.Add(-time.Nanosecond))
		for d := time.Duration(0); d < 4*time.Second; d += time.Millisecond {
			if Lapsed(accepted.Add(d), accepted, 3*time.Second) {
				So(p.Fresh(accepted.Add(d), 3*time.Second), ShouldBeFalse)
			}
		}
		So(Lapsed(accepted.Add(3100*time.Millisecond), accepted, 3*time.Second), ShouldBeTrue)
	})
	Convey("A proof lapses before its bound by the drift that clocks may have", t, func() {
		var p Proof
		now := time.Unix(100, 0)
		So(p.Fresh(now, 3*time.Second), ShouldBeFalse)
		p.Renew(now)
		p.Renew(now.Add(-time.Second))
		So(p.Fresh(now.Add(2900*time.Millisecond), 3*time.Second), ShouldBeTrue)
		So(p.Fresh(now.Add(2980*time.Millisecond), 3*time.Second), ShouldBeFalse)
	})
}
