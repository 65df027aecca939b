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
		Operators netip.AddrPort `toml:"operators"`
		Peers     netip.AddrPort `toml:"peers"`
		Advertise netip.AddrPort `toml:"advertise"`
	}
)

func (i *Instance) check() (string, error) {
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

func (l *Listen) check() (string, error) {
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
