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

// Kinds of configuration item.
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

// keptGone is the number of removed items that are remembered for instances that lag behind.
const keptGone = 20_000

type (
	// Kind names what a configuration item holds.
	Kind string

	// Item is one part of the configuration, as of the version Mod.
	Item struct {
		Kind Kind   `json:"k"`
		Key  string `json:"n"`
		Mod  uint64 `json:"v"`
		Data []byte `json:"d,omitempty"`
		Gone bool   `json:"x,omitempty"`
	}

	// View is an immutable configuration at one version.
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

func (k Kind) id(key string) string {
	return string(k) + "/" + key
}

// tombstone records a removed item under a new version.
func (s *State) tombstone(k Kind, key string) uint64 {
	mod := s.next()
	s.Gone[k.id(key)] = mod
	if len(s.Gone) > keptGone {
		s.pruneGone()
	}
	return mod
}

// pruneGone forgets the older half of the removed items; who lags behind them gets everything anew.
func (s *State) pruneGone() {
	mods := make([]uint64, 0, len(s.Gone))
	for _, m := range s.Gone {
		mods = append(mods, m)
	}
	sort.Slice(mods, func(i, j int) bool { return mods[i] < mods[j] })
	s.Floor = mods[len(mods)/2]
	for id, m := range s.Gone {
		if m <= s.Floor {
			delete(s.Gone, id)
		}
	}
}

// Since returns the items changed after a version, in order; full tells that they are the whole configuration.
func (s *State) Since(version uint64) (items []Item, full bool) {
	if version < s.Floor {
		version, full = 0, true
	}
	if version >= s.Version {
		return nil, full
	}
	for name, c := range s.Contracts {
		if c.Mod > version {
			items = append(items, item(KindContract, name, c.Mod, c))
		}
	}
	for name, i := range s.Instances {
		if i.Mod > version {
			items = append(items, item(KindInstance, name, i.Mod, i.Instance))
		}
	}
	for name, p := range s.Prints {
		if p.Mod > version {
			items = append(items, item(KindPrint, name, p.Mod, p))
		}
	}
	for name, l := range s.Leases {
		if l.Mod > version {
			items = append(items, item(KindCell, name, l.Mod, l.Kind))
		}
	}
	items = append(items, s.Routing.since(version)...)
	for id, e := range s.Roster.Records {
		if e.Mod > version {
			items = append(items, item(KindEndpoint, id, e.Mod, e.Endpoint))
		}
	}
	for id, mod := range s.Gone {
		if mod > version {
			kind, key, _ := strings.Cut(id, "/")
			items = append(items, Item{Kind: Kind(kind), Key: key, Mod: mod, Gone: true})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Mod < items[j].Mod })
	return items, full
}

func item(k Kind, key string, mod uint64, v any) Item {
	data, _ := cbor.Marshal(v)
	return Item{Kind: k, Key: key, Mod: mod, Data: data}
}
