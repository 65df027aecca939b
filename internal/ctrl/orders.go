package ctrl

import (
	"github.com/greengagewheel/greengagewheel/internal/order"
)

func (s *State) order(o Order) Result {
	w := s.Desired[o.Endpoint]
	if o.Done > 0 {
		if w != nil && o.Done == w.Fence {
			w.Done = o.Done
		}
		return Result{Code: OK}
	}
	if r, ok := s.Changes.Results[o.ID]; ok {
		return r
	}
	if w == nil {
		w = &DesiredState{Want: map[order.Kind]string{}}
		s.Desired[o.Endpoint] = w
	}
	s.Fence++
	w.Fence = s.Fence
	w.Want[o.Kind] = o.Value
	return s.Changes.keep(o.ID, Result{Code: OK, Fence: s.Fence}, keptChanges)
}

func (w *DesiredState) copy() DesiredState {
	out := DesiredState{Fence: w.Fence, Done: w.Done, Want: map[order.Kind]string{}}
	for k, v := range w.Want {
		out.Want[k] = v
	}
	return out
}
