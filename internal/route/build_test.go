package route

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// TestAnotherBuildIsPicked guards against the choice of an endpoint of another software version than the run's.
func TestAnotherBuildIsPicked(t *testing.T) {
	now := time.Unix(1000, 0)
	var eps []*Endpoint
	for _, build := range []string{"v1", "v2", "V2", ""} {
		eps = append(eps, NewEndpoint(now, endpt.Announcement{Name: "e-" + build, Boot: "b-" + build, Slots: 4, Build: build}, false))
	}
	for _, policy := range []Policy{ByLoad, Random, RoundRobin, LeastRunning} {
		Convey("by policy "+string(policy)+" only endpoints of the version are picked, those that tell none being one", t, func() {
			p := New(policy, 1)
			for _, build := range []string{"v1", "v2", ""} {
				for range 10 {
					got := p.Pick(now, eps, &Request{Bound: true, Build: build, Blocks: []uint64{7}})
					So(got.Info.Build, ShouldEqual, build)
				}
			}
			So(p.Pick(now, eps, &Request{Bound: true, Build: "v3"}), ShouldBeNil)
			So(p.Pick(now, eps, &Request{Bound: true, Build: "v1", ExcludedBoots: []string{"b-v1"}}), ShouldBeNil)
			So(p.Pick(now, eps, &Request{}), ShouldNotBeNil)
		})
	}
}
