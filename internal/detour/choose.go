package detour

import (
	"net/netip"
	"time"
)

// avoidTime is how long an instance is avoided that could not send a request.
const avoidTime = 2 * time.Second

type (
	// Instance is one that requests may be sent by.
	Instance struct {
		Zone string
		Addr netip.AddrPort
	}

	// Chooser chooses the instances that requests are sent by. It is not safe for concurrent use.
	Chooser struct {
		avoided map[netip.AddrPort]time.Time
	}
)

// NewChooser returns a chooser that avoids no instance.
func NewChooser() *Chooser {
	return &Chooser{avoided: map[netip.AddrPort]time.Time{}}
}

// Avoid keeps an instance from being chosen for 2 s.
func (c *Chooser) Avoid(now time.Time, addr netip.AddrPort) {
	for other, until := range c.avoided {
		if !now.Before(until) {
			delete(c.avoided, other)
		}
	}
	c.avoided[addr] = now.Add(avoidTime)
}

// Choose returns one of the instances, by random from 0 to 1, so that the load is spread over them. Those in the availability zone are
// chosen first, as traffic between zones costs more. It returns false if none is left.
func (c *Chooser) Choose(now time.Time, instances []Instance, zone string, random float64) (netip.AddrPort, bool) {
	var near, far []netip.AddrPort
	for _, inst := range instances {
		switch until, avoided := c.avoided[inst.Addr]; {
		case avoided && now.Before(until):
		case inst.Zone == zone:
			near = append(near, inst.Addr)
		default:
			far = append(far, inst.Addr)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return netip.AddrPort{}, false
	}
	return near[min(int(random*float64(len(near))), len(near)-1)], true
}
