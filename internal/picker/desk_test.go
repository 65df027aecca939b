package picker

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// caches are engines that tell what they have in their caches, by address.
type caches map[netip.AddrPort][]place.Part

func (c caches) Cached(_ context.Context, addr netip.AddrPort) ([]place.Part, error) {
	return c[addr], nil
}

// service is a view of n engines of one service.
func service(n int) *ctrl.View {
	v := &ctrl.View{Endpoints: map[string]roster.Endpoint{}, Table: table.New(&table.Table{
		Version: 1, Services: []table.Service{{Name: "s", Engine: &table.Engine{Slots: 64, Tokens: 500_000, Stride: 3}}},
	})}
	for i := range n {
		id := fmt.Sprint("e", i)
		v.Endpoints[id] = roster.Endpoint{ID: id, Service: "s", Zone: "a", State: roster.Ready, Addr: addr(i)}
	}
	return v
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

// TestTakeover plays a lost leader: its successor has seen nothing placed, and all that waited comes at once.
func TestTakeover(t *testing.T) {
	Convey("a new leader sends prompts where they are cached, though it has not seen them placed", t, func() {
		const engines, prompts, size = 6, 60, 13_000
		view, held := service(engines), caches{}
		for p := range prompts {
			held[addr(p%engines)] = append(held[addr(p%engines)], place.Part{ID: uint64(p + 1), Tokens: size})
		}
		d := NewDesk(DeskOptions{
			View: func() *ctrl.View { return view }, Leads: func() bool { return true }, Engines: held, Now: time.Now, Log: zap.NewNop(),
		})
		_, err := d.Serve(context.Background(), Ask{Entry: "x", Boot: "1"})
		So(err, ShouldBeNil)
		d.wg.Wait()
		need := 0
		for p := range prompts {
			r, err := d.Serve(context.Background(), Ask{Entry: "x", Boot: "1", Request: &place.Request{
				Run: fmt.Sprint(p), Service: "s", Zone: "a", Input: size + 100, Target: time.Second, Left: 10 * time.Second,
				Parts: []place.Part{{ID: uint64(p + 1), Tokens: size}, {ID: uint64(1000 + p), Tokens: 100}},
			}})
			So(err, ShouldBeNil)
			So(r.Found, ShouldBeTrue)
			need += r.Choice.Need
		}
		So(need, ShouldEqual, prompts*100)
	})
	Convey("an instance that does not lead places nothing", t, func() {
		d := NewDesk(DeskOptions{
			View: func() *ctrl.View { return service(1) }, Leads: func() bool { return false }, Now: time.Now, Log: zap.NewNop(),
		})
		r, err := d.Serve(context.Background(), Ask{Entry: "x", Boot: "1", Request: &place.Request{Run: "1", Service: "s"}})
		So(err, ShouldBeNil)
		So(r.Leads, ShouldBeFalse)
	})
}

// TestTwice plays asks that come twice, the second time long after the run has ended.
func TestTwice(t *testing.T) {
	Convey("an ask that comes twice has one effect and the same answer", t, func() {
		view := service(2)
		d := NewDesk(DeskOptions{
			View: func() *ctrl.View { return view }, Leads: func() bool { return true }, Engines: caches{}, Now: time.Now, Log: zap.NewNop(),
		})
		ask := func(a Ask) Reply {
			a.Entry, a.Boot = "x", "1"
			r, err := d.Serve(context.Background(), a)
			So(err, ShouldBeNil)
			return r
		}
		first := Ask{Number: 1, Request: &place.Request{Run: "r", Service: "s", Zone: "a", Target: time.Second, Left: time.Minute}}
		r := ask(first)
		So(r.Found, ShouldBeTrue)
		So(ask(first).Choice.ID, ShouldEqual, r.Choice.ID)
		started := Ask{Number: 2, Events: []place.Event{{Run: "l", At: "e0", Start: &place.Request{Run: "l", Service: "s", Left: time.Minute}}}}
		ask(started)
		So(d.board.Knows("l"), ShouldBeTrue)
		ask(Ask{Number: 3, Events: []place.Event{{Run: "r", End: place.Done}, {Run: "l", End: place.Done}}})
		ask(started)
		So(ask(first).Found, ShouldBeFalse)
		So(d.board.Knows("r"), ShouldBeFalse)
		So(d.board.Knows("l"), ShouldBeFalse)
	})
}

// TestLoadsAreToldSeldom plays an entry that asks often: what others run is sent along once in a while.
func TestLoadsAreToldSeldom(t *testing.T) {
	Convey("an entry learns what others run, without the idle endpoints, once in a while", t, func() {
		view, now := service(100), time.Unix(1000, 0)
		d := NewDesk(DeskOptions{
			View: func() *ctrl.View { return view }, Leads: func() bool { return true }, Engines: caches{}, Now: func() time.Time { return now }, Log: zap.NewNop(),
		})
		ask := func(entry, run string) Reply {
			q := &place.Request{Run: run, Service: "s", Entry: entry, Zone: "a", Left: time.Minute}
			r, err := d.Serve(context.Background(), Ask{Entry: entry, Boot: "1", Request: q})
			So(err, ShouldBeNil)
			So(r.Found, ShouldBeTrue)
			return r
		}
		busy := ask("other", "o").Choice.ID
		told := 0
		for i := range 40 {
			r := ask("x", fmt.Sprint(i))
			if r.Loads != nil {
				told++
				So(r.Loads.Busy, ShouldHaveLength, 1)
				So(r.Loads.Busy[0].ID, ShouldEqual, busy)
			}
			now = now.Add(50 * time.Millisecond)
		}
		So(told, ShouldEqual, 2)
	})
}
