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

// newTestControl returns a control that knows one endpoint.
func newTestControl() (*control, roster.Endpoint) {
	e := roster.Endpoint{ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), State: roster.Ready, StartedMs: 1}
	data, err := cbor.Marshal(ctrl.Command{Announce: &e})
	So(err, ShouldBeNil)
	m := ctrl.NewMachine()
	m.Apply(1, data)
	desk := picker.NewServer(picker.ServerOptions{Now: time.Now})
	return &control{r: &Router{machine: m, desk: desk, log: zap.NewNop()}, heard: map[string]time.Time{}, here: map[string]bool{}}, e
}

// TestHeard plays endpoints whose announcements reach replicas that do not lead.
func TestHeard(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("an endpoint that is reported by other replicas is not lost, one that is silent is", t, func() {
		c, e := newTestControl()
		So(c.silent(start, 1), ShouldBeEmpty)
		c.hear(start.Add(20*time.Second), e.ID)
		So(c.silent(start.Add(40*time.Second), 1), ShouldBeEmpty)
		So(c.silent(start.Add(51*time.Second), 1), ShouldResemble, []roster.Endpoint{e})
	})
	Convey("a replica whose reports the leader does not take acknowledges nothing by itself", t, func() {
		c, e := newTestControl()
		So(c.note(start, e.ID), ShouldBeFalse)
		c.reported = start
		So(c.note(start.Add(time.Second), e.ID), ShouldBeTrue)
		So(c.here, ShouldContainKey, e.ID)
		So(c.note(start.Add(heardStale+time.Second), e.ID), ShouldBeFalse)
	})
}
