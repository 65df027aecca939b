package cmds

import (
	"net"
	"net/netip"
)

// freePort returns a port of the address that is free now.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}
