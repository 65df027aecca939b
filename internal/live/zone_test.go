package live

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// TestZoneLoss kills all instances and endpoints in one of three zones under load, including two of the five log replicas.
func TestZoneLoss(t *testing.T) {
	f := newFleet(t, 9, 5)
	var failed []*rig.Proc
	var survivingServices []rig.Standin
	for _, zone := range []string{"a", "b", "c"} {
		eng := f.startEngine("e"+zone, zone, "--step", "10ms")
		svc := f.startService("s"+zone, zone)
		if zone == "a" {
			failed = append(failed, eng.Proc, svc.Proc)
			continue
		}
		survivingServices = append(survivingServices, svc)
	}
	version := f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 3)
	f.waitForEndpoints("bookings", 3)
	var survivors []instance
	for i, in := range f.Instances {
		if in.Zone == "a" {
			failed = append(failed, in.Proc)
			continue
		}
		survivors = append(survivors, f.instance(i))
	}
	Convey("Streams at the other zones complete, bookings run at most once, and changes are still accepted", t, func() {
		const perInstance = 4
		var wg sync.WaitGroup
		streams := make([]response, perInstance*len(survivors))
		bookings := make([]response, len(streams))
		for i := range streams {
			wg.Add(2)
			in := survivors[i%len(survivors)]
			go func() {
				defer wg.Done()
				streams[i], _ = in.chat(context.Background(), callerKey, "quick", fmt.Sprint("zone-", i), fmt.Sprintf("z%d [[out=200]]", i), true)
			}()
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				key := fmt.Sprint("zone-", i)
				for range 8 {
					if bookings[i], _ = book(in, key, "{}"); bookings[i].status == http.StatusOK {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range failed {
			p.Kill()
		}
		c := contract("acme", callerKey, "another-key")
		waitUntil(t, "a change is accepted", func() bool {
			out, err := survivors[0].PutContract(admin.Change{ChangeID: "after", Author: "op", Contract: c, BaseVersion: version})
			return err == nil && out.Code == ctrl.OK
		})
		wg.Wait()
		for i, resp := range streams {
			So(resp.text, ShouldEqual, wantText(fmt.Sprintf("z%d [[out=200]]", i), 200))
		}
		succeeded := 0
		for i, resp := range bookings {
			runs := 0
			for _, svc := range survivingServices {
				runs += runCounts(svc.Addr)[fmt.Sprint("zone-", i)]
			}
			So(runs, ShouldBeLessThanOrEqualTo, 1)
			if resp.status == http.StatusOK {
				succeeded++
				continue
			}
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(succeeded, ShouldBeGreaterThan, len(bookings)/2)
		for _, in := range survivors {
			waitUntil(t, in.Name+" is ready", in.Ready)
		}
	})
}
