package picker

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

// TestLoadReportsGrowWithTheFleet guards against reports of the endpoints' load that take more of the leader with each entry instance.
func TestLoadReportsGrowWithTheFleet(t *testing.T) {
	reports := func(entries int, limited bool) (n int) {
		view, now := newView(160), time.Unix(1000, 0)
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: fakeEngines{},
			Now: func() time.Time { return now }, Log: zap.NewNop(),
		})
		var events []place.Event
		if limited {
			events = []place.Event{{Limit: &place.Limit{EndpointID: "e0", PerSecond: 5}}}
		}
		for step := range 10 {
			for entry := range entries {
				req := &place.Request{AttemptID: fmt.Sprint(step, "-", entry, "/1"), Service: "s", Zone: "a", TimeLeft: time.Second}
				reply, err := s.Serve(context.Background(), LeaderRequest{Entry: fmt.Sprint("x", entry), Boot: "1", Events: events, Request: req})
				So(err, ShouldBeNil)
				if reply.Loads != nil && step > 0 {
					n++
				}
			}
			now = now.Add(500 * time.Millisecond)
		}
		return n
	}
	Convey("with 300 entry instances each gets less than one report in two seconds, with nine one a second", t, func() {
		So(reports(9, false), ShouldEqual, 9*4)
		So(reports(300, false), ShouldBeLessThanOrEqualTo, 300*2)
	})
	Convey("what endpoints say of their limits reaches all within a second", t, func() {
		So(reports(300, true), ShouldEqual, 300*4)
	})
}
