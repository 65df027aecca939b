package cmds

import (
	"net"
	"net/netip"
)

// freePort returns ip with a port that was free at the time of the call.
func freePort(ip netip.Addr) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = listener.Close() }()
	return netip.ParseAddrPort(listener.Addr().String())
}
