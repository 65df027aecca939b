package ctrl

import (
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// Kinds of configuration items.
const (
	KindContract     Kind = "contract"
	KindInstance     Kind = "instance"
	KindCrash        Kind = "print"
	KindPart         Kind = "part"
	KindCell         Kind = "cell"
	KindTable        Kind = "table"
	KindRoute        Kind = "route"
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
	KindEndpoint     Kind = "endpoint"
)

// maxTombstones is the number of tombstones kept for instances whose configuration lags behind.
const maxTombstones = 20_000

type (
	// Kind is the type of a configuration item.
	Kind string

	// Item is one entry of the configuration. ModVersion is the version of its last modification, Data its content in CBOR. Deleted
	// marks a tombstone.
	Item struct {
		Kind       Kind   `json:"k"`
		Key        string `json:"n"`
		ModVersion uint64 `json:"v"`
		Data       []byte `json:"d,omitempty"`
		Deleted    bool   `json:"x,omitempty"`
	}

	// View is an immutable snapshot of the configuration at one version.
	View struct {
		Version   uint64
		Contracts *contr.Set
		Instances map[string]Instance
		// Crashes is indexed by request fingerprint.
		Crashes map[string]Crash
		// Parts holds the prompt parts under which endpoints went down.
		Parts blame.Records
		// Cells holds the kind of endpoints of each cell.
		Cells map[string]endpt.Kind
		Table *table.Index
		// Endpoints is indexed by endpoint ID.
		Endpoints map[string]roster.Endpoint
	}
)

func (k Kind) itemID(key string) string {
	return string(k) + "/" + key
}

// tombstone records the deletion of an item under a new version and returns that version.
func (s *State) tombstone(kind Kind, key string) uint64 {
	version := s.nextVersion()
	s.Tombstones[kind.itemID(key)] = version
	if len(s.Tombstones) > maxTombstones {
		s.pruneTombstones()
	}
	return version
}

// pruneTombstones drops the older half of the tombstones. An instance at a version before PrunedVersion gets the full configuration.
func (s *State) pruneTombstones() {
	versions := make([]uint64, 0, len(s.Tombstones))
	for _, version := range s.Tombstones {
		versions = append(versions, version)
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	s.PrunedVersion = versions[len(versions)/2]
	for id, version := range s.Tombstones {
		if version <= s.PrunedVersion {
			delete(s.Tombstones, id)
		}
	}
}

// Since returns the items modified after a version, ordered by version. If full is set, they are the whole configuration and
// replace what the receiver has.
func (s *State) Since(version uint64) (items []Item, full bool) {
	if version < s.PrunedVersion {
		version, full = 0, true
	}
	if version >= s.Version {
		return nil, full
	}
	for name, c := range s.Contracts {
		if c.ModVersion > version {
			items = append(items, newItem(KindContract, name, c.ModVersion, c))
		}
	}
	for name, inst := range s.Instances {
		if inst.ModVersion > version {
			items = append(items, newItem(KindInstance, name, inst.ModVersion, inst.Instance))
		}
	}
	for name, crash := range s.Crashes {
		if crash.ModVersion > version {
			items = append(items, newItem(KindCrash, name, crash.ModVersion, crash))
		}
	}
	for part, modVersion := range s.PartVersions {
		if modVersion > version {
			items = append(items, newItem(KindPart, partKey(part), modVersion, s.Blame.Records[part]))
		}
	}
	for name, lease := range s.Leases {
		if lease.ModVersion > version {
			items = append(items, newItem(KindCell, name, lease.ModVersion, lease.Kind))
		}
	}
	items = append(items, s.Routing.since(version)...)
	for id, entry := range s.Roster.Records {
		if entry.ModVersion > version {
			items = append(items, newItem(KindEndpoint, id, entry.ModVersion, entry.Endpoint))
		}
	}
	for id, modVersion := range s.Tombstones {
		if modVersion > version {
			kind, key, _ := strings.Cut(id, "/")
			items = append(items, Item{Kind: Kind(kind), Key: key, ModVersion: modVersion, Deleted: true})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].ModVersion < items[j].ModVersion })
	return items, full
}

func newItem(kind Kind, key string, modVersion uint64, content any) Item {
	data, _ := cbor.Marshal(content)
	return Item{Kind: kind, Key: key, ModVersion: modVersion, Data: data}
}
