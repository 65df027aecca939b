package memb

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// newInstances returns n instances distributed over the given number of zones; the first ones hold the replicas.
func newInstances(n, zones, replicas int) (map[string]ctrl.Instance, []Replica) {
	instances := map[string]ctrl.Instance{}
	var holders []Replica
	for i := range n {
		in := ctrl.Instance{
			Name: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("z%d", i%zones), Region: "r",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		}
		instances[in.Name] = in
		if i < replicas {
			holders = append(holders, Replica{Name: in.Name, Zone: in.Zone, Addr: in.Addr})
		}
	}
	return instances, holders
}

func TestFirstParentsLeadToLeader(t *testing.T) {
	Convey("Following first parents leads from each instance to the leader in a few hops, and no parent has too many children", t, func() {
		for _, size := range [][3]int{{3, 3, 3}, {9, 3, 3}, {9, 3, 5}, {27, 3, 5}, {410, 14, 5}} {
			instances, replicas := newInstances(size[0], size[1], size[2])
			byAddr := map[netip.AddrPort]ctrl.Instance{}
			for _, in := range instances {
				byAddr[in.Addr] = in
			}
			leader := replicas[1].Addr
			children := map[netip.AddrPort]int{}
			for _, in := range instances {
				hops := 0
				for current := in; current.Addr != leader; hops++ {
					So(hops, ShouldBeLessThan, 7)
					parent := Parents(current, instances, replicas, leader)[0]
					if hops == 0 {
						children[parent]++
					}
					current = byAddr[parent]
				}
			}
			for _, n := range children {
				So(n, ShouldBeLessThanOrEqualTo, fanout+size[1]+size[2])
			}
		}
	})
}
