package conf

import (
	"errors"
	"fmt"
	"net/netip"
)

// maxTolerate is the largest number of replicas that the log can lose at once: each one more costs two more replicas.
const maxTolerate = 3

type (
	// Replica is one instance that holds the replicated log.
	Replica struct {
		Name string         `toml:"name"`
		Zone string         `toml:"zone"`
		Addr netip.AddrPort `toml:"addr"`
	}

	// Peers tells where the replicated log is: by the list of the instances that first hold it or, with routes, by Seeds,
	// operators' addresses of some of them. Found lets the seeds found the log; Tolerate is the number of replicas that may
	// be lost at once.
	Peers struct {
		Replicas []Replica        `toml:"replicas"`
		Seeds    []netip.AddrPort `toml:"seeds"`
		Found    bool             `toml:"found"`
		Tolerate int              `toml:"tolerate"`
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
			return "replicas", errors.New("an entry lacks name or addr")
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
	case p.Tolerate < 0 || p.Tolerate > maxTolerate:
		return "tolerate", fmt.Errorf("must be 0 to %d", maxTolerate)
	}
	return "", nil
}
