package router

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/internal/scale"
)

// endpointSilentAfter is the silence after which an endpoint does not count as serving. It is several times the interval of heartbeats, and
// shorter than the time after which an endpoint is removed, as a crashed one may have to be replaced.
const endpointSilentAfter = 5 * time.Second

// scaledFleet implements scale.Fleet and scale.Log on a replica.
type scaledFleet struct {
	router *Router
}

// newScaler returns what orders endpoints, or nil if that is no duty of this instance.
func (r *Router) newScaler(c *conf.Settings) *scale.Runner {
	if r.duties == nil || !c.Duties.Has(duty.Autoscaling) {
		return nil
	}
	fleet := scaledFleet{r}
	return scale.New(scale.Options{
		Addr: c.Duties.Address, Keeper: r.duties, Platform: r.dutyCalls, Log: fleet, Fleet: fleet, Now: clock.Now, Logger: r.log,
	})
}

// exportOrders regularly exports the number of endpoints ordered until ctx ends.
func (r *Router) exportOrders(ctx context.Context) {
	pace.Every(ctx, gaugeInterval, func() {
		standard, spot := 0, 0
		for _, o := range r.machine.ScaleOrders() {
			if o.Spot {
				spot += o.Count
			} else {
				standard += o.Count
			}
		}
		r.meter.SetGauge("standard_endpoints_ordered", float64(standard))
		r.meter.SetGauge("spot_endpoints_ordered", float64(spot))
	})
}

// Services returns the services with scaling, with their demand and endpoints.
func (f scaledFleet) Services(now time.Time) (states []scale.State) {
	view := f.router.distributor.View()
	services := view.Table.ScaledServices()
	if len(services) == 0 {
		return nil
	}
	silent := f.router.control.silentSince(now.Add(-endpointSilentAfter))
	endpoints := map[string][]scale.Endpoint{}
	for _, e := range f.router.machine.Endpoints() {
		leaving := e.State == roster.Leaving
		if silent[e.ID] && !leaving {
			continue
		}
		endpoints[e.Service] = append(endpoints[e.Service], scale.Endpoint{
			Zone: e.Zone, Spot: e.Spot, Leaving: leaving, Reclaimed: leaving && e.Spot && e.LeavesMS > 0,
		})
	}
	for _, s := range services {
		states = append(states, scale.State{
			Name: s.Name, Scaling: s.Scaling, Demand: f.router.pickerServer.Demand(s.Name), Endpoints: endpoints[s.Name],
		})
	}
	return states
}

// CommitOrder commits an order of endpoints.
func (f scaledFleet) CommitOrder(ctx context.Context, order scale.Order) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	committed := ctrl.ScaleOrder(order)
	response, err := f.router.quorumServer.Propose(ctx, quorum.Proposal{Command: ctrl.Command{ScaleOrder: &committed}})
	switch {
	case err != nil:
		return err
	case !response.IsLeader:
		return errNoLeader
	case response.Result.Code != ctrl.OK:
		return fmt.Errorf("%s: %s", response.Result.Code, response.Result.Reason)
	}
	return nil
}

// Orders returns the last committed order of each kind.
func (f scaledFleet) Orders() []scale.Order {
	return f.router.machine.ScaleOrders()
}

// silentSince returns the endpoints of which the leader has heard nothing since a time, though it heard of them before.
func (c *control) silentSince(at time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	silent := map[string]bool{}
	for id, heard := range c.lastHeartbeat {
		if heard.Before(at) {
			silent[id] = true
		}
	}
	return silent
}
