package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/order"
)

// applyOrder records an order under a new fencing token, or that the engine's orders were carried out. An order ID that was applied
// before returns the earlier result.
func (s *State) applyOrder(cmd Order) Result {
	desired := s.DesiredStates[cmd.Endpoint]
	if cmd.DoneFence > 0 {
		if desired != nil && cmd.DoneFence == desired.Fence {
			desired.DoneFence = cmd.DoneFence
		}
		return Result{Code: OK}
	}
	if res, ok := s.ChangeResults.Results[cmd.ID]; ok {
		return res
	}
	if desired == nil {
		desired = &DesiredState{Values: map[order.Kind]string{}}
		s.DesiredStates[cmd.Endpoint] = desired
	}
	s.Fence++
	desired.Fence = s.Fence
	desired.Values[cmd.Kind] = cmd.Value
	return s.ChangeResults.store(cmd.ID, Result{Code: OK, Fence: s.Fence}, maxChangeResults)
}

func (d *DesiredState) clone() DesiredState {
	out := DesiredState{Fence: d.Fence, DoneFence: d.DoneFence, Values: map[order.Kind]string{}}
	for kind, value := range d.Values {
		out.Values[kind] = value
	}
	return out
}
