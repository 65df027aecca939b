package order

import "time"

const (
	// Timeout is the timeout of one order to an engine.
	Timeout = 5 * time.Second
	// VerifyInterval is the time between two reads of the state of an engine that doesn't check fencing tokens.
	VerifyInterval = 5 * time.Second
)

// Actions returned by NextAction.
const (
	Idle Action = iota
	ReadState
	SendOrders
	MarkDone
)

type (
	// Action is what an executor does next for an engine: nothing, read the engine's state, send orders, or record in the log that
	// the orders were carried out.
	Action uint8

	// DesiredState is the last value ordered from an engine for each kind. Fence is the fencing token of the last order, DoneFence
	// that of the last order carried out.
	DesiredState struct {
		Fence     uint64
		DoneFence uint64
		Values    map[Kind]string
	}

	// Engine is what an executor knows of an engine. EnforcesFence reports whether the engine refuses orders with an old fencing
	// token. State is the engine's state as read at StateReadAt, or nil.
	Engine struct {
		EnforcesFence bool
		State         *State
		StateReadAt   time.Time
	}
)

// NextAction decides what an executor that has held the lease since heldSince does next for an engine.
//
// An engine that refuses old fencing tokens is safe from a stale lease holder, so orders are sent at once. For any other engine, an
// order of the previous holder may still be in flight: the new holder waits until that holder's lease has expired and its order has
// timed out, reads the engine's state, and sends only the orders that differ from it. It reads the state again every
// VerifyInterval, as a delayed order may still arrive.
func NextAction(now, heldSince time.Time, leaseTerm time.Duration, desired DesiredState, engine Engine) (Action, []Order) {
	if engine.EnforcesFence {
		if desired.DoneFence >= desired.Fence {
			return Idle, nil
		}
		return SendOrders, desired.allOrders()
	}
	if now.Sub(heldSince) < leaseTerm+Timeout {
		return Idle, nil
	}
	if engine.State == nil || now.Sub(engine.StateReadAt) >= VerifyInterval {
		return ReadState, nil
	}
	if orders := desired.ordersTowards(*engine.State); len(orders) > 0 {
		return SendOrders, orders
	}
	if desired.DoneFence < desired.Fence {
		return MarkDone, nil
	}
	return Idle, nil
}

// allOrders returns an order for each kind that has a desired value.
func (d *DesiredState) allOrders() []Order {
	return d.ordersTowards(State{})
}

// ordersTowards returns the orders that turn a state into the desired one, sorted by kind as the kinds are declared.
func (d *DesiredState) ordersTowards(state State) []Order {
	var orders []Order
	for _, kind := range []Kind{Model, Adapter, Version, Role} {
		if value, ok := d.Values[kind]; ok && state.Values[kind] != value {
			orders = append(orders, Order{Fence: d.Fence, Kind: kind, Value: value})
		}
	}
	return orders
}
