package spread

import (
	"maps"
	"slices"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/blame"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

func emptyView() *ctrl.View {
	return &ctrl.View{
		Contracts: contr.NewSet(0, nil), Instances: map[string]ctrl.Instance{},
		Crashes: map[string]ctrl.Crash{}, Parts: blame.Records{}, Cells: map[string]endpt.Kind{},
		Table: table.New(&table.Table{}), Endpoints: map[string]roster.Endpoint{},
	}
}

// buildView builds the view of a version from the old view and the changed items, or from all items if full is set.
func buildView(version uint64, all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item, full bool) *ctrl.View {
	if full {
		old, changed = emptyView(), slices.Collect(maps.Values(all))
	}
	view := &ctrl.View{
		Version: version, Instances: maps.Clone(old.Instances), Crashes: maps.Clone(old.Crashes), Cells: maps.Clone(old.Cells),
		Parts: maps.Clone(old.Parts),
	}
	contracts := map[string]*contr.Contract{}
	for _, item := range changed {
		setItem(view, contracts, item)
	}
	view.Contracts = old.Contracts.With(version, contracts)
	view.Table, view.Endpoints = buildRouting(all, old, changed)
	return view
}

// buildRouting returns the routing table and the endpoints of a view; each is taken from the old view if none of its items changed.
func buildRouting(all map[string]ctrl.Item, old *ctrl.View, changed []ctrl.Item) (*table.Index, map[string]roster.Endpoint) {
	index, endpoints := old.Table, old.Endpoints
	for _, item := range changed {
		switch item.Kind {
		case ctrl.KindTable, ctrl.KindRoute, ctrl.KindService, ctrl.KindOrganisation:
			index = nil
		case ctrl.KindEndpoint:
			endpoints = nil
		}
	}
	if index == nil {
		index = table.New(assembleTable(all))
	}
	if endpoints != nil {
		return index, endpoints
	}
	endpoints = map[string]roster.Endpoint{}
	for _, item := range all {
		var endpoint roster.Endpoint
		if item.Kind == ctrl.KindEndpoint && !item.Deleted && cbor.Unmarshal(item.Data, &endpoint) == nil {
			endpoints[item.Key] = endpoint
		}
	}
	return index, endpoints
}

// assembleTable builds the routing table from its items.
func assembleTable(all map[string]ctrl.Item) *table.Table {
	t := &table.Table{}
	for _, item := range all {
		if item.Deleted {
			continue
		}
		switch item.Kind {
		case ctrl.KindTable:
			var header ctrl.TableHeader
			if cbor.Unmarshal(item.Data, &header) == nil {
				t.Version, t.Limits, t.RequireKeys = header.Version, header.Limits, header.RequireKeys
			}
		case ctrl.KindRoute:
			t.Routes = appendDecoded(t.Routes, item)
		case ctrl.KindService:
			t.Services = appendDecoded(t.Services, item)
		case ctrl.KindOrganisation:
			t.Organisations = appendDecoded(t.Organisations, item)
		}
	}
	return t
}

// appendDecoded decodes an item and appends its value; an item that cannot be decoded is skipped.
func appendDecoded[T any](values []T, item ctrl.Item) []T {
	var value T
	if cbor.Unmarshal(item.Data, &value) != nil {
		return values
	}
	return append(values, value)
}

// setItem applies a changed instance, cell, crash record or record of a prompt part to a view. A changed contract is added to
// contracts, a removed one as nil.
func setItem(view *ctrl.View, contracts map[string]*contr.Contract, item ctrl.Item) {
	switch item.Kind {
	case ctrl.KindContract:
		var c ctrl.VersionedContract
		contracts[item.Key] = nil
		if !item.Deleted && cbor.Unmarshal(item.Data, &c) == nil {
			contracts[item.Key] = &c.Contract
		}
	case ctrl.KindInstance:
		var instance ctrl.Instance
		delete(view.Instances, item.Key)
		if !item.Deleted && cbor.Unmarshal(item.Data, &instance) == nil {
			view.Instances[item.Key] = instance
		}
	case ctrl.KindCell:
		var kind endpt.Kind
		if cbor.Unmarshal(item.Data, &kind) == nil {
			view.Cells[item.Key] = kind
		}
	case ctrl.KindCrash:
		var crash ctrl.Crash
		delete(view.Crashes, item.Key)
		if !item.Deleted && cbor.Unmarshal(item.Data, &crash) == nil {
			view.Crashes[item.Key] = crash
		}
	case ctrl.KindPart:
		var rec blame.Record
		part, err := strconv.ParseUint(item.Key, 16, 64)
		delete(view.Parts, part)
		if err == nil && !item.Deleted && cbor.Unmarshal(item.Data, &rec) == nil {
			view.Parts[part] = rec
		}
	}
}
