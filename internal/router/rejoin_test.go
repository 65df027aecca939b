package router

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// TestAllInstancesRegisterAtOnce guards against a commit for each instance in the first moments after a loss of power, each of which goes
// to all the others.
func TestAllInstancesRegisterAtOnce(t *testing.T) {
	self := ctrl.Instance{Name: "e1", Zone: "a", Region: "r", Boot: "e1-2", Addr: netip.MustParseAddrPort("10.0.0.1:7100")}
	registered := func(change func(inst *ctrl.Instance)) map[string]ctrl.Instance {
		known := self
		known.Boot = "e1-1"
		change(&known)
		return map[string]ctrl.Instance{known.Name: known}
	}
	Convey("instances that start again register one after the other", t, func() {
		known := registered(func(*ctrl.Instance) {})
		So(registrationDelay(self, known, 0), ShouldEqual, 0)
		So(registrationDelay(self, known, 0.5), ShouldEqual, rejoinSpread/2)
	})
	Convey("one that others cannot reach by what is registered registers at once", t, func() {
		So(registrationDelay(self, nil, 0.5), ShouldEqual, 0)
		for _, change := range []func(inst *ctrl.Instance){
			func(inst *ctrl.Instance) { inst.Addr = netip.MustParseAddrPort("10.0.0.2:7100") },
			func(inst *ctrl.Instance) { inst.Zone = "b" },
			func(inst *ctrl.Instance) { inst.Name = "e2" },
		} {
			So(registrationDelay(self, registered(change), 0.5), ShouldEqual, 0)
		}
	})
}
