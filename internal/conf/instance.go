package conf

import (
	"errors"
	"net/netip"
)

type (
	// Instance names the instance and says where it stands.
	Instance struct {
		Name   string `toml:"name"`
		Zone   string `toml:"zone"`
		Region string `toml:"region"`
		Data   string `toml:"data"`
	}

	// Listen holds the addresses that the instance serves on.
	Listen struct {
		Callers   netip.AddrPort `toml:"callers"`
		Ready     netip.AddrPort `toml:"ready"`
		Operators netip.AddrPort `toml:"operators"`
		Peers     netip.AddrPort `toml:"peers"`
		Metrics   netip.AddrPort `toml:"metrics"`
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
	for _, a := range []struct {
		key  string
		addr netip.AddrPort
	}{{"callers", l.Callers}, {"operators", l.Operators}, {"peers", l.Peers}} {
		if !a.addr.IsValid() {
			return a.key, errors.New("is missing")
		}
	}
	return "", nil
}

// checkRoutes checks the addresses of an instance that may serve callers, operators or both.
func (l *Listen) checkRoutes() (string, error) {
	switch {
	case !l.Peers.IsValid():
		return "peers", errors.New("is missing")
	case !l.Callers.IsValid() && !l.Operators.IsValid():
		return "callers", errors.New("is missing, and so is operators")
	case l.Callers.IsValid() && !l.Ready.IsValid():
		return "ready", errors.New("is missing beside callers")
	}
	return "", nil
}
