package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// cutTracker returns a tracker of an instance that is known to be cut off at a time.
func cutTracker(ms int) *Tracker {
	t := New()
	t.Answered(at(ms-100), true)
	t.Failed(at(ms-20), "e1")
	t.Failed(at(ms-10), "e2")
	t.TriedByOther(at(ms), "e2", true)
	return t
}

// TestOwnCutIsTakenForLostEndpoints guards against an instance that takes its own cut for endpoints that are down, or the reverse.
func TestOwnCutIsTakenForLostEndpoints(t *testing.T) {
	Convey("one endpoint that fails while others are heard is no doubt", t, func() {
		tr := New()
		tr.Answered(at(0), true)
		tr.Failed(at(100), "e1")
		So(tr.State(at(100)), ShouldEqual, Reached)
		tr.Answered(at(150), false)
		tr.Failed(at(600), "e1")
		So(tr.State(at(600)), ShouldEqual, Reached)
	})
	Convey("one that fails while all are silent is, and so are two", t, func() {
		tr := New()
		tr.Answered(at(0), true)
		tr.Failed(at(600), "e1")
		So(tr.State(at(600)), ShouldEqual, Doubted)
		tr = New()
		tr.Answered(at(0), true)
		tr.Failed(at(10), "e1")
		tr.Failed(at(20), "e2")
		So(tr.State(at(20)), ShouldEqual, Doubted)
	})
	Convey("doubt ends with an answer over a new connection, when others do not reach the endpoints either, or by itself", t, func() {
		doubted := func() *Tracker {
			tr := New()
			tr.Answered(at(0), true)
			tr.Failed(at(10), "e1")
			tr.Failed(at(20), "e2")
			return tr
		}
		tr := doubted()
		tr.Answered(at(30), false)
		So(tr.State(at(30)), ShouldEqual, Doubted)
		tr.Answered(at(40), true)
		So(tr.State(at(40)), ShouldEqual, Reached)
		tr = doubted()
		tr.TriedByOther(at(30), "e1", false)
		So(tr.State(at(30)), ShouldEqual, Reached)
		tr = doubted()
		tr.TriedByOther(at(30), "e3", true)
		So(tr.State(at(30)), ShouldEqual, Doubted)
		So(tr.State(at(2021)), ShouldEqual, Reached)
	})
	Convey("a cut is known once another instance reaches an endpoint that failed here, and stays while nothing is tried", t, func() {
		tr := cutTracker(100)
		So(tr.State(at(100)), ShouldEqual, Cut)
		So(tr.State(at(60_000)), ShouldEqual, Cut)
	})
	Convey("an endpoint that is slow while others are heard is no sign, one that is silent like all others is", t, func() {
		tr := New()
		tr.Answered(at(0), true)
		tr.Silent(at(400), "e1")
		So(tr.State(at(400)), ShouldEqual, Reached)
		So(tr.UseOld(at(400)), ShouldBeTrue)
		tr.Silent(at(700), "e1")
		So(tr.State(at(700)), ShouldEqual, Doubted)
		So(tr.UseOld(at(700)), ShouldBeFalse)
	})
}

// TestOldConnectionsAreUsedInCut guards against requests on connections that are dead, and against giving up those that live on.
func TestOldConnectionsAreUsedInCut(t *testing.T) {
	Convey("old connections are used while endpoints are heard over them", t, func() {
		tr := cutTracker(100)
		tr.Answered(at(200), false)
		So(tr.UseOld(at(1000)), ShouldBeTrue)
		So(tr.UseOld(at(1300)), ShouldBeFalse)
	})
	Convey("none is used from the moment on in which one breaks, until an endpoint is heard", t, func() {
		tr := cutTracker(100)
		tr.Answered(at(200), false)
		tr.Lost(at(300))
		So(tr.UseOld(at(310)), ShouldBeFalse)
		tr.Answered(at(320), false)
		So(tr.UseOld(at(330)), ShouldBeTrue)
	})
}

// TestCutEndsTooSoon guards against an instance that goes back to links which come and go, or that never does.
func TestCutEndsTooSoon(t *testing.T) {
	Convey("a cut ends with three answered probes in a row over half a second, and not before", t, func() {
		tr := cutTracker(100)
		tr.Answered(at(1000), true)
		tr.Answered(at(1010), true)
		tr.Answered(at(1020), true)
		So(tr.State(at(1020)), ShouldEqual, Cut)
		tr.Failed(at(1200), "e1")
		tr.Answered(at(1300), true)
		tr.Answered(at(1600), true)
		So(tr.State(at(1600)), ShouldEqual, Cut)
		tr.Answered(at(1850), true)
		So(tr.State(at(1850)), ShouldEqual, Reached)
	})
	Convey("probes are due at intervals, and only while endpoints are not reached", t, func() {
		tr := New()
		So(tr.ProbeDue(at(0)), ShouldBeFalse)
		tr = cutTracker(100)
		So(tr.ProbeDue(at(100)), ShouldBeTrue)
		So(tr.ProbeDue(at(300)), ShouldBeFalse)
		So(tr.ProbeDue(at(350)), ShouldBeTrue)
	})
	Convey("links that come and go every second are used less and less", t, func() {
		tr := New()
		tr.Answered(at(0), true)
		direct, changes, last := 0, 0, Reached
		const step, length = 50, 60_000
		for ms := 0; ms < length; ms += step {
			now := at(ms)
			up := ms/1000%2 == 0
			switch {
			case tr.State(now) == Reached && up:
				direct++
				tr.Answered(now, true)
			case tr.State(now) == Reached:
				tr.Failed(now, fmt.Sprint("e", ms/step%7))
			default:
				if tr.ProbeDue(now) {
					if up {
						tr.Answered(now, true)
					} else {
						tr.Failed(now, fmt.Sprint("e", ms/step%7))
					}
				}
				tr.TriedByOther(now, fmt.Sprint("e", ms/step%7), true)
				tr.TriedByOther(now, fmt.Sprint("e", (ms/step+6)%7), true)
			}
			if state := tr.State(now); state != last && (state == Reached || last == Reached) {
				last = state
				changes++
			}
		}
		So(changes, ShouldBeLessThanOrEqualTo, 6)
		So(direct, ShouldBeLessThan, length/step/4)
	})
}
