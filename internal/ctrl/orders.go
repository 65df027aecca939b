package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/order"
)

func (s *State) applyOrder(cmd Order) Result {
	desired := s.Desired[cmd.Endpoint]
	if cmd.Done > 0 {
		if desired != nil && cmd.Done == desired.Fence {
			desired.Done = cmd.Done
		}
		return Result{Code: OK}
	}
	if res, ok := s.Changes.Results[cmd.ID]; ok {
		return res
	}
	if desired == nil {
		desired = &DesiredState{Want: map[order.Kind]string{}}
		s.Desired[cmd.Endpoint] = desired
	}
	s.Fence++
	desired.Fence = s.Fence
	desired.Want[cmd.Kind] = cmd.Value
	return s.Changes.store(cmd.ID, Result{Code: OK, Fence: s.Fence}, maxChangeResults)
}

func (d *DesiredState) clone() DesiredState {
	out := DesiredState{Fence: d.Fence, Done: d.Done, Want: map[order.Kind]string{}}
	for kind, value := range d.Want {
		out.Want[kind] = value
	}
	return out
}
