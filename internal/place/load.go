package place

import (
	"math"
	"time"
)

// failureUnit is the fixed-point scale of Summary.Trouble: the value that stands for one failure.
const failureUnit = 10

// Summarize returns the load of a service's endpoints without the attempts of one entry instance, which knows its own.
func (b *Board) Summarize(now time.Time, service, entry string) Loads {
	out := Loads{Service: service}
	for _, ep := range b.byService[service] {
		s := Summary{ID: ep.info.ID, Trouble: int(math.Round(ep.recentFailures(now) * failureUnit))}
		for _, a := range ep.attempts {
			if a.req.Entry == entry {
				continue
			}
			s.Running++
			if !a.answered && ep.isEngine {
				s.Backlog += ep.latency.prefillTime(a.prefillTokens)
			}
		}
		if s != (Summary{ID: s.ID}) {
			out.Busy = append(out.Busy, s)
		}
	}
	return out
}

// Adopt sets the load from other entry instances, as reported by the leader.
func (b *Board) Adopt(all Loads) {
	for _, ep := range b.byService[all.Service] {
		ep.otherLoad = Summary{}
	}
	for _, s := range all.Busy {
		if ep := b.endpoints[s.ID]; ep != nil {
			ep.otherLoad = s
		}
	}
}

// Alone clears the load from other entry instances.
func (b *Board) Alone() {
	for _, ep := range b.endpoints {
		ep.otherLoad = Summary{}
	}
}
