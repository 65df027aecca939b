package place

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// goesOn reports whether an attempt goes on with a stream that broke off.
func goesOn(b *Balancer, now time.Time, attemptID string) bool {
	_, begun := b.BegunBuild(now, attemptID)
	return begun
}

// TestStreamOfOlderEntryGoesOnAtAnotherBuild guards against streams that an entry instance of a build without software versions has go
// on at another version.
func TestStreamOfOlderEntryGoesOnAtAnotherBuild(t *testing.T) {
	now := time.Unix(1000, 0)
	begin := func(b *Balancer, id string, firstAnswer time.Duration, outcome Outcome) Choice {
		choice, ok := b.Place(now, Request{AttemptID: id, Service: "m", InputTokens: 5000, TimeLeft: 10 * time.Second})
		So(ok, ShouldBeTrue)
		b.Apply(now, Event{AttemptID: id, FirstAnswer: firstAnswer})
		b.Apply(now, Event{AttemptID: id, Outcome: outcome})
		return choice
	}
	Convey("the version of the endpoint that sent the first event is known until the caller's deadline", t, func() {
		b := newBuildBalancer("v1", "v2", "v1", "v2")
		for n := range 8 {
			id := fmt.Sprint("stream", n)
			first := begin(b, id+"/1", time.Millisecond, ConnectionLost)
			build, begun := b.BegunBuild(now, id+"/2")
			So(begun, ShouldBeTrue)
			So(build, ShouldEqual, first.Build)
			So(goesOn(b, now.Add(10*time.Second+attemptGrace), id+"/2"), ShouldBeFalse)
		}
		So(goesOn(b, now, "another/1"), ShouldBeFalse)
	})
	Convey("a stream that breaks off again keeps its version", t, func() {
		b := newBuildBalancer("v1", "v2")
		first := begin(b, "a/1", time.Millisecond, ConnectionLost)
		for n := 2; n < 6; n++ {
			begin(b, fmt.Sprint("a/", n), time.Millisecond, TimedOut)
		}
		build, _ := b.BegunBuild(now, "a/9")
		So(build, ShouldEqual, first.Build)
	})
	Convey("a stream that began at an endpoint of unknown version is known to have begun", t, func() {
		b := newBuildBalancer("")
		begin(b, "a/1", time.Millisecond, ConnectionLost)
		build, begun := b.BegunBuild(now, "a/2")
		So(begun, ShouldBeTrue)
		So(build, ShouldBeEmpty)
	})
	Convey("a request whose endpoint sent nothing, or all, may go anywhere", t, func() {
		b := newBuildBalancer("v1", "v2")
		begin(b, "a/1", 0, ConnectionLost)
		So(goesOn(b, now, "a/2"), ShouldBeFalse)
		begin(b, "b/1", time.Millisecond, Completed)
		So(goesOn(b, now, "b/2"), ShouldBeFalse)
	})
	Convey("what is remembered is bounded and expires", t, func() {
		b := newBuildBalancer("v1")
		for n := range maxBegun + 5 {
			begin(b, fmt.Sprint(n, "/1"), time.Millisecond, ConnectionLost)
		}
		So(b.begun, ShouldHaveLength, maxBegun)
		b.Tick(now.Add(10*time.Second + attemptGrace))
		So(b.begun, ShouldBeEmpty)
	})
}
