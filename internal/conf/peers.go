package conf

import (
	"errors"
	"fmt"
	"net/netip"
)

// maxLostReplicas is the largest number of replicas that the log can lose at once. Each additional one needs two more replicas.
const maxLostReplicas = 3

type (
	// Replica is one instance that holds a replica of the log.
	Replica struct {
		Name string         `toml:"name"`
		Zone string         `toml:"zone"`
		Addr netip.AddrPort `toml:"addr"`
	}

	// Peers locates the replicated log.
	Peers struct {
		// Replicas lists the first replicas of the log. It is used in ModeContracts only.
		Replicas []Replica `toml:"replicas"`
		// Seeds are the operators' addresses of some replicas. The other fields, like this one, are used in ModeRoutes only.
		Seeds []netip.AddrPort `toml:"seeds"`
		// MayFound allows the seeds to found a new log.
		MayFound bool `toml:"found"`
		// MaxLost is the number of replicas that may be lost at once.
		MaxLost int `toml:"tolerate"`
	}
)

func (p *Peers) check(mode string) (string, error) {
	if mode == ModeRoutes {
		return p.checkRoutes()
	}
	if len(p.Replicas) == 0 {
		return "replicas", errors.New("is missing or empty")
	}
	if len(p.Replicas)%2 == 0 {
		return "replicas", fmt.Errorf("holds %d entries; an odd number is needed", len(p.Replicas))
	}
	seen := map[string]bool{}
	for _, r := range p.Replicas {
		if r.Name == "" || !r.Addr.IsValid() {
			return "replicas", errors.New("an entry has no name or addr")
		}
		if seen[r.Name] {
			return "replicas", fmt.Errorf("name %q stands twice", r.Name)
		}
		seen[r.Name] = true
	}
	return "", nil
}

func (p *Peers) checkRoutes() (string, error) {
	switch {
	case len(p.Seeds) == 0:
		return "seeds", errors.New("is missing or empty")
	case p.MaxLost < 0 || p.MaxLost > maxLostReplicas:
		return "tolerate", fmt.Errorf("must be 0 to %d", maxLostReplicas)
	}
	return "", nil
}
