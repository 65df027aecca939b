package endpt

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Kinds of endpoints.
const (
	// Engine is a model engine.
	Engine Kind = "engine"
	// Service is a plain service.
	Service Kind = "service"
)

const (
	// AnnounceInterval is the time between two announcements of an endpoint.
	AnnounceInterval = time.Second
	// StaleAfter is the age of its last announcement from which an endpoint is no longer eligible for requests.
	StaleAfter = 3 * time.Second
	// MaxModels is the largest number of models that one endpoint may announce.
	MaxModels = 64
	// MaxBuildBytes is the length of the longest software version.
	MaxBuildBytes = 128
	// MaxSlots is the largest number of concurrent requests that one endpoint may announce.
	MaxSlots = 4096
)

type (
	// Kind is the kind of an endpoint: a model engine or a plain service.
	Kind string

	// Load is the number of running and waiting requests that an endpoint reports. It is as old as the announcement.
	Load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}

	// CacheEvent reports that a prefix block was added to (Held) or evicted from an endpoint's cache.
	CacheEvent struct {
		Seq   uint64 `json:"seq"`
		Block uint64 `json:"block"`
		Held  bool   `json:"held"`
	}

	// Announcement is one announcement of an endpoint.
	Announcement struct {
		Name string         `json:"name"`
		Addr netip.AddrPort `json:"addr"`
		// Boot identifies the run of the endpoint's process; it changes with each restart.
		Boot   string   `json:"boot"`
		Zone   string   `json:"zone"`
		Kind   Kind     `json:"kind"`
		Models []string `json:"models"`
		// Slots is the number of requests that the endpoint runs concurrently.
		Slots int  `json:"slots"`
		Load  Load `json:"load"`
		// Leaving is set while the endpoint drains.
		Leaving bool `json:"leaving,omitempty"`
		// EnforcesFence is set if the endpoint refuses orders with an old fencing token.
		EnforcesFence bool `json:"fences,omitempty"`
		// Lookup is set if the endpoint can be asked for the outcome of an earlier call.
		Lookup bool `json:"lookup,omitempty"`
		// Build is the version of the endpoint's software; a stream goes on only at an endpoint of the version that began it.
		Build string `json:"build,omitempty"`
		// Events are the changes of the endpoint's prefix cache.
		Events []CacheEvent `json:"events,omitempty"`
	}
)

// UnmarshalJSON decodes and checks an announcement.
func (a *Announcement) UnmarshalJSON(data []byte) error {
	type plain Announcement
	if err := json.Unmarshal(data, (*plain)(a)); err != nil {
		return err
	}
	return a.Check()
}

// Check returns an error that names the first invalid field.
func (a *Announcement) Check() error {
	switch {
	case a.Name == "":
		return errors.New("announcement: name is missing")
	case a.Boot == "":
		return errors.New("announcement: boot is missing")
	case a.Zone == "":
		return errors.New("announcement: zone is missing")
	case !a.Addr.IsValid():
		return errors.New("announcement: addr is missing")
	case a.Kind != Engine && a.Kind != Service:
		return fmt.Errorf("announcement: unknown kind %q", a.Kind)
	case len(a.Models) == 0 || len(a.Models) > MaxModels:
		return fmt.Errorf("announcement: models must hold 1 to %d names", MaxModels)
	case len(a.Build) > MaxBuildBytes:
		return fmt.Errorf("announcement: build is longer than %d bytes", MaxBuildBytes)
	case a.Slots < 1 || a.Slots > MaxSlots:
		return fmt.Errorf("announcement: slots must be 1 to %d", MaxSlots)
	}
	return nil
}
