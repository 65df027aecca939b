package roster

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func newEndpoint(id string, startedMs int64, port uint16, state State) Endpoint {
	return Endpoint{
		ID: id, Service: "s", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		Zone: "a", Slots: 4, State: state, StartedAtMS: startedMs,
	}
}

// TestAnnounce applies announcements and removals out of order, as several replicas may pass them on. A late announcement must not
// bring back an endpoint that is leaving, has left or was replaced.
func TestAnnounce(t *testing.T) {
	Convey("a leaving endpoint stays leaving if an older announcement arrives late", t, func() {
		r := New()
		r.Announce(newEndpoint("a", 5, 1, Ready), 1)
		So(r.WouldChange(newEndpoint("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(newEndpoint("a", 5, 1, Leaving), 2)
		So(r.WouldChange(newEndpoint("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(newEndpoint("a", 5, 1, Ready), 3)
		So(r.Records["a"].Endpoint.State, ShouldEqual, Leaving)
		So(r.Records["a"].ModVersion, ShouldEqual, 2)
	})
	Convey("a later start with the same ID replaces the earlier one, never the reverse", t, func() {
		r := New()
		r.Announce(newEndpoint("a", 5, 1, Leaving), 1)
		r.Announce(newEndpoint("a", 6, 2, Ready), 2)
		So(r.Records["a"].Endpoint.Addr.Port(), ShouldEqual, 2)
		So(r.WouldChange(newEndpoint("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(newEndpoint("b", 7, 1, Ready), 3)
		So(len(r.Records), ShouldEqual, 2)
	})
	Convey("an address belongs to the endpoint that started last", t, func() {
		r := New()
		r.Announce(newEndpoint("old", 5, 1, Ready), 1)
		So(r.Announce(newEndpoint("new", 9, 1, Ready), 2), ShouldResemble, []string{"old"})
		So(r.WouldChange(newEndpoint("old", 5, 1, Ready)), ShouldBeFalse)
		So(r.Records["old"], ShouldBeNil)
	})
	Convey("an endpoint that left returns only with a later start; a lost endpoint may return", t, func() {
		r := New()
		r.Announce(newEndpoint("a", 5, 1, Ready), 1)
		So(r.Remove(Removal{ID: "a", StartedAtMS: 4}), ShouldBeFalse)
		So(r.Remove(Removal{ID: "a"}), ShouldBeTrue)
		So(r.WouldChange(newEndpoint("a", 5, 1, Ready)), ShouldBeFalse)
		So(r.WouldChange(newEndpoint("a", 6, 1, Ready)), ShouldBeTrue)
		r.Announce(newEndpoint("b", 5, 2, Ready), 2)
		So(r.Remove(Removal{ID: "b", Lost: true}), ShouldBeTrue)
		So(r.WouldChange(newEndpoint("b", 5, 2, Ready)), ShouldBeTrue)
	})
	Convey("the number of remembered departed endpoints is bounded", t, func() {
		r := New()
		for i := range maxDeparted + 10 {
			id := fmt.Sprint("e", i)
			r.Announce(newEndpoint(id, 1, 1+uint16(i%60000), Ready), uint64(i))
			r.Remove(Removal{ID: id})
		}
		So(len(r.Departed), ShouldEqual, maxDeparted)
		So(len(r.DepartureOrder), ShouldEqual, maxDeparted)
	})
}
