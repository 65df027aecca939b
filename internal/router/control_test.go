package router

import (
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/picker"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// newTestControl returns a control with one registered endpoint.
func newTestControl() (*control, roster.Endpoint) {
	e := roster.Endpoint{ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), State: roster.Ready, StartedAtMS: 1}
	data, err := cbor.Marshal(ctrl.Command{Announce: &e})
	So(err, ShouldBeNil)
	machine := ctrl.NewMachine()
	machine.Apply(1, data)
	pickerServer := picker.NewServer(picker.ServerOptions{Now: time.Now})
	return &control{
		router:        &Router{machine: machine, pickerServer: pickerServer, log: zap.NewNop()},
		lastHeartbeat: map[string]time.Time{}, unreported: map[string]bool{},
	}, e
}

// TestHeartbeats covers endpoints whose announcements reach replicas other than the leader. The leader must not remove them as
// lost, and a replica that is cut off from the leader must not acknowledge announcements that the leader never learns of.
func TestHeartbeats(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("an endpoint reported by other replicas is not lost, a silent one is", t, func() {
		c, e := newTestControl()
		So(c.silentEndpoints(start, 1), ShouldBeEmpty)
		c.recordHeartbeat(start.Add(20*time.Second), e.ID)
		So(c.silentEndpoints(start.Add(40*time.Second), 1), ShouldBeEmpty)
		So(c.silentEndpoints(start.Add(51*time.Second), 1), ShouldResemble, []roster.Endpoint{e})
	})
	Convey("a replica whose reports the leader does not accept acknowledges no announcement itself", t, func() {
		c, e := newTestControl()
		So(c.queueHeartbeat(start, e.ID), ShouldBeFalse)
		c.lastReport = start
		So(c.queueHeartbeat(start.Add(time.Second), e.ID), ShouldBeTrue)
		So(c.unreported, ShouldContainKey, e.ID)
		So(c.queueHeartbeat(start.Add(maxHeartbeatReportAge+time.Second), e.ID), ShouldBeFalse)
	})
}
