package memb

import (
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// fanout is the number of instances of a zone that pull from one of them.
const fanout = 4

// Parents returns the addresses that self may pull from, best first. A replica pulls from the leader and
// then from other replicas, never from those that pull from replicas, so that no cycle can arise. Others pull
// from their parent in the zone's tree, then its ancestors, and then the replicas, of their zone first.
func Parents(self ctrl.Instance, all map[string]ctrl.Instance, replicas []Replica, leader netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	if leader.IsValid() && leader != self.Addr {
		out = append(out, leader)
	}
	holds := map[string]bool{}
	for _, r := range replicas {
		holds[r.Name] = true
	}
	if holds[self.Name] {
		return append(out, ordered(self, replicas)...)
	}
	out = out[:0]
	zone := zoneOrder(self, all, holds)
	at := indexOf(zone, self.Name)
	for at > 0 {
		at = (at - 1) / fanout
		out = append(out, zone[at].Addr)
	}
	return append(out, ordered(self, replicas)...)
}

// Replica is an instance that holds the log.
type Replica struct {
	Name string         `json:"name"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"`
}

// zoneOrder returns the instances of a zone that hold no log, in an order that all agree on.
func zoneOrder(self ctrl.Instance, all map[string]ctrl.Instance, holds map[string]bool) []ctrl.Instance {
	var zone []ctrl.Instance
	for _, i := range all {
		if i.Zone == self.Zone && i.Region == self.Region && !holds[i.Name] {
			zone = append(zone, i)
		}
	}
	sort.Slice(zone, func(i, j int) bool {
		hi, hj := xxhash.Sum64String(zone[i].Name), xxhash.Sum64String(zone[j].Name)
		return hi < hj || hi == hj && zone[i].Name < zone[j].Name
	})
	return zone
}

func indexOf(zone []ctrl.Instance, name string) int {
	for n, i := range zone {
		if i.Name == name {
			return n
		}
	}
	return 0
}

// ordered returns the replicas of the own zone first, the others by a hash that spreads the pullers.
func ordered(self ctrl.Instance, replicas []Replica) []netip.AddrPort {
	rs := append([]Replica(nil), replicas...)
	weight := func(r Replica) uint64 { return xxhash.Sum64String(self.Name + "/" + r.Name) }
	sort.Slice(rs, func(i, j int) bool {
		if near, other := rs[i].Zone == self.Zone, rs[j].Zone == self.Zone; near != other {
			return near
		}
		return weight(rs[i]) < weight(rs[j])
	})
	var out []netip.AddrPort
	for _, r := range rs {
		if r.Name != self.Name {
			out = append(out, r.Addr)
		}
	}
	return out
}
