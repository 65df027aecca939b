package conf

import (
	"errors"
	"fmt"
	"net/netip"
)

type (
	// Replica is one instance that holds the replicated log.
	Replica struct {
		Name string         `toml:"name"`
		Zone string         `toml:"zone"`
		Addr netip.AddrPort `toml:"addr"`
	}

	// Peers lists the instances that first hold the replicated log.
	Peers struct {
		Replicas []Replica `toml:"replicas"`
	}
)

func (p *Peers) check() (string, error) {
	if len(p.Replicas) == 0 {
		return "replicas", errors.New("is missing or empty")
	}
	if len(p.Replicas)%2 == 0 {
		return "replicas", fmt.Errorf("holds %d entries; an odd number is needed", len(p.Replicas))
	}
	seen := map[string]bool{}
	for _, r := range p.Replicas {
		if r.Name == "" || !r.Addr.IsValid() {
			return "replicas", errors.New("an entry lacks name or addr")
		}
		if seen[r.Name] {
			return "replicas", fmt.Errorf("name %q stands twice", r.Name)
		}
		seen[r.Name] = true
	}
	return "", nil
}
