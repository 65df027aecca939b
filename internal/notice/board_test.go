package notice

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// TestLeavingEndpointIsForgotten guards against an endpoint that is leaving and gets requests again, and against a later start of it
// that gets none.
func TestLeavingEndpointIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(startedAtMS int64) map[string]roster.Endpoint {
		return map[string]roster.Endpoint{"e": {ID: "e", StartedAtMS: startedAtMS}, "f": {ID: "f", StartedAtMS: 1}}
	}
	none := map[string]roster.Endpoint{}
	Convey("An endpoint that is leaving stays so until a later start", t, func() {
		b := New()
		So(b.Unwilling(now, at(1)), ShouldBeEmpty)
		So(b.MarkLeaving(now, Start{"e", 1}), ShouldBeTrue)
		So(b.MarkLeaving(now, Start{"e", 1}), ShouldBeFalse)
		So(b.Admit(now, Start{"e", 1}), ShouldBeFalse)
		So(b.Admit(now, Start{"e", 2}), ShouldBeTrue)
		So(b.Unwilling(now, at(1)), ShouldResemble, []string{"e"})
		So(b.Unwilling(now, at(2)), ShouldBeEmpty)
		So(b.Unwilling(now, none), ShouldBeEmpty)
	})
	Convey("It is kept while it is in the configuration and for a time after", t, func() {
		b := New()
		b.MarkLeaving(now, Start{"e", 1})
		now = now.Add(2 * retention)
		b.Prune(now, at(1))
		So(b.Unwilling(now, at(1)), ShouldResemble, []string{"e"})
		now = now.Add(retention / 2)
		b.Prune(now, none)
		So(b.Unwilling(now, at(1)), ShouldResemble, []string{"e"})
		now = now.Add(retention)
		b.Prune(now, none)
		So(b.Unwilling(now, at(1)), ShouldBeEmpty)
	})
}

// TestPausedEndpointGetsRequests guards against requests to an endpoint that asked for none, and against all of them coming back at
// once when its pause ends.
func TestPausedEndpointGetsRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	e, f := Start{"e", 1}, Start{"f", 1}
	eps := map[string]roster.Endpoint{
		"e": {ID: "e", StartedAtMS: 1, Service: "s", State: roster.Ready}, "f": {ID: "f", StartedAtMS: 1, Service: "s", State: roster.Ready},
		"g": {ID: "g", StartedAtMS: 1, Service: "s", State: roster.Leaving}, "h": {ID: "h", StartedAtMS: 1, Service: "t", State: roster.Ready},
	}
	Convey("A paused endpoint is unwilling up to the end of its pause", t, func() {
		b := New()
		b.MarkPaused(start, e, 2*time.Second)
		b.MarkPaused(start, e, time.Second)
		b.MarkAnswered(start.Add(time.Second), e)
		So(b.Admit(start.Add(2*time.Second-1), e), ShouldBeFalse)
		So(b.Admit(start, f), ShouldBeTrue)
		So(b.Unwilling(start.Add(2*time.Second-1), eps), ShouldResemble, []string{"e"})
		So(b.Unwilling(start.Add(2*time.Second), eps), ShouldBeEmpty)
		later := map[string]roster.Endpoint{"e": {ID: "e", StartedAtMS: 2}}
		So(b.Unwilling(start, later), ShouldBeEmpty)
	})
	Convey("After the pause, requests come one at a time until one is answered", t, func() {
		b := New()
		b.MarkPaused(start, e, time.Second)
		now := start.Add(time.Second)
		for range 3 {
			So(b.Unwilling(now, eps), ShouldBeEmpty)
			So(b.Admit(now, e), ShouldBeTrue)
			So(b.Admit(now, e), ShouldBeFalse)
			So(b.Unwilling(now, eps), ShouldResemble, []string{"e"})
			now = now.Add(returnInterval)
		}
		So(b.Admit(now, e), ShouldBeTrue)
		b.MarkAnswered(now, e)
		So(b.Unwilling(now, eps), ShouldBeEmpty)
	})
	Convey("A pause has a limit, and none of no length is kept", t, func() {
		b := New()
		b.MarkPaused(start, e, 1<<62)
		b.MarkPaused(start, f, 0)
		b.MarkPaused(start, f, -time.Second)
		So(b.Unwilling(start, eps), ShouldResemble, []string{"e"})
		So(b.Unwilling(start.Add(maxPause), eps), ShouldBeEmpty)
		b.Prune(start.Add(maxPause+retention+1), eps)
		So(b.size.Load(), ShouldEqual, 0)
	})
	Convey("The time left is that of the first endpoint to come back, if none of the service is willing", t, func() {
		b := New()
		So(b.PauseLeft(start, "s", "", eps), ShouldEqual, 0)
		b.MarkPaused(start, e, 2*time.Second)
		So(b.PauseLeft(start, "s", "", eps), ShouldEqual, 0)
		b.MarkPaused(start, f, 3*time.Second)
		So(b.PauseLeft(start, "s", "", eps), ShouldEqual, 2*time.Second)
		So(b.PauseLeft(start.Add(500*time.Millisecond), "s", "", eps), ShouldEqual, 1500*time.Millisecond)
		So(b.PauseLeft(start.Add(2*time.Second), "s", "", eps), ShouldEqual, 0)
		So(b.PauseLeft(start, "t", "", eps), ShouldEqual, 0)
		b.MarkLeaving(start, e)
		So(b.PauseLeft(start, "s", "", eps), ShouldEqual, 3*time.Second)
		b.MarkLeaving(start, f)
		So(b.PauseLeft(start, "s", "", eps), ShouldEqual, 0)
	})
}
