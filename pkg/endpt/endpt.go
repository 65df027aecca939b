package endpt

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Kinds of endpoint.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

const (
	// Interval is the time between two announcements of an endpoint.
	Interval = time.Second
	// Stale is the age at which an announcement no longer makes its endpoint eligible.
	Stale = 3 * time.Second
	// MaxModels is the largest number of models that one endpoint may announce.
	MaxModels = 64
	// MaxSlots is the largest concurrency that one endpoint may announce, in requests.
	MaxSlots = 4096
)

type (
	// Kind tells a model engine from a plain service.
	Kind string

	// Load is an endpoint's own report of its load, which lags behind.
	Load struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}

	// CacheEvent tells that a prefix block entered or left an endpoint's cache.
	CacheEvent struct {
		Seq   uint64 `json:"seq"`
		Block uint64 `json:"block"`
		Held  bool   `json:"held"`
	}

	// Announce is one announcement of an endpoint.
	Announce struct {
		Name    string         `json:"name"`
		Addr    netip.AddrPort `json:"addr"`
		Boot    string         `json:"boot"`
		Zone    string         `json:"zone"`
		Kind    Kind           `json:"kind"`
		Models  []string       `json:"models"`
		Slots   int            `json:"slots"`
		Load    Load           `json:"load"`
		Leaving bool           `json:"leaving,omitempty"`
		Fences  bool           `json:"fences,omitempty"`
		Lookup  bool           `json:"lookup,omitempty"`
		Events  []CacheEvent   `json:"events,omitempty"`
	}
)

// UnmarshalJSON decodes and checks an announcement.
func (a *Announce) UnmarshalJSON(data []byte) error {
	type plain Announce
	if err := json.Unmarshal(data, (*plain)(a)); err != nil {
		return err
	}
	return a.Check()
}

// Check returns an error that names the first field that is out of bounds.
func (a *Announce) Check() error {
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
	case a.Slots < 1 || a.Slots > MaxSlots:
		return fmt.Errorf("announcement: slots must be 1 to %d", MaxSlots)
	}
	return nil
}
