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

// TestLossOfAZone kills all instances and endpoints of one zone of three, two of five replicas among them, under load.
func TestLossOfAZone(t *testing.T) {
	f := newFleet(t, 9, 5)
	var lost []*rig.Proc
	var kept []rig.Standin
	for _, zone := range []string{"a", "b", "c"} {
		e := f.engine("e"+zone, zone, "--step", "10ms")
		s := f.service("s"+zone, zone)
		if zone == "a" {
			lost = append(lost, e.Proc, s.Proc)
			continue
		}
		kept = append(kept, s)
	}
	version := f.enter(contract("acme", callKey))
	f.serving("m", 3)
	f.serving("bookings", 3)
	var left []inst
	for i, in := range f.Instances {
		if in.Zone == "a" {
			lost = append(lost, in.Proc)
			continue
		}
		left = append(left, f.at(i))
	}
	Convey("Streams and bookings at the other zones end whole, and changes go on", t, func() {
		const each = 4
		var wg sync.WaitGroup
		streams := make([]said, each*len(left))
		booked := make([]said, len(streams))
		for i := range streams {
			wg.Add(2)
			in := left[i%len(left)]
			go func() {
				defer wg.Done()
				streams[i], _ = in.chat(context.Background(), callKey, "quick", fmt.Sprint("zone-", i), fmt.Sprintf("z%d [[out=200]]", i), true)
			}()
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				key := fmt.Sprint("zone-", i)
				for range 8 {
					if booked[i], _ = book(in, key, "{}"); booked[i].status == http.StatusOK {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
		time.Sleep(300 * time.Millisecond)
		for _, p := range lost {
			p.Kill()
		}
		k := contract("acme", callKey, "another-key")
		until(t, "a change is accepted", func() bool {
			out, err := left[0].PutContract(admin.Change{ChangeID: "after", Author: "op", Contract: k, BaseVersion: version})
			return err == nil && out.Code == ctrl.OK
		})
		wg.Wait()
		for i, s := range streams {
			So(s.text, ShouldEqual, want(fmt.Sprintf("z%d [[out=200]]", i), 200))
		}
		done := 0
		for i, s := range booked {
			runs := 0
			for _, svc := range kept {
				runs += ran(svc.Addr)[fmt.Sprint("zone-", i)]
			}
			So(runs, ShouldBeLessThanOrEqualTo, 1)
			if s.status == http.StatusOK {
				done++
				continue
			}
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(done, ShouldBeGreaterThan, len(booked)/2)
		for _, in := range left {
			until(t, in.Name+" is ready", in.Ready)
		}
	})
}
