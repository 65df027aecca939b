package ctrl

import (
	"errors"

	"github.com/greengagewheel/greengagewheel/internal/scale"
)

// maxScaleOrders is the number of orders of endpoints that are kept, which bounds the state where services come and go; it is several
// times that of any deployment.
const maxScaleOrders = 10_000

// ScaleOrder is an order of endpoints. It is committed before it is sent, so that a new leader starts from it.
type ScaleOrder scale.Order

func (o *ScaleOrder) check() error {
	if o.Service == "" || o.Zone == "" || o.Count < 0 {
		return errors.New("command: the service, zone or count of an order is invalid")
	}
	return nil
}

// orderEndpoints records an order of endpoints in place of the last one for the same service, zone and kind. The configuration version does
// not change, as replicas of builds without orders would not count the change.
func (s *State) orderEndpoints(order ScaleOrder) Result {
	key := (*scale.Order)(&order).Subject()
	if order.Spot {
		key += "\x00spot"
	}
	if _, known := s.ScaleOrders[key]; !known && len(s.ScaleOrders) >= maxScaleOrders {
		return Result{Code: Invalid, Reason: "too many orders of endpoints"}
	}
	s.ScaleOrders[key] = order
	return Result{Code: OK}
}

// ScaleOrders returns the last order of endpoints for each service, zone and kind, in no particular order.
func (m *Machine) ScaleOrders() []scale.Order {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]scale.Order, 0, len(m.state.ScaleOrders))
	for _, o := range m.state.ScaleOrders {
		out = append(out, scale.Order(o))
	}
	return out
}
