package proxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// TestFirstPatience holds against lost answers: who may be sent elsewhere is, while that is of use; all others wait.
func TestFirstPatience(t *testing.T) {
	now := time.Unix(100, 0)
	of := func(r table.Route, sent int) *request {
		return &request{route: &r, sent: sent, until: now.Add(5 * time.Second)}
	}
	after := func(expected time.Duration) *place.Choice {
		return &place.Choice{ExpectedLatency: expected, Alternatives: 1}
	}
	call := table.Route{Kind: table.Repeat, Target: 300 * time.Millisecond, Attempts: 2}
	stream := table.Route{Kind: table.Stream, Resume: true, Target: 800 * time.Millisecond, Attempts: 2}
	Convey("a call that may be repeated is given up while another endpoint can still be on time", t, func() {
		So(of(call, 1).firstPatience(now, after(20*time.Millisecond)), ShouldEqual, 150*time.Millisecond)
	})
	Convey("a stream that may be resumed waits longer, as reading its prompt once more costs others", t, func() {
		So(of(stream, 1).firstPatience(now, after(100*time.Millisecond)), ShouldEqual, 1200*time.Millisecond)
		So(of(stream, 1).firstPatience(now, after(time.Second)), ShouldEqual, 5*time.Second)
	})
	Convey("where there is no other endpoint, this one is waited for", t, func() {
		So(of(call, 1).firstPatience(now, &place.Choice{ExpectedLatency: time.Millisecond}), ShouldEqual, 5*time.Second)
	})
	Convey("the last attempt, and what may run only once, waits as long as the caller", t, func() {
		So(of(call, 2).firstPatience(now, after(20*time.Millisecond)), ShouldEqual, 5*time.Second)
		stream.Resume = false
		So(of(stream, 0).firstPatience(now, after(20*time.Millisecond)), ShouldEqual, 5*time.Second)
		call.Kind = table.Once
		So(of(call, 1).firstPatience(now, after(20*time.Millisecond)), ShouldEqual, 5*time.Second)
	})
}
