package memb

import (
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// TestProofIsNeverTooLate passes a proof over several hops with random delays, clock offsets and drifts within the bound: no
// instance may take the proof to be later than it is, or it would trust an outdated configuration for too long.
func TestProofIsNeverTooLate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawDuration := func(label string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(rt, label))
		}
		type clock struct {
			offset time.Duration
			rate   float64
		}
		clockTime := func(c clock, at time.Duration) time.Time {
			return time.Unix(0, 0).Add(c.offset + time.Duration(c.rate*float64(at)))
		}
		drawClock := func() clock {
			drift := float64(rapid.IntRange(-4, 4).Draw(rt, "drift")) / 1000
			return clock{offset: drawDuration("offset", time.Hour), rate: 1 + drift}
		}
		provenAt := drawDuration("proof time", time.Minute)
		availableAt := provenAt
		parent := drawClock()
		believed := clockTime(parent, provenAt)
		for range rapid.IntRange(1, 6).Draw(rt, "hops") {
			child := drawClock()
			sent := availableAt - min(availableAt, drawDuration("sent before", 2*time.Second)) + drawDuration("sent after", time.Second)
			arrived := sent + drawDuration("network delay", 500*time.Millisecond)
			answered := max(arrived, availableAt) + drawDuration("hold", MaxHold)
			response := PullResponse{Proven: true, ProofOffset: believed.Sub(clockTime(parent, arrived))}
			believed = ProofTime(clockTime(child, sent), response)
			parent, availableAt = child, answered
			if actual := clockTime(parent, provenAt); believed.After(actual) {
				rt.Fatalf("the proof is taken to be %s later than it is", believed.Sub(actual))
			}
		}
	})
}

func TestChildren(t *testing.T) {
	Convey("A child counts until its proof is certainly too old", t, func() {
		now := time.Unix(100, 0)
		c := NewChildren(3 * time.Second)
		c.RecordPull(now, PullRequest{Name: "a", LeastVersion: 5, InstanceCount: 2})
		least, count := c.LeastVersion(now, 7)
		So(least, ShouldEqual, 5)
		So(count, ShouldEqual, 3)
		least, _ = c.LeastVersion(now.Add(3*time.Second+MaxHold), 7)
		So(least, ShouldEqual, 5)
		least, count = c.LeastVersion(now.Add(3*time.Second+MaxHold+time.Millisecond), 7)
		So(least, ShouldEqual, 7)
		So(count, ShouldEqual, 1)
	})
	Convey("A change is in effect everywhere once all older proofs have expired", t, func() {
		accepted := time.Unix(100, 0)
		var p Proof
		p.Renew(accepted.Add(-time.Nanosecond))
		for d := time.Duration(0); d < 4*time.Second; d += time.Millisecond {
			if ProofsExpired(accepted.Add(d), accepted, 3*time.Second) {
				So(p.Valid(accepted.Add(d), 3*time.Second), ShouldBeFalse)
			}
		}
		So(ProofsExpired(accepted.Add(3100*time.Millisecond), accepted, 3*time.Second), ShouldBeTrue)
	})
	Convey("A proof expires earlier than its maximum age by the allowed clock drift", t, func() {
		var p Proof
		now := time.Unix(100, 0)
		So(p.Valid(now, 3*time.Second), ShouldBeFalse)
		p.Renew(now)
		p.Renew(now.Add(-time.Second))
		So(p.Valid(now.Add(2900*time.Millisecond), 3*time.Second), ShouldBeTrue)
		So(p.Valid(now.Add(2980*time.Millisecond), 3*time.Second), ShouldBeFalse)
	})
}
