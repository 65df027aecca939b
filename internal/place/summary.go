package place

import (
	"math"
	"time"
)

// troubleUnit is the number of units of Summary.Trouble that one failure counts.
const troubleUnit = 10

// Summarize returns the loads of a service's endpoints without the runs of one entry, which that entry knows itself.
func (b *Board) Summarize(now time.Time, service, entry string) []Summary {
	ls := b.services[service]
	out := make([]Summary, 0, len(ls))
	for _, l := range ls {
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
		out = append(out, s)
	}
	return out
}

// Adopt takes on what a board that sees all entries says of the requests of others.
func (b *Board) Adopt(all []Summary) {
	for _, s := range all {
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
