package place

import (
	"math"
	"time"
)

// troubleUnit is the number of units of Summary.Trouble that one failure counts.
const troubleUnit = 10

// Summarize returns the loads of a service's endpoints without the runs of one entry, which that entry knows itself.
func (b *Board) Summarize(now time.Time, service, entry string) Loads {
	out := Loads{Service: service}
	for _, l := range b.services[service] {
		s := Summary{ID: l.ep.ID, Trouble: int(math.Round(l.troubles(now) * troubleUnit))}
		for _, r := range l.runs {
			if r.q.Entry == entry {
				continue
			}
			s.Running++
			if !r.first && l.engine {
				s.Backlog += l.speed.reading(r.need)
			}
		}
		if s != (Summary{ID: s.ID}) {
			out.Busy = append(out.Busy, s)
		}
	}
	return out
}

// Adopt takes on what a board that sees all entries says of the requests of others.
func (b *Board) Adopt(all Loads) {
	for _, l := range b.services[all.Service] {
		l.elsewhere = Summary{}
	}
	for _, s := range all.Busy {
		if l := b.loads[s.ID]; l != nil {
			l.elsewhere = s
		}
	}
}

// Alone forgets what was said of the requests of others.
func (b *Board) Alone() {
	for _, l := range b.loads {
		l.elsewhere = Summary{}
	}
}
