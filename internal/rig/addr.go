package rig

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// FreeAddrs returns n different addresses of the IP number, with ports that are free now.
func FreeAddrs(ip string, n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, fault.Wrap("find free port", ip, err)
		}
		// Each stays taken until all are found: a port that was given back may be found again.
		defer func() { _ = l.Close() }()
		a, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return nil, fault.Wrap("find free port", ip, err)
		}
		out = append(out, a)
	}
	return out, nil
}

// FreeAddr returns an address that no instance or stand-in of this process's rigs uses.
func FreeAddr() (netip.AddrPort, error) {
	return freeAddr(otherHost)
}

func freeAddr(n int) (netip.AddrPort, error) {
	as, err := FreeAddrs(Host(n), 1)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return as[0], nil
}

// Host returns a loopback address that no other process uses: a port of a process that is down for a while
// must not be taken by a connection of another.
func Host(n int) string {
	const nets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/nets%nets, 1+pid%nets, n)
}
