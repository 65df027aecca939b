package rig

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// FreeAddrs returns n different addresses with the given host IP and ports that are free at the time of the call.
func FreeAddrs(host string, n int) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for range n {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, fault.Wrap("find free port", host, err)
		}
		// The listeners stay open until all ports are chosen, as a released port may be chosen again.
		defer func() { _ = listener.Close() }()
		addr, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return nil, fault.Wrap("find free port", host, err)
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// FreeAddr returns a free address on a host that the instances and simulated endpoints of this process's rigs don't use.
func FreeAddr() (netip.AddrPort, error) {
	return freeAddr(sharedHost)
}

func freeAddr(hostNumber int) (netip.AddrPort, error) {
	addrs, err := FreeAddrs(LoopbackHost(hostNumber), 1)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return addrs[0], nil
}

// LoopbackHost returns a loopback IP derived from the ID of this process, with hostNumber as its last octet. As processes don't share
// hosts, a connection of another process can't take the port of an instance that is down for a while.
func LoopbackHost(hostNumber int) string {
	const octetValues = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octetValues%octetValues, 1+pid%octetValues, hostNumber)
}
