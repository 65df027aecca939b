package rig

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// An instance that is configured with the same address twice fails to listen and exits at its start. FreeAddrs could return an address
// twice if it released a port before it chose the next one.
func TestAddrsOfOneInstanceDiffer(t *testing.T) {
	Convey("the addresses chosen for one instance always differ", t, func() {
		const rounds = 20_000
		repeats := 0
		for range rounds {
			addrs, err := FreeAddrs(LoopbackHost(firstInstanceHost), listenersPerInstance)
			So(err, ShouldBeNil)
			if addrs[0] == addrs[1] || addrs[1] == addrs[2] || addrs[0] == addrs[2] {
				repeats++
			}
		}
		So(repeats, ShouldEqual, 0)
	})
}
