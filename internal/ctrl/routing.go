package ctrl

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

type (
	// Routing is the current routing table: the operator's document, and the table split into items by kind and key. Each item
	// has the version of its last modification, so that only modified items are distributed.
	Routing struct {
		Version uint64          `json:"version"`
		Source  []byte          `json:"source"`
		Items   map[string]Item `json:"parts"`
	}

	// TableHeader is the part of a routing table that belongs to no route, service or organisation.
	TableHeader struct {
		Version     uint64       `json:"version"`
		Limits      table.Limits `json:"limits"`
		RequireKeys bool         `json:"require_keys,omitempty"`
	}
)

func newRouting() Routing {
	return Routing{Items: map[string]Item{}}
}

// since returns the items modified after a version.
func (r *Routing) since(version uint64) []Item {
	var out []Item
	for _, item := range r.Items {
		if item.ModVersion > version {
			out = append(out, item)
		}
	}
	return out
}

// replaceTable replaces the routing table. A table whose version is not higher than the current one is ignored without an error.
func (s *State) replaceTable(cmd ReplaceTable) Result {
	if cmd.Table.Version <= s.Routing.Version {
		return Result{Code: OK, Version: s.Routing.Version, Reason: "a table of this version or a higher one is in force"}
	}
	if err := cmd.Table.Check(); err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	version := s.nextVersion()
	items, err := splitTable(&cmd.Table, version)
	if err != nil {
		return Result{Code: Invalid, Reason: err.Error()}
	}
	old := s.Routing.Items
	for id, item := range items {
		if existing, ok := old[id]; ok && bytes.Equal(existing.Data, item.Data) {
			items[id] = existing
		}
		delete(s.Tombstones, id)
	}
	for id, oldItem := range old {
		if _, ok := items[id]; !ok {
			s.tombstone(oldItem.Kind, oldItem.Key)
		}
	}
	s.Routing = Routing{Version: cmd.Table.Version, Source: cmd.Source, Items: items}
	return Result{Code: OK, Version: cmd.Table.Version}
}

// splitTable splits a table into items with the given version, by item ID.
func splitTable(t *table.Table, modVersion uint64) (map[string]Item, error) {
	items := map[string]Item{}
	add := func(kind Kind, key string, content any) error {
		data, err := cbor.Marshal(content)
		if err != nil {
			return fmt.Errorf("encode %s: %w", kind.itemID(key), err)
		}
		items[kind.itemID(key)] = Item{Kind: kind, Key: key, ModVersion: modVersion, Data: data}
		return nil
	}
	if err := add(KindTable, "", TableHeader{Version: t.Version, Limits: t.Limits, RequireKeys: t.RequireKeys}); err != nil {
		return nil, err
	}
	for i := range t.Routes {
		if err := add(KindRoute, t.Routes[i].Host+t.Routes[i].PathPrefix, t.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range t.Services {
		if err := add(KindService, t.Services[i].Name, t.Services[i]); err != nil {
			return nil, err
		}
	}
	for i := range t.Organisations {
		if err := add(KindOrganisation, t.Organisations[i].Name, t.Organisations[i]); err != nil {
			return nil, err
		}
	}
	return items, nil
}

func (s *State) announceEndpoint(ep roster.Endpoint) Result {
	if !s.Roster.WouldChange(ep) {
		return Result{Code: OK, Version: s.Version}
	}
	version := s.nextVersion()
	delete(s.Tombstones, KindEndpoint.itemID(ep.ID))
	for _, id := range s.Roster.Announce(ep, version) {
		s.tombstone(KindEndpoint, id)
	}
	return Result{Code: OK, Version: s.Version}
}

func (s *State) removeEndpoint(cmd roster.Removal) Result {
	if !s.Roster.Remove(cmd) {
		return Result{Code: OK, Version: s.Version}
	}
	return Result{Code: OK, Version: s.tombstone(KindEndpoint, cmd.ID)}
}
