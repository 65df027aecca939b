package order

import "time"

const (
	// Timeout is the timeout of one order to an engine.
	Timeout = 5 * time.Second
	// Verify is the interval at which the state of an engine is read that doesn't check fencing tokens.
	Verify = 5 * time.Second
)

// Actions returned by Step.
const (
	Rest Action = iota
	Look
	Send
	Settle
)

type (
	// Action is what an executor does next for an engine: nothing, read the engine's state, send orders, or record in the log that
	// the orders were carried out.
	Action uint8

	// DesiredState is the last value ordered from an engine for each kind. Fence is the fencing token of the last order, Done that
	// of the last order carried out.
	DesiredState struct {
		Fence uint64
		Done  uint64
		Want  map[Kind]string
	}

	// Engine is what an executor knows of an engine. Fences reports whether the engine refuses orders with an old fencing token. Seen
	// is the engine's state as read at SeenAt, or nil.
	Engine struct {
		Fences bool
		Seen   *State
		SeenAt time.Time
	}
)

// Step decides what an executor that has held the lease since heldSince does next for an engine.
//
// An engine that refuses old fencing tokens is safe from a stale lease holder, so orders are sent at once. For any other engine, an
// order of the previous holder may still be in flight: the new holder waits until that holder's lease has expired and its order has
// timed out, reads the engine's state, and sends only the orders that differ from it. It reads the state again at the interval
// Verify, as a delayed order may still arrive.
func Step(now, heldSince time.Time, leaseTerm time.Duration, desired DesiredState, engine Engine) (Action, []Order) {
	if engine.Fences {
		if desired.Done >= desired.Fence {
			return Rest, nil
		}
		return Send, desired.allOrders()
	}
	if now.Sub(heldSince) < leaseTerm+Timeout {
		return Rest, nil
	}
	if engine.Seen == nil || now.Sub(engine.SeenAt) >= Verify {
		return Look, nil
	}
	if orders := desired.ordersTowards(*engine.Seen); len(orders) > 0 {
		return Send, orders
	}
	if desired.Done < desired.Fence {
		return Settle, nil
	}
	return Rest, nil
}

// allOrders returns an order for each kind that has a desired value.
func (d *DesiredState) allOrders() []Order {
	return d.ordersTowards(State{})
}

// ordersTowards returns the orders that turn a state into the desired one, sorted by kind as the kinds are declared.
func (d *DesiredState) ordersTowards(state State) []Order {
	var orders []Order
	for _, kind := range []Kind{Model, Adapter, Version, Role} {
		if value, ok := d.Want[kind]; ok && state.Values[kind] != value {
			orders = append(orders, Order{Fence: d.Fence, Kind: kind, Value: value})
		}
	}
	return orders
}
