package place

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// workWeight is the weight of the newest request in the moving average of prefill time.
const workWeight = 0.1

type (
	// loadReport is what an entry instance knows about the leader's last report of a service's load.
	loadReport struct {
		at time.Time
		// own is the number of requests of this instance since then.
		own int
		// work is the moving average of the prefill time of this instance's requests. It outlasts the report.
		work time.Duration
	}

	// projectedLoad is the load from other entry instances that is expected now.
	projectedLoad struct {
		running int
		// work is the time to prefill their prompts.
		work time.Duration
		// rest is the cost of the fraction by which running is too low.
		rest time.Duration
	}
)

// countOwn counts a request of this instance, by which the requests of others are estimated.
func (b *Balancer) countOwn(service string, prefill time.Duration) {
	if b.instances <= 1 {
		return
	}
	report := b.reportOf(service)
	report.own++
	if report.work == 0 {
		report.work = prefill
	}
	report.work += time.Duration(workWeight * float64(prefill-report.work))
}

func (b *Balancer) reportOf(service string) *loadReport {
	report := b.reports[service]
	if report == nil {
		report = &loadReport{}
		b.reports[service] = report
	}
	return report
}

// projectLoads estimates the load from other entry instances at present, from the leader's last report and from the requests that they
// have had since then, if each had as many as this one. They are taken to go where the load was lowest, until it is level. This instance
// chooses at a moment of the round, in which each of the others chooses once, that its request's ID determines. Without this, all
// instances choose the endpoints that the report shows as idle, until the next report. It returns the width of the random part of the
// cost, the load of one request, by which instances choose differently among endpoints of the same load.
func (b *Balancer) projectLoads(now time.Time, req *Request) (jitter time.Duration, seed uint64) {
	eps, report := b.byService[req.Service], b.reportOf(req.Service)
	if len(eps) == 0 {
		return 0, 0
	}
	seed = xxhash.Sum64String(req.AttemptID)
	perRequest := eps[0].loadPerRequest()
	if report.at.IsZero() {
		for _, ep := range eps {
			ep.projected = projectedLoad{}
		}
		return perRequest, seed
	}
	if report.work == 0 && eps[0].isEngine {
		report.work = eps[0].latency.prefillTime(req.InputTokens)
	}
	age, serviceTime := now.Sub(report.at), b.serviceTime(req.Service)
	others := float64(b.instances-1) * (float64(report.own) + unitInterval(seed))
	// Of the requests that were running at the report the share kept still does, and of those that came evenly since then sinceKept.
	kept, sinceKept, unread := 1.0, 1.0, 1.0
	if age > 0 {
		x := age.Seconds() / serviceTime.Seconds()
		kept = math.Exp(-x)
		sinceKept = (1 - kept) / x
		// Those of the last moment, as long as a prompt takes, are still being prefilled.
		unread = min(1, report.work.Seconds()/age.Seconds())
	}
	running := others * sinceKept
	work := time.Duration(float64(report.work) * min(1, unread/sinceKept))
	unit := perRequest + work
	level := b.levelLoad(eps, age, kept, running, unit)
	for _, ep := range eps {
		reported := ep.reportedLoad(age, kept)
		added := max(0, float64(level-reported)/float64(unit))
		if ep.info.State != roster.Ready {
			added = 0
		}
		running := float64(ep.otherLoad.Running)*kept + added
		ep.projected = projectedLoad{
			running: int(running), rest: time.Duration((running - math.Floor(running)) * float64(perRequest)),
			work: max(0, ep.otherLoad.Backlog-age) + time.Duration(added*float64(work)),
		}
	}
	return unit, seed
}

// levelLoad returns the load up to which a number of requests fill the endpoints with the lowest loads, with a load of unit each.
func (b *Balancer) levelLoad(eps []*endpoint, age time.Duration, kept, requests float64, unit time.Duration) time.Duration {
	b.levels = b.levels[:0]
	for _, ep := range eps {
		if ep.info.State == roster.Ready {
			b.levels = append(b.levels, ep.reportedLoad(age, kept))
		}
	}
	slices.Sort(b.levels)
	room, level := requests*float64(unit), 0.0
	for i, load := range b.levels {
		if i > 0 {
			need := (float64(load) - level) * float64(i)
			if need >= room {
				return time.Duration(level + room/float64(i))
			}
			room -= need
		}
		level = float64(load)
	}
	return time.Duration(level + room/float64(max(1, len(b.levels))))
}

// reportedLoad returns what is left of the load in the leader's report, as cost.
func (ep *endpoint) reportedLoad(age time.Duration, kept float64) time.Duration {
	return max(0, ep.otherLoad.Backlog-age) + time.Duration(float64(ep.otherLoad.Running)*kept*float64(ep.loadPerRequest()))
}

// loadPerRequest returns the cost that each running request adds to a new one.
func (ep *endpoint) loadPerRequest() time.Duration {
	if ep.isEngine {
		return latencyPerRunning
	}
	return defaultCallLatency / time.Duration(max(1, 4*ep.slots))
}

// unitInterval returns a number from 0 to less than 1 by a hash.
func unitInterval(hash uint64) float64 {
	return float64(mixBits(hash)>>11) / (1 << 53)
}
