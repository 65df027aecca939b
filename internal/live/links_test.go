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

// TestBadLinks serves over links between instances whose delay varies and which stall.
func TestBadLinks(t *testing.T) {
	w := newWeb(t)
	w.bad(7)
	f := newFleetWith(t, rig.Options{Instances: 6, Replicas: 3, PeerProxy: w.proxy})
	for _, zone := range []string{"a", "b", "c"} {
		f.engine("e"+zone, zone, "--step", "5ms")
	}
	svc := f.service("s1", "a")
	version := f.enter(contract("acme", callKey))
	f.serving("m", 3)
	f.serving("bookings", 1)
	Convey("Streams are whole, bookings run once, and changes are in force", t, func() {
		var wg sync.WaitGroup
		streams := make([]said, 30)
		booked := make([]said, 12)
		for i := range streams {
			wg.Add(1)
			go func() {
				defer wg.Done()
				streams[i], _ = f.at(i%6).chat(context.Background(), callKey, "quick", "", fmt.Sprintf("l%d [[out=100]]", i), true)
			}()
		}
		for i := range booked {
			wg.Add(1)
			go func() {
				defer wg.Done()
				booked[i], _ = book(f.at(i%6), fmt.Sprint("link-", i/2), "{}")
			}()
		}
		for i := range 5 {
			k := contract("acme", callKey, fmt.Sprint("another-key-", i))
			out, err := f.Instances[i].PutContract(admin.Change{Author: "op", Contract: k, BaseVersion: version, Wait: true})
			So(err, ShouldBeNil)
			So(out.Code, ShouldEqual, ctrl.OK)
			version = out.Version
			for j := range f.Instances {
				So(f.status(f.at(j), fmt.Sprint("another-key-", i)), ShouldEqual, http.StatusOK)
			}
		}
		wg.Wait()
		for i, s := range streams {
			So(s.text, ShouldEqual, want(fmt.Sprintf("l%d [[out=100]]", i), 100))
		}
		for i, s := range booked {
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.raw, ShouldEqual, booked[i-i%2].raw)
			So(ran(svc.Addr)[fmt.Sprint("link-", i/2)], ShouldEqual, 1)
		}
	})
}
