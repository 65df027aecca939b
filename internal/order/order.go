package order

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kinds of order.
const (
	Model   Kind = "model"
	Adapter Kind = "adapter"
	Version Kind = "version"
	Role    Kind = "role"
)

type (
	// Kind names what an order changes.
	Kind string

	// Order tells an engine to load or change something; Fence grows with each order of the log.
	Order struct {
		Fence uint64 `json:"fence"`
		Kind  Kind   `json:"kind"`
		Value string `json:"value"`
	}

	// State is what an engine has been ordered to, by kind, with the fence of the last order.
	State struct {
		Fence  uint64          `json:"fence"`
		Values map[Kind]string `json:"values,omitempty"`
	}
)

// UnmarshalJSON decodes and checks an order.
func (o *Order) UnmarshalJSON(data []byte) error {
	type plain Order
	if err := json.Unmarshal(data, (*plain)(o)); err != nil {
		return err
	}
	return o.Check()
}

// Check returns an error that names the first field that is out of bounds.
func (o *Order) Check() error {
	switch o.Kind {
	case Model, Adapter, Version, Role:
	default:
		return fmt.Errorf("order: unknown kind %q", o.Kind)
	}
	if o.Value == "" {
		return errors.New("order: value is missing")
	}
	return nil
}

// Apply records an order as carried out.
func (s *State) Apply(o Order) {
	if s.Values == nil {
		s.Values = map[Kind]string{}
	}
	s.Fence = o.Fence
	s.Values[o.Kind] = o.Value
}
