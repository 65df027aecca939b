package ctrl

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

type (
	// Routing is the routing table in force: the document of its operator, and its parts by kind and key, each with the
	// version at which it last changed, so that only what changed is spread.
	Routing struct {
		Version uint64          `json:"version"`
		Source  []byte          `json:"source"`
		Parts   map[string]Item `json:"parts"`
	}

	// Head is the part of a table that belongs to no route, service or organisation.
	Head struct {
		Version uint64       `json:"version"`
		Limits  table.Limits `json:"limits"`
	}
)

func newRouting() Routing {
	return Routing{Parts: map[string]Item{}}
}

// since returns the parts that changed after a version.
func (r *Routing) since(version uint64) []Item {
	var out []Item
	for _, p := range r.Parts {
		if p.Mod > version {
			out = append(out, p)
		}
	}
	return out
}

// replace puts a table in force unless its version is passed already, which is no error.
func (s *State) replace(r Replace) Result {
	if r.Table.Version <= s.Routing.Version {
		return Result{Code: OK, Version: s.Routing.Version, Reason: "a table of this version or a higher one is in force"}
	}
	if err := r.Table.Check(); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	mod := s.next()
	parts, err := split(&r.Table, mod)
	if err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	old := s.Routing.Parts
	for id, p := range parts {
		if have, ok := old[id]; ok && bytes.Equal(have.Data, p.Data) {
			parts[id] = have
		}
		delete(s.Gone, id)
	}
	for id, p := range old {
		if _, ok := parts[id]; !ok {
			s.tombstone(p.Kind, p.Key)
		}
	}
	s.Routing = Routing{Version: r.Table.Version, Source: r.Source, Parts: parts}
	return Result{Code: OK, Version: r.Table.Version}
}

// split returns the parts of a table under a version.
func split(t *table.Table, mod uint64) (map[string]Item, error) {
	parts := map[string]Item{}
	add := func(k Kind, key string, v any) error {
		data, err := cbor.Marshal(v)
		if err != nil {
			return fmt.Errorf("encode %s: %w", k.id(key), err)
		}
		parts[k.id(key)] = Item{Kind: k, Key: key, Mod: mod, Data: data}
		return nil
	}
	if err := add(KindTable, "", Head{Version: t.Version, Limits: t.Limits}); err != nil {
		return nil, err
	}
	for i := range t.Routes {
		if err := add(KindRoute, t.Routes[i].Host+t.Routes[i].Prefix, t.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range t.Services {
		if err := add(KindService, t.Services[i].Name, t.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range t.Organisations {
		if err := add(KindOrg, t.Organisations[i].Name, t.Organisations[i]); err != nil {
			return nil, err
		}
	}
	return parts, nil
}

func (s *State) announce(e roster.Endpoint) Result {
	if !s.Roster.WouldChange(e) {
		return Result{Code: OK, Version: s.Version}
	}
	mod := s.next()
	delete(s.Gone, KindEndpoint.id(e.ID))
	for _, id := range s.Roster.Announce(e, mod) {
		s.tombstone(KindEndpoint, id)
	}
	return Result{Code: OK, Version: s.Version}
}

func (s *State) exit(x roster.Removal) Result {
	if !s.Roster.Remove(x) {
		return Result{Code: OK, Version: s.Version}
	}
	return Result{Code: OK, Version: s.tombstone(KindEndpoint, x.ID)}
}
