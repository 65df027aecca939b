package proxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// TestFirstResponseTimeout guards against waiting the full deadline for a lost response. Requests that may be retried
// give up early while a retry can still succeed; all others wait until their deadline.
func TestFirstResponseTimeout(t *testing.T) {
	now := time.Unix(100, 0)
	newRequest := func(route table.Route, sent int) *request {
		return &request{route: &route, sentCount: sent, deadline: now.Add(5 * time.Second)}
	}
	choiceWith := func(expected time.Duration) *place.Choice {
		return &place.Choice{ExpectedLatency: expected, Alternatives: 1}
	}
	call := table.Route{Kind: table.Idempotent, LatencyTarget: 300 * time.Millisecond, MaxAttempts: 2}
	stream := table.Route{Kind: table.Streaming, Resumable: true, LatencyTarget: 800 * time.Millisecond, MaxAttempts: 2}
	Convey("a repeatable call times out while another endpoint can still meet the target", t, func() {
		So(newRequest(call, 1).firstResponseTimeout(now, choiceWith(20*time.Millisecond)), ShouldEqual, 150*time.Millisecond)
	})
	Convey("a resumable stream waits longer, as a restart processes its prompt again", t, func() {
		So(newRequest(stream, 1).firstResponseTimeout(now, choiceWith(100*time.Millisecond)), ShouldEqual, 1200*time.Millisecond)
		So(newRequest(stream, 1).firstResponseTimeout(now, choiceWith(time.Second)), ShouldEqual, 5*time.Second)
	})
	Convey("without another endpoint, the only one gets the whole deadline", t, func() {
		So(newRequest(call, 1).firstResponseTimeout(now, &place.Choice{ExpectedLatency: time.Millisecond}), ShouldEqual, 5*time.Second)
	})
	Convey("the last attempt and requests that may run only once wait until the deadline", t, func() {
		So(newRequest(call, 2).firstResponseTimeout(now, choiceWith(20*time.Millisecond)), ShouldEqual, 5*time.Second)
		stream.Resumable = false
		So(newRequest(stream, 0).firstResponseTimeout(now, choiceWith(20*time.Millisecond)), ShouldEqual, 5*time.Second)
		call.Kind = table.NonIdempotent
		So(newRequest(call, 1).firstResponseTimeout(now, choiceWith(20*time.Millisecond)), ShouldEqual, 5*time.Second)
	})
}
