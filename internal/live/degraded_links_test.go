package live

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/rig"
)

// TestDegradedLinks guards against streams that are truncated, calls that run twice and changes that are refused or not in force
// everywhere when the links between instances have varying delay and occasional stalls.
func TestDegradedLinks(t *testing.T) {
	network := newFaultyNetwork(t)
	network.degrade(7)
	f := newFleetWith(t, rig.Options{Instances: 6, Replicas: 3, PeerProxy: network.proxy})
	for _, zone := range []string{"a", "b", "c"} {
		f.startEngine("e"+zone, zone, "--step", "5ms")
	}
	svc := f.startService("s1", "a")
	version := f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 3)
	f.waitForEndpoints("bookings", 1)
	Convey("Streams are complete, bookings run once, and changes take effect on all instances", t, func() {
		var wg sync.WaitGroup
		streams := make([]response, 30)
		bookings := make([]response, 12)
		for i := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				streams[i], _ = f.instance(i%6).chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("l%d [[out=100]]", i), true)
			}()
		}
		for i := range bookings {
			wg.Add(1)
			go func() {
				defer wg.Done()
				bookings[i], _ = book(f.instance(i%6), fmt.Sprint("link-", i/2), "{}")
			}()
		}
		for i := range 5 {
			c := contract("acme", callerKey, fmt.Sprint("another-key-", i))
			out, err := f.Instances[i].PutContract(admin.Change{Author: "op", Contract: c, BaseVersion: version, Wait: true})
			So(err, ShouldBeNil)
			So(out.Code, ShouldEqual, ctrl.OK)
			version = out.Version
			for j := range f.Instances {
				So(f.chatStatus(f.instance(j), fmt.Sprint("another-key-", i)), ShouldEqual, http.StatusOK)
			}
		}
		wg.Wait()
		for i, resp := range streams {
			So(resp.text, ShouldEqual, wantText(fmt.Sprintf("l%d [[out=100]]", i), 100))
		}
		for i, resp := range bookings {
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, bookings[i-i%2].body)
			So(runCounts(svc.Addr)[fmt.Sprint("link-", i/2)], ShouldEqual, 1)
		}
	})
}
