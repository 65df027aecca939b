package ctrl

import (
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// Kinds of configuration items.
const (
	KindContract Kind = "contract"
	KindInstance Kind = "instance"
	KindPrint    Kind = "print"
	KindCell     Kind = "cell"
	KindTable    Kind = "table"
	KindRoute    Kind = "route"
	KindService  Kind = "service"
	KindOrg      Kind = "organisation"
	KindEndpoint Kind = "endpoint"
)

// maxTombstones is the number of tombstones kept for instances whose configuration lags behind.
const maxTombstones = 20_000

type (
	// Kind is the type of a configuration item.
	Kind string

	// Item is one entry of the configuration. Mod is the version of its last modification, Data its content in CBOR. Gone marks
	// the tombstone of a deleted item.
	Item struct {
		Kind Kind   `json:"k"`
		Key  string `json:"n"`
		Mod  uint64 `json:"v"`
		Data []byte `json:"d,omitempty"`
		Gone bool   `json:"x,omitempty"`
	}

	// View is an immutable snapshot of the configuration at one version.
	View struct {
		Version   uint64
		Contracts *contr.Set
		Instances map[string]Instance
		Prints    map[string]Print
		Cells     map[string]endpt.Kind
		Table     *table.Index
		Endpoints map[string]roster.Endpoint
	}
)

func (k Kind) itemID(key string) string {
	return string(k) + "/" + key
}

// tombstone records the deletion of an item under a new version and returns that version.
func (s *State) tombstone(kind Kind, key string) uint64 {
	version := s.nextVersion()
	s.Gone[kind.itemID(key)] = version
	if len(s.Gone) > maxTombstones {
		s.pruneTombstones()
	}
	return version
}

// pruneTombstones drops the older half of the tombstones. An instance at a version before Floor gets the full configuration.
func (s *State) pruneTombstones() {
	versions := make([]uint64, 0, len(s.Gone))
	for _, version := range s.Gone {
		versions = append(versions, version)
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	s.Floor = versions[len(versions)/2]
	for id, version := range s.Gone {
		if version <= s.Floor {
			delete(s.Gone, id)
		}
	}
}

// Since returns the items modified after a version, ordered by version. If full is set, they are the whole configuration and
// replace what the receiver has.
func (s *State) Since(version uint64) (items []Item, full bool) {
	if version < s.Floor {
		version, full = 0, true
	}
	if version >= s.Version {
		return nil, full
	}
	for name, c := range s.Contracts {
		if c.Mod > version {
			items = append(items, newItem(KindContract, name, c.Mod, c))
		}
	}
	for name, inst := range s.Instances {
		if inst.Mod > version {
			items = append(items, newItem(KindInstance, name, inst.Mod, inst.Instance))
		}
	}
	for name, crash := range s.Prints {
		if crash.Mod > version {
			items = append(items, newItem(KindPrint, name, crash.Mod, crash))
		}
	}
	for name, lease := range s.Leases {
		if lease.Mod > version {
			items = append(items, newItem(KindCell, name, lease.Mod, lease.Kind))
		}
	}
	items = append(items, s.Routing.since(version)...)
	for id, entry := range s.Roster.Known {
		if entry.Mod > version {
			items = append(items, newItem(KindEndpoint, id, entry.Mod, entry.Endpoint))
		}
	}
	for id, modVersion := range s.Gone {
		if modVersion > version {
			kind, key, _ := strings.Cut(id, "/")
			items = append(items, Item{Kind: Kind(kind), Key: key, Mod: modVersion, Gone: true})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Mod < items[j].Mod })
	return items, full
}

func newItem(kind Kind, key string, modVersion uint64, content any) Item {
	data, _ := cbor.Marshal(content)
	return Item{Kind: kind, Key: key, Mod: modVersion, Data: data}
}
