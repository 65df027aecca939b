package roster

import (
	"errors"
	"net/netip"
)

// States of an endpoint.
const (
	// Ready endpoints accept new requests.
	Ready State = "ready"
	// Leaving endpoints finish their requests and accept no new ones.
	Leaving State = "leaving"
)

// ErrUnknownService is returned for an announcement of a service that is not in the routing table.
var ErrUnknownService = errors.New("endpoint: its service is not known")

// maxDeparted is the maximum number of departed endpoints that are remembered, so that their late announcements are ignored.
const maxDeparted = 20_000

// MaxBuildBytes is the length of the longest software version of an endpoint.
const MaxBuildBytes = 128

type (
	// State indicates whether an endpoint accepts new requests.
	State string

	// Endpoint describes one process start of an endpoint. StartedAtMS is the time of the start in Unix milliseconds, by the
	// endpoint's clock. Slots is the number of requests that it runs at once. Build is the version of its software, or empty if that
	// is unknown. Spot is set for an endpoint that costs less and may be reclaimed. LeavesMS is the notice of a reclaim in milliseconds:
	// the time left when the endpoint was first reported to leave, or 0.
	Endpoint struct {
		ID          string         `json:"id"`
		Service     string         `json:"service"`
		Addr        netip.AddrPort `json:"addr"`
		Zone        string         `json:"zone"`
		Slots       int            `json:"slots"`
		State       State          `json:"state"`
		StartedAtMS int64          `json:"born"`
		Build       string         `json:"build,omitempty"`
		Spot        bool           `json:"spot,omitempty"`
		LeavesMS    int64          `json:"leaves_ms,omitempty"`
	}

	// Removal reports that an endpoint has left, or, with Lost set, that it has not announced itself for a long time. StartedAtMS is
	// the start time as in Endpoint, or 0 for the current start.
	Removal struct {
		ID          string `json:"id"`
		StartedAtMS int64  `json:"born,omitempty"`
		Lost        bool   `json:"lost,omitempty"`
	}

	// Record is a known endpoint with the configuration version of its last change.
	Record struct {
		Endpoint   Endpoint `json:"endpoint"`
		ModVersion uint64   `json:"mod"`
	}

	// Roster is the set of known endpoints by ID. Departed holds the start times of departed endpoints by ID, and DepartureOrder
	// their IDs in the order of departure.
	Roster struct {
		Records        map[string]*Record `json:"known"`
		Departed       map[string]int64   `json:"gone"`
		DepartureOrder []string           `json:"order"`
		byAddr         map[netip.AddrPort]string
	}
)

// New returns an empty Roster.
func New() *Roster {
	return &Roster{Records: map[string]*Record{}, Departed: map[string]int64{}, byAddr: map[netip.AddrPort]string{}}
}

// Check returns an error if an announcement lacks a required field or has an invalid one.
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
	case e.LeavesMS < 0:
		return errors.New("endpoint: negative time until it leaves")
	case len(e.Build) > MaxBuildBytes:
		return errors.New("endpoint: the software version is too long")
	}
	return nil
}

// RebuildIndex rebuilds the index by address; it must be called after decoding a roster.
func (r *Roster) RebuildIndex() {
	r.byAddr = map[netip.AddrPort]string{}
	for id, rec := range r.Records {
		r.byAddr[rec.Endpoint.Addr] = id
	}
}

// Steps returns the announcements to commit, in order, for one that a replica received; there are none if it changes nothing. An
// announcement without a software version or the mark of a spot endpoint may have come through a replica whose build drops them; as a
// start never changes them, the known ones are kept. One that only tells these changes nothing for replicas of such a build, which would
// number all later changes differently; so a step comes before it that all of them count, and that it undoes.
func (r *Roster) Steps(e Endpoint) []Endpoint {
	known := r.Records[e.ID]
	if known != nil && known.Endpoint.StartedAtMS == e.StartedAtMS {
		if e.Build == "" {
			e.Build = known.Endpoint.Build
		}
		e.Spot = e.Spot || known.Endpoint.Spot
	}
	if !r.WouldChange(e) {
		return nil
	}
	if known != nil {
		older := e
		older.Build, older.Spot = known.Endpoint.Build, known.Endpoint.Spot
		if older != e && !r.WouldChange(older) {
			counted := e
			counted.Slots++
			return []Endpoint{counted, e}
		}
	}
	return []Endpoint{e}
}

// WouldChange reports whether an announcement would change the roster.
func (r *Roster) WouldChange(e Endpoint) bool {
	if r.outdated(e) {
		return false
	}
	known := r.Records[e.ID]
	if known == nil {
		return true
	}
	return known.Endpoint != known.Endpoint.next(e)
}

// next returns what an announcement makes of the known endpoint. An endpoint that leaves does not come back within a start, and its first
// notice stays: the notices that follow count down, and a commit for each of them would tell nothing new.
func (e *Endpoint) next(announced Endpoint) Endpoint {
	switch {
	case e.StartedAtMS == announced.StartedAtMS && e.State == Leaving:
		announced.State, announced.LeavesMS = Leaving, e.LeavesMS
	case announced.State != Leaving:
		announced.LeavesMS = 0
	}
	return announced
}

// outdated reports whether an announcement comes from a start that has ended: that start has left, or a later one with the same
// ID or address is known.
func (r *Roster) outdated(e Endpoint) bool {
	if departedMs, ok := r.Departed[e.ID]; ok && e.StartedAtMS <= departedMs {
		return true
	}
	if known := r.Records[e.ID]; known != nil && known.Endpoint.StartedAtMS > e.StartedAtMS {
		return true
	}
	other, ok := r.byAddr[e.Addr]
	return ok && other != e.ID && r.Records[other].Endpoint.StartedAtMS > e.StartedAtMS
}

// Announce applies an announcement under a new configuration version. It returns the IDs of the endpoints that it replaced, which
// had the same address.
func (r *Roster) Announce(e Endpoint, version uint64) (replaced []string) {
	if !r.WouldChange(e) {
		return nil
	}
	if known := r.Records[e.ID]; known != nil {
		e = known.Endpoint.next(e)
		delete(r.byAddr, known.Endpoint.Addr)
	}
	if other, ok := r.byAddr[e.Addr]; ok && other != e.ID {
		r.retire(other, r.Records[other].Endpoint.StartedAtMS)
		replaced = append(replaced, other)
	}
	r.Records[e.ID] = &Record{Endpoint: e, ModVersion: version}
	r.byAddr[e.Addr] = e.ID
	delete(r.Departed, e.ID)
	return replaced
}

// Remove removes an endpoint and reports whether it was known. A lost endpoint may return with its next announcement; one that
// left may only return with a later start.
func (r *Roster) Remove(removal Removal) bool {
	known := r.Records[removal.ID]
	if known == nil || removal.StartedAtMS != 0 && removal.StartedAtMS < known.Endpoint.StartedAtMS {
		return false
	}
	if removal.Lost {
		delete(r.Records, removal.ID)
		delete(r.byAddr, known.Endpoint.Addr)
		return true
	}
	r.retire(removal.ID, known.Endpoint.StartedAtMS)
	return true
}

// retire removes an endpoint and remembers that this start of it has ended, for up to maxDeparted endpoints.
func (r *Roster) retire(id string, startedMs int64) {
	delete(r.byAddr, r.Records[id].Endpoint.Addr)
	delete(r.Records, id)
	r.Departed[id] = startedMs
	r.DepartureOrder = append(r.DepartureOrder, id)
	if len(r.DepartureOrder) > maxDeparted {
		delete(r.Departed, r.DepartureOrder[0])
		r.DepartureOrder = r.DepartureOrder[1:]
	}
}
