package memb

import (
	"fmt"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// population is n instances in z zones, of which the first so many hold the log.
func population(n, z, replicas int) (map[string]ctrl.Instance, []Replica) {
	all := map[string]ctrl.Instance{}
	var reps []Replica
	for i := range n {
		in := ctrl.Instance{
			Name: fmt.Sprintf("i%d", i), Zone: fmt.Sprintf("z%d", i%z), Region: "r",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		}
		all[in.Name] = in
		if i < replicas {
			reps = append(reps, Replica{Name: in.Name, Zone: in.Zone, Addr: in.Addr})
		}
	}
	return all, reps
}

func TestParentsLeadToTheLeader(t *testing.T) {
	Convey("From each instance, first parents lead to the leader within a few steps, and no parent has too many children", t, func() {
		for _, size := range [][3]int{{3, 3, 3}, {9, 3, 3}, {9, 3, 5}, {27, 3, 5}, {410, 14, 5}} {
			all, reps := population(size[0], size[1], size[2])
			byAddr := map[netip.AddrPort]ctrl.Instance{}
			for _, i := range all {
				byAddr[i.Addr] = i
			}
			leader := reps[1].Addr
			kids := map[netip.AddrPort]int{}
			for _, i := range all {
				steps := 0
				for at := i; at.Addr != leader; steps++ {
					So(steps, ShouldBeLessThan, 7)
					next := Parents(at, all, reps, leader)[0]
					if steps == 0 {
						kids[next]++
					}
					at = byAddr[next]
				}
			}
			for _, n := range kids {
				So(n, ShouldBeLessThanOrEqualTo, fanout+size[1]+size[2])
			}
		}
	})
}
