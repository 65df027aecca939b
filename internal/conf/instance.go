package conf

import (
	"errors"
	"net/netip"
)

type (
	// Instance holds the name, availability zone and region of the instance, and its folder for the replicated log.
	Instance struct {
		Name    string `toml:"name"`
		Zone    string `toml:"zone"`
		Region  string `toml:"region"`
		DataDir string `toml:"data"`
	}

	// Listen holds the addresses on which the instance listens.
	Listen struct {
		Callers   netip.AddrPort `toml:"callers"`
		Ready     netip.AddrPort `toml:"ready"`
		Operators netip.AddrPort `toml:"operators"`
		Peers     netip.AddrPort `toml:"peers"`
		Metrics   netip.AddrPort `toml:"metrics"`
		// Advertise is the address at which other instances reach Peers, if it is a different one.
		Advertise netip.AddrPort `toml:"advertise"`
	}
)

func (i *Instance) check(string) (string, error) {
	switch {
	case i.Name == "":
		return "name", errors.New("is missing")
	case i.Zone == "":
		return "zone", errors.New("is missing")
	case i.Region == "":
		return "region", errors.New("is missing")
	}
	return "", nil
}

func (l *Listen) check(mode string) (string, error) {
	if mode == ModeRoutes {
		return l.checkRoutes()
	}
	for _, entry := range []struct {
		key  string
		addr netip.AddrPort
	}{{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers}} {
		if !entry.addr.IsValid() {
			return entry.key, errors.New("is missing")
		}
	}
	return "", nil
}

// checkRoutes checks the addresses in ModeRoutes, in which an instance may serve callers, operators or both.
func (l *Listen) checkRoutes() (string, error) {
	switch {
	case !l.Peers.IsValid():
		return "peers", errors.New("is missing")
	case !l.Callers.IsValid() && !l.Operators.IsValid():
		return "callers", errors.New("is missing, and so is operators; one of them is needed")
	case l.Callers.IsValid() && !l.Ready.IsValid():
		return "ready", errors.New("is missing; it is needed together with callers")
	}
	return "", nil
}
