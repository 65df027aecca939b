package order

import "time"

const (
	// Timeout bounds one order to an engine.
	Timeout = 5 * time.Second
	// Verify is the time between two looks at an engine that takes orders from anyone.
	Verify = 5 * time.Second
)

// Actions of a Step.
const (
	Rest Action = iota
	Look
	Send
	Settle
)

type (
	// Action is what an executor does next for one engine.
	Action uint8

	// DesiredState is what an engine was ordered to last, and the fence that was carried out.
	DesiredState struct {
		Fence uint64
		Done  uint64
		Want  map[Kind]string
	}

	// Engine is what an executor knows of one engine; Seen is its state as read at SeenAt.
	Engine struct {
		Fences bool
		Seen   *State
		SeenAt time.Time
	}
)

// Step decides what a holder of the lease, which it got at held, does for one engine.
//
// An engine that refuses old fences is safe from a stale holder, so it is ordered at once. To one that does not, an
// order of an earlier holder may still be under way: the new holder waits out that holder's lease and the order's
// timeout, reads the state back, and orders only what differs. It looks again at times, as an order may come late.
func Step(now, held time.Time, lease time.Duration, w DesiredState, e Engine) (Action, []Order) {
	if e.Fences {
		if w.Done >= w.Fence {
			return Rest, nil
		}
		return Send, w.all()
	}
	if now.Sub(held) < lease+Timeout {
		return Rest, nil
	}
	if e.Seen == nil || now.Sub(e.SeenAt) >= Verify {
		return Look, nil
	}
	if diff := w.missing(*e.Seen); len(diff) > 0 {
		return Send, diff
	}
	if w.Done < w.Fence {
		return Settle, nil
	}
	return Rest, nil
}

// all returns an order for each kind that is wished.
func (w *DesiredState) all() []Order {
	return w.missing(State{})
}

// missing returns the orders that make a state the wished one, in the order of their kinds.
func (w *DesiredState) missing(s State) []Order {
	var out []Order
	for _, k := range []Kind{Model, Adapter, Version, Role} {
		if v, ok := w.Want[k]; ok && s.Values[k] != v {
			out = append(out, Order{Fence: w.Fence, Kind: k, Value: v})
		}
	}
	return out
}
