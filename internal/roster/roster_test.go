package roster

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func ep(id string, born int64, port uint16, state State) Endpoint {
	return Endpoint{ID: id, Service: "s", Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Zone: "a", Slots: 4, State: state, Born: born}
}

func TestAnnounce(t *testing.T) {
	Convey("a leaving endpoint stays so, whatever comes late", t, func() {
		r := New()
		r.Announce(ep("a", 5, 1, Ready), 1)
		So(r.News(ep("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(ep("a", 5, 1, Leaving), 2)
		So(r.News(ep("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(ep("a", 5, 1, Ready), 3)
		So(r.Known["a"].Endpoint.State, ShouldEqual, Leaving)
		So(r.Known["a"].Mod, ShouldEqual, 2)
	})
	Convey("a new start under the same ID replaces the old one, and never the reverse", t, func() {
		r := New()
		r.Announce(ep("a", 5, 1, Leaving), 1)
		r.Announce(ep("a", 6, 2, Ready), 2)
		So(r.Known["a"].Endpoint.Addr.Port(), ShouldEqual, 2)
		So(r.News(ep("a", 5, 1, Ready)), ShouldBeFalse)
		r.Announce(ep("b", 7, 1, Ready), 3)
		So(len(r.Known), ShouldEqual, 2)
	})
	Convey("an address belongs to the endpoint that started last", t, func() {
		r := New()
		r.Announce(ep("old", 5, 1, Ready), 1)
		So(r.Announce(ep("new", 9, 1, Ready), 2), ShouldResemble, []string{"old"})
		So(r.News(ep("old", 5, 1, Ready)), ShouldBeFalse)
		So(r.Known["old"], ShouldBeNil)
	})
	Convey("who left stays gone until it starts anew, who was lost may come back", t, func() {
		r := New()
		r.Announce(ep("a", 5, 1, Ready), 1)
		So(r.Exit(Exit{ID: "a", Born: 4}), ShouldBeFalse)
		So(r.Exit(Exit{ID: "a"}), ShouldBeTrue)
		So(r.News(ep("a", 5, 1, Ready)), ShouldBeFalse)
		So(r.News(ep("a", 6, 1, Ready)), ShouldBeTrue)
		r.Announce(ep("b", 5, 2, Ready), 2)
		So(r.Exit(Exit{ID: "b", Lost: true}), ShouldBeTrue)
		So(r.News(ep("b", 5, 2, Ready)), ShouldBeTrue)
	})
	Convey("the memory of those that left is bounded", t, func() {
		r := New()
		for i := range maxGone + 10 {
			id := fmt.Sprint("e", i)
			r.Announce(ep(id, 1, 1+uint16(i%60000), Ready), uint64(i))
			r.Exit(Exit{ID: id})
		}
		So(len(r.Gone), ShouldEqual, maxGone)
		So(len(r.Order), ShouldEqual, maxGone)
	})
}
