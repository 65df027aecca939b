package memb

import (
	"net/netip"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// fanout is the number of instances that pull from the same parent within a zone.
const fanout = 4

// Parents returns the addresses that self may pull from, best first. A replica pulls from the leader, then from other replicas,
// and never from other instances, so that no cycle can arise. Other instances pull from their parent in the zone's tree, then
// from its ancestors, then from the replicas, those of their own zone first.
func Parents(self ctrl.Instance, instances map[string]ctrl.Instance, replicas []Replica, leader netip.AddrPort) []netip.AddrPort {
	var addrs []netip.AddrPort
	if leader.IsValid() && leader != self.Addr {
		addrs = append(addrs, leader)
	}
	isReplica := map[string]bool{}
	for _, r := range replicas {
		isReplica[r.Name] = true
	}
	if isReplica[self.Name] {
		return append(addrs, replicaAddrs(self, replicas)...)
	}
	addrs = addrs[:0]
	inZone := zoneInstances(self, instances, isReplica)
	pos := indexOf(inZone, self.Name)
	for pos > 0 {
		pos = (pos - 1) / fanout
		addrs = append(addrs, inZone[pos].Addr)
	}
	return append(addrs, replicaAddrs(self, replicas)...)
}

// Replica is an instance that holds a replica of the log.
type Replica struct {
	Name string         `json:"name"`
	Zone string         `json:"zone"`
	Addr netip.AddrPort `json:"addr"`
}

// zoneInstances returns the instances in the zone of self that hold no replica, in an order that is the same on all instances.
func zoneInstances(self ctrl.Instance, instances map[string]ctrl.Instance, isReplica map[string]bool) []ctrl.Instance {
	var inZone []ctrl.Instance
	for _, in := range instances {
		if in.Zone == self.Zone && in.Region == self.Region && !isReplica[in.Name] {
			inZone = append(inZone, in)
		}
	}
	sort.Slice(inZone, func(i, j int) bool {
		hi, hj := xxhash.Sum64String(inZone[i].Name), xxhash.Sum64String(inZone[j].Name)
		return hi < hj || hi == hj && inZone[i].Name < inZone[j].Name
	})
	return inZone
}

// indexOf returns the position of the named instance, or 0 if it is not listed yet: like the root, it then pulls from the replicas.
func indexOf(instances []ctrl.Instance, name string) int {
	for pos, in := range instances {
		if in.Name == name {
			return pos
		}
	}
	return 0
}

// replicaAddrs returns the addresses of the other replicas, those in this instance's zone first, and within a zone in the order of
// a hash that distributes the instances over the replicas.
func replicaAddrs(self ctrl.Instance, replicas []Replica) []netip.AddrPort {
	sorted := append([]Replica(nil), replicas...)
	hash := func(r Replica) uint64 { return xxhash.Sum64String(self.Name + "/" + r.Name) }
	sort.Slice(sorted, func(i, j int) bool {
		if iLocal, jLocal := sorted[i].Zone == self.Zone, sorted[j].Zone == self.Zone; iLocal != jLocal {
			return iLocal
		}
		return hash(sorted[i]) < hash(sorted[j])
	})
	var addrs []netip.AddrPort
	for _, r := range sorted {
		if r.Name != self.Name {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs
}
