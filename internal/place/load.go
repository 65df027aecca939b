package place

import (
	"math"
	"time"
)

// failureUnit is the fixed-point scale of EndpointLoad.FailureTenths: the value that stands for one failure.
const failureUnit = 10

// LoadExcept returns the load of a service's endpoints without the attempts of one entry instance, which knows its own.
func (b *Balancer) LoadExcept(now time.Time, service, entry string) ServiceLoad {
	out := ServiceLoad{Service: service}
	for _, ep := range b.byService[service] {
		s := EndpointLoad{ID: ep.info.ID, FailureTenths: int(math.Round(ep.recentFailures(now) * failureUnit))}
		for _, a := range ep.attempts {
			if a.req.Entry == entry {
				continue
			}
			s.Running++
			if !a.answered && ep.isEngine {
				s.Backlog += ep.latency.prefillTime(a.prefillTokens)
			}
		}
		if s != (EndpointLoad{ID: s.ID}) {
			out.Endpoints = append(out.Endpoints, s)
		}
	}
	return out
}

// SetOtherLoad sets the load from other entry instances, as reported by the leader.
func (b *Balancer) SetOtherLoad(all ServiceLoad) {
	for _, ep := range b.byService[all.Service] {
		ep.otherLoad = EndpointLoad{}
	}
	for _, s := range all.Endpoints {
		if ep := b.endpoints[s.ID]; ep != nil {
			ep.otherLoad = s
		}
	}
}

// ClearOtherLoad clears the load from other entry instances.
func (b *Balancer) ClearOtherLoad() {
	for _, ep := range b.endpoints {
		ep.otherLoad = EndpointLoad{}
	}
}
