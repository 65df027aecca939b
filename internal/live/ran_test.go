package live

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// TestClaimsAtEachStep kills processes at a step of a call that the step itself holds up: the wait for an endpoint
// before the send, and the record of the answer while no quorum is there.
func TestClaimsAtEachStep(t *testing.T) {
	f := newFleet(t, 4, 3)
	svc := f.service("s1", "a", "--slots", "1")
	f.enter(contract("acme", callKey))
	f.serving("bookings", 1)
	entry := f.at(3)
	waits := func() bool { return f.Instances[0].Cells()["bookings@r"].Queued == 1 }
	occupy := func(key string) {
		go func() { _, _ = book(f.at(0), key, "[[slow=3s]]") }()
		until(t, "the service is occupied", func() bool { return ran(svc.Addr)[key] == 1 })
	}
	Convey("Killed before the send, its claim taken: nothing runs, and no repeat is told that it did or did not", t, func() {
		occupy("busy1")
		go func() { _, _ = book(entry, "unsent", "{}") }()
		until(t, "it waits", waits)
		entry.Kill()
		must(t, f.StartInstance(entry.Instance))
		until(t, "it is back", entry.Ready)
		for i := range 3 {
			s, err := book(f.at(i), "unsent", "{}")
			So(err, ShouldBeNil)
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(ran(svc.Addr)["unsent"], ShouldEqual, 0)
	})
	Convey("The leader killed before the send: it runs once, and a repeat gets the same answer", t, func() {
		occupy("busy2")
		got := make(chan said, 1)
		go func() {
			s, _ := book(entry, "leader", "{}")
			got <- s
		}()
		until(t, "it waits", waits)
		leader := f.Leader()
		leader.Kill()
		must(t, f.StartInstance(leader))
		s := <-got
		So(s.status, ShouldEqual, http.StatusOK)
		until(t, "it is back", leader.Ready)
		again, err := book(f.at(0), "leader", "{}")
		So(err, ShouldBeNil)
		So(again.raw, ShouldEqual, s.raw)
		So(ran(svc.Addr)["leader"], ShouldEqual, 1)
	})
	Convey("Its caller gone before the send: nothing runs, and the key is free again", t, func() {
		occupy("busy3")
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = entry.call(ctx, http.MethodPost, "/book", "left", "{}") }()
		until(t, "it waits", waits)
		cancel()
		until(t, "it no longer waits", func() bool { return !waits() })
		So(ran(svc.Addr)["left"], ShouldEqual, 0)
		s, err := book(f.at(1), "left", "{}")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusOK)
		So(ran(svc.Addr)["left"], ShouldEqual, 1)
	})
	Convey("Killed after the service's answer, before a quorum has it: no repeat runs it again", t, func() {
		go func() { _, _ = book(entry, "answered", "[[slow=1s]]") }()
		until(t, "it runs", func() bool { return ran(svc.Addr)["answered"] == 1 })
		for _, in := range f.Instances[:3] {
			in.Suspend()
		}
		time.Sleep(1500 * time.Millisecond)
		entry.Kill()
		for _, in := range f.Instances[:3] {
			in.Resume()
		}
		must(t, f.StartInstance(entry.Instance))
		must(t, f.WaitReady())
		for i := range 4 {
			s, err := book(f.at(i), "answered", "[[slow=1s]]")
			So(err, ShouldBeNil)
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(ran(svc.Addr)["answered"], ShouldEqual, 1)
	})
	Convey("A disk lost after the record: repeats at all instances still get the same answer", t, func() {
		s, err := book(entry, "disk", "{}")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusOK)
		f.loseDisk(f.Leader(), func() {})
		must(t, f.WaitReady())
		for i := range 4 {
			again, err := book(f.at(i), "disk", "{}")
			So(err, ShouldBeNil)
			So(again.raw, ShouldEqual, s.raw)
		}
		So(ran(svc.Addr)["disk"], ShouldEqual, 1)
	})
}

// TestRefusedRequestThatRan refuses a request at an instance that has not seen it, after it ran at another.
func TestRefusedRequestThatRan(t *testing.T) {
	f := newFleet(t, 3, 3)
	eng := f.engine("e1", "a", "--step", "20ms")
	f.enter(contract("acme", callKey))
	f.serving("m", 1)
	Convey("A request that ran until its entry and its endpoint were lost is not said to have not run", t, func() {
		victim := f.Instances[0]
		if victim.Name == f.holder("m@r").Name {
			victim = f.Instances[1]
		}
		go func() {
			_, _ = inst{victim}.chat(context.Background(), callKey, "quick", "visit-7", "x [[out=500]]", true)
		}()
		until(t, "it runs", func() bool { return stats(eng.Addr).Tokens > 10 })
		victim.Kill()
		eng.Kill()
		for _, in := range f.Instances {
			if in == victim {
				continue
			}
			s, err := inst{in}.chat(context.Background(), callKey, "quick", "visit-7", "x [[out=500]]", false)
			So(err, ShouldBeNil)
			So(s.status, ShouldEqual, http.StatusServiceUnavailable)
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
			s, err = inst{in}.chat(context.Background(), callKey, "quick", "visit-8", "x [[out=500]]", false)
			So(err, ShouldBeNil)
			So(s.fail.Ran, ShouldEqual, chat.RanNo)
		}
	})
}
