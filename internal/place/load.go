package place

import (
	"math"
	"time"
)

// failureUnit is the fixed-point scale of EndpointLoad.FailureTenths: the value that stands for one failure.
const failureUnit = 10

// LoadExcept returns the load of a service's endpoints without the attempts of one entry instance, which knows its own.
func (b *Balancer) LoadExcept(now time.Time, service, entry string) ServiceLoad {
	loads := ServiceLoad{Service: service, Limits: b.Limits(now, service), Brittles: b.Brittles(now, service), Speeds: b.speedsOf(service)}
	for _, ep := range b.byService[service] {
		load := EndpointLoad{ID: ep.info.ID, FailureTenths: int(math.Round(ep.recentFailures(now) * failureUnit))}
		for _, a := range ep.attempts {
			if a.req.Entry == entry {
				continue
			}
			load.Running++
			if !a.answered && ep.isEngine {
				load.Backlog += ep.prefillTime(a.prefillTokens)
			}
		}
		if load != (EndpointLoad{ID: load.ID}) {
			loads.Endpoints = append(loads.Endpoints, load)
		}
	}
	return loads
}

// HasNotices reports whether a service has endpoints that are known to be limited or brittle, which entry instances must learn soon.
func (b *Balancer) HasNotices(service string) bool {
	for _, ep := range b.byService[service] {
		if ep.limit != nil || ep.brittle != nil {
			return true
		}
	}
	return false
}

// SetOtherLoad sets the load from other entry instances and the limits of endpoints, as reported by the leader.
func (b *Balancer) SetOtherLoad(now time.Time, loads ServiceLoad) {
	b.setLimits(now, loads.Service, loads.Limits)
	b.setBrittles(now, loads.Service, loads.Brittles)
	report := b.reportOf(loads.Service)
	report.at, report.own = now, 0
	for _, ep := range b.byService[loads.Service] {
		ep.setOtherLoad(EndpointLoad{})
	}
	for _, load := range loads.Endpoints {
		if ep := b.endpoints[load.ID]; ep != nil {
			ep.setOtherLoad(load)
		}
	}
	for _, told := range loads.Speeds {
		b.RecordSpeed(now, told)
	}
}

// ClearOtherLoad clears the load from other entry instances.
func (b *Balancer) ClearOtherLoad() {
	for _, ep := range b.endpoints {
		ep.setOtherLoad(EndpointLoad{})
	}
	for _, report := range b.reports {
		report.at, report.own = time.Time{}, 0
	}
}

func (ep *endpoint) setOtherLoad(load EndpointLoad) {
	ep.otherLoad, ep.projected = load, projectedLoad{running: load.Running, work: load.Backlog}
}
