package order

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Kinds of orders.
const (
	Model   Kind = "model"
	Adapter Kind = "adapter"
	Version Kind = "version"
	Role    Kind = "role"
)

type (
	// Kind is the setting of an engine that an order changes.
	Kind string

	// Order tells an engine to set Kind to Value. Fence is a fencing token, which grows with each order in the log.
	Order struct {
		Fence uint64 `json:"fence"`
		Kind  Kind   `json:"kind"`
		Value string `json:"value"`
	}

	// State holds the values that an engine has applied, by kind, and the fencing token of the last order.
	State struct {
		Fence  uint64          `json:"fence"`
		Values map[Kind]string `json:"values,omitempty"`
	}
)

// UnmarshalJSON decodes an order and checks it.
func (o *Order) UnmarshalJSON(data []byte) error {
	type plain Order
	if err := json.Unmarshal(data, (*plain)(o)); err != nil {
		return err
	}
	return o.Check()
}

// Check returns an error that names the first invalid field.
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

// Apply records that an order was carried out.
func (s *State) Apply(o Order) {
	if s.Values == nil {
		s.Values = map[Kind]string{}
	}
	s.Fence = o.Fence
	s.Values[o.Kind] = o.Value
}
