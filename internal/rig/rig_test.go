package rig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// An instance that is given one address twice can't listen and ends at its start.
func TestAddressesOfAnInstanceDiffer(t *testing.T) {
	Convey("the addresses chosen for one instance are never the same", t, func() {
		const times = 20_000
		repeats := 0
		for range times {
			as, err := FreeAddrs(Host(firstInstance), listeners)
			So(err, ShouldBeNil)
			if as[0] == as[1] || as[1] == as[2] || as[0] == as[2] {
				repeats++
			}
		}
		So(repeats, ShouldEqual, 0)
	})
}
