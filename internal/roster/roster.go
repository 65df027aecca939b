package roster

import (
	"errors"
	"net/netip"
)

// States of an endpoint.
const (
	// Ready endpoints take new requests.
	Ready State = "ready"
	// Leaving endpoints finish what they run.
	Leaving State = "leaving"
)

// ErrForeign tells that an announcement names a service that is not in the routing table.
var ErrForeign = errors.New("endpoint: its service is not known")

// maxGone is the number of endpoints remembered after they left, so that their late announcements change nothing.
const maxGone = 20_000

type (
	// State tells whether an endpoint takes new requests.
	State string

	// Endpoint is one start of an endpoint; Born is the moment of the start, in Unix milliseconds on the endpoint's clock.
	Endpoint struct {
		ID      string         `json:"id"`
		Service string         `json:"service"`
		Addr    netip.AddrPort `json:"addr"`
		Zone    string         `json:"zone"`
		Slots   int            `json:"slots"`
		State   State          `json:"state"`
		Born    int64          `json:"born"`
	}

	// Exit tells that an endpoint has left, or was not heard for long; Born as in Endpoint, or 0 for the present start.
	Exit struct {
		ID   string `json:"id"`
		Born int64  `json:"born,omitempty"`
		Lost bool   `json:"lost,omitempty"`
	}

	// Entry is a known endpoint with the version at which it last changed.
	Entry struct {
		Endpoint Endpoint `json:"endpoint"`
		Mod      uint64   `json:"mod"`
	}

	// Roster is the set of known endpoints.
	Roster struct {
		Known map[string]*Entry `json:"known"`
		Gone  map[string]int64  `json:"gone"`
		Order []string          `json:"order"`
		addrs map[netip.AddrPort]string
	}
)

// New returns an empty roster.
func New() *Roster {
	return &Roster{Known: map[string]*Entry{}, Gone: map[string]int64{}, addrs: map[netip.AddrPort]string{}}
}

// Check returns an error for an announcement that names no endpoint to use.
func (e *Endpoint) Check() error {
	switch {
	case e.ID == "":
		return errors.New("endpoint: the ID is missing")
	case e.Service == "":
		return errors.New("endpoint: the service is missing")
	case !e.Addr.IsValid() || e.Addr.Port() == 0:
		return errors.New("endpoint: the address is missing")
	case e.State != Ready && e.State != Leaving:
		return errors.New("endpoint: unknown state")
	case e.Slots < 0:
		return errors.New("endpoint: negative slots")
	}
	return nil
}

// Restored rebuilds what is derived after the roster was decoded.
func (r *Roster) Restored() {
	r.addrs = map[netip.AddrPort]string{}
	for id, e := range r.Known {
		r.addrs[e.Endpoint.Addr] = id
	}
}

// News reports whether an announcement would change the roster.
func (r *Roster) News(e Endpoint) bool {
	if r.outdated(e) {
		return false
	}
	have := r.Known[e.ID]
	if have == nil {
		return true
	}
	if have.Endpoint.Born == e.Born && have.Endpoint.State == Leaving {
		e.State = Leaving
	}
	return have.Endpoint != e
}

// outdated reports whether an announcement comes from a start that has ended: a later one of the same ID or address is
// known, or it has left.
func (r *Roster) outdated(e Endpoint) bool {
	if born, ok := r.Gone[e.ID]; ok && e.Born <= born {
		return true
	}
	if have := r.Known[e.ID]; have != nil && have.Endpoint.Born > e.Born {
		return true
	}
	other, ok := r.addrs[e.Addr]
	return ok && other != e.ID && r.Known[other].Endpoint.Born > e.Born
}

// Announce takes in an announcement under a new version, and returns the IDs of the endpoints that it replaced.
func (r *Roster) Announce(e Endpoint, mod uint64) (replaced []string) {
	if !r.News(e) {
		return nil
	}
	if have := r.Known[e.ID]; have != nil {
		if have.Endpoint.Born == e.Born && have.Endpoint.State == Leaving {
			e.State = Leaving
		}
		delete(r.addrs, have.Endpoint.Addr)
	}
	if other, ok := r.addrs[e.Addr]; ok && other != e.ID {
		r.forget(other, r.Known[other].Endpoint.Born)
		replaced = append(replaced, other)
	}
	r.Known[e.ID] = &Entry{Endpoint: e, Mod: mod}
	r.addrs[e.Addr] = e.ID
	delete(r.Gone, e.ID)
	return replaced
}

// Exit removes an endpoint and reports whether it was there. One that was lost may come back with its next announcement.
func (r *Roster) Exit(x Exit) bool {
	have := r.Known[x.ID]
	if have == nil || x.Born != 0 && x.Born < have.Endpoint.Born {
		return false
	}
	if x.Lost {
		delete(r.Known, x.ID)
		delete(r.addrs, have.Endpoint.Addr)
		return true
	}
	r.forget(x.ID, have.Endpoint.Born)
	return true
}

// forget removes an endpoint and remembers that this start of it has ended.
func (r *Roster) forget(id string, born int64) {
	delete(r.addrs, r.Known[id].Endpoint.Addr)
	delete(r.Known, id)
	r.Gone[id] = born
	r.Order = append(r.Order, id)
	if len(r.Order) > maxGone {
		delete(r.Gone, r.Order[0])
		r.Order = r.Order[1:]
	}
}
