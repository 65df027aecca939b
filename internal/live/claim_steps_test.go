package live

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// slowCall makes a simulated service answer after a second.
const slowCall = "[[slow=1s]]"

// TestCrashAtEachClaimStep guards against a call that runs twice, or whose recorded response is lost, after a crash or a disconnect
// between two steps of its claim. The test can hold a call at two steps: in the queue, while the only slot of the service is occupied,
// and before the response is recorded, while the replicas are suspended.
func TestCrashAtEachClaimStep(t *testing.T) {
	f := newFleet(t, 4, 3)
	svc := f.startService("s1", "a", "--slots", "1")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("bookings", 1)
	entry := f.instance(3)
	queued := func() bool { return f.Instances[0].Cells()["bookings@r"].Queued == 1 }
	occupyService := func(key string) {
		go func() { _, _ = book(f.instance(0), key, "[[slow=3s]]") }()
		waitUntil(t, "the service is occupied", func() bool { return runCounts(svc.Addr)[key] == 1 })
	}
	Convey("Entry instance killed with the claim taken but the call not sent: nothing runs, and retries get an unknown outcome", t, func() {
		occupyService("busy1")
		go func() { _, _ = book(entry, "unsent", "{}") }()
		waitUntil(t, "the call is queued", queued)
		entry.Kill()
		must(t, f.StartInstance(entry.Instance))
		waitUntil(t, "the restarted instance is ready", entry.Ready)
		for i := range 3 {
			resp, err := book(f.instance(i), "unsent", "{}")
			So(err, ShouldBeNil)
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(runCounts(svc.Addr)["unsent"], ShouldEqual, 0)
	})
	Convey("Leader killed before the call is sent: it runs once, and a retry gets the same response", t, func() {
		occupyService("busy2")
		responses := make(chan response, 1)
		go func() {
			resp, _ := book(entry, "leader", "{}")
			responses <- resp
		}()
		waitUntil(t, "the call is queued", queued)
		leader := f.Leader()
		leader.Kill()
		must(t, f.StartInstance(leader))
		resp := <-responses
		So(resp.status, ShouldEqual, http.StatusOK)
		waitUntil(t, "the restarted leader is ready", leader.Ready)
		again, err := book(f.instance(0), "leader", "{}")
		So(err, ShouldBeNil)
		So(again.body, ShouldEqual, resp.body)
		So(runCounts(svc.Addr)["leader"], ShouldEqual, 1)
	})
	Convey("Caller disconnected before the call is sent: nothing runs, and the key can be used again", t, func() {
		occupyService("busy3")
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = entry.callService(ctx, http.MethodPost, "/book", "left", "{}") }()
		waitUntil(t, "the call is queued", queued)
		cancel()
		waitUntil(t, "the call is no longer queued", func() bool { return !queued() })
		So(runCounts(svc.Addr)["left"], ShouldEqual, 0)
		resp, err := book(f.instance(1), "left", "{}")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusOK)
		So(runCounts(svc.Addr)["left"], ShouldEqual, 1)
	})
	Convey("Entry instance killed after the service's response but before a quorum has recorded it: no retry runs the call again", t, func() {
		key := f.suspendReplicasDuringCall(entry, svc.Addr)
		time.Sleep(1500 * time.Millisecond)
		entry.Kill()
		for _, in := range f.Instances[:3] {
			in.Resume()
		}
		must(t, f.StartInstance(entry.Instance))
		must(t, f.WaitReady())
		for i := range 4 {
			resp, err := book(f.instance(i), key, slowCall)
			So(err, ShouldBeNil)
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(runCounts(svc.Addr)[key], ShouldEqual, 1)
	})
	Convey("Disk lost after the response is recorded: retries at all instances still get the same response", t, func() {
		resp, err := book(entry, "disk", "{}")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusOK)
		f.loseDisk(f.Leader(), func() {})
		must(t, f.WaitReady())
		for i := range 4 {
			again, err := book(f.instance(i), "disk", "{}")
			So(err, ShouldBeNil)
			So(again.body, ShouldEqual, resp.body)
		}
		So(runCounts(svc.Addr)["disk"], ShouldEqual, 1)
	})
}

// suspendReplicasDuringCall sends a call and suspends the replicas of the log before the service answers it. It returns the key of the
// call. On a busy machine the answer may be recorded before the replicas are suspended; the call is then repeated under another key.
func (f *fleet) suspendReplicasDuringCall(entry instance, service netip.AddrPort) string {
	const (
		tries = 10
		// suspendWithin leaves the replicas time to stop before the service answers after a second.
		suspendWithin = 800 * time.Millisecond
	)
	for i := range tries {
		key := fmt.Sprint("answered", i)
		sentAt := time.Now()
		go func() { _, _ = book(entry, key, slowCall) }()
		waitUntil(f.t, "the call runs", func() bool { return runCounts(service)[key] == 1 })
		for _, in := range f.Instances[:3] {
			in.Suspend()
		}
		if time.Since(sentAt) < suspendWithin {
			return key
		}
		for _, in := range f.Instances[:3] {
			in.Resume()
		}
	}
	f.t.Fatal("the replicas were suspended too late in each call")
	return ""
}

// TestRefusedRequestThatRan checks that an instance that refuses a request does not report it as not run when another
// instance has already run part of it. The refusing instance has not seen the request itself.
func TestRefusedRequestThatRan(t *testing.T) {
	f := newFleet(t, 3, 3)
	eng := f.startEngine("e1", "a", "--step", "20ms")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 1)
	Convey("A request whose entry instance and endpoint were lost while it ran gets an unknown outcome", t, func() {
		victim := f.Instances[0]
		if victim.Name == f.cellScheduler("m@r").Name {
			victim = f.Instances[1]
		}
		go func() {
			_, _ = instance{victim}.chat(context.Background(), callerKey, "quick", "visit-7", "x [[out=500]]", true)
		}()
		waitUntil(t, "the request runs", func() bool { return engineStats(eng.Addr).Tokens > 10 })
		victim.Kill()
		eng.Kill()
		for _, in := range f.Instances {
			if in == victim {
				continue
			}
			resp, err := instance{in}.chat(context.Background(), callerKey, "quick", "visit-7", "x [[out=500]]", false)
			So(err, ShouldBeNil)
			So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
			resp, err = instance{in}.chat(context.Background(), callerKey, "quick", "visit-8", "x [[out=500]]", false)
			So(err, ShouldBeNil)
			So(resp.failure.Ran, ShouldEqual, chat.RanNo)
		}
	})
}
