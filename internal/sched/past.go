package sched

import (
	"net/netip"
	"time"
)

type (
	// past remembers the requests that were granted of late and may be sent again, so that none of them is said not to have run.
	past struct {
		begun  map[string]begun
		order  []string
		unsure time.Time
	}

	// begun is the first grant of a request, when it was last seen to run, and where its answer is kept since its end.
	begun struct {
		entry   string
		attempt int
		at      time.Time
		keeper  string
		addr    netip.AddrPort
		end     time.Time
	}
)

// newPast returns a memory that knows nothing of what was granted until now.
func newPast(now time.Time, epoch uint64) *past {
	p := &past{begun: map[string]begun{}}
	if epoch > 1 {
		p.unsure = now.Add(keepEnded)
	}
	return p
}

// note takes in that a request runs.
func (p *past) note(now time.Time, a *Ask) {
	if !a.Named {
		return
	}
	b, ok := p.begun[a.ID]
	if !ok {
		b = begun{entry: a.Entry, attempt: a.Attempt, at: now}
		p.order = append(p.order, a.ID)
	}
	b.at = now
	p.begun[a.ID] = b
	p.trim(now)
}

// ended takes in that a request has ended well, and that its entry keeps the answer.
func (p *past) ended(now time.Time, a *Ask) {
	if b, ok := p.begun[a.ID]; ok {
		b.keeper, b.addr, b.end = a.Entry, a.Addr, now
		p.begun[a.ID] = b
	}
}

// answer returns the entry, other than the asker, that keeps the answer of a request.
func (p *past) answer(now time.Time, a *Ask) (addr netip.AddrPort, ok bool) {
	b := p.begun[a.ID]
	if b.keeper == "" || b.keeper == a.Entry || now.Sub(b.end) > keepEnded {
		return netip.AddrPort{}, false
	}
	return b.addr, true
}

// trim forgets what is old; what has to go early for want of room leaves the memory unsure for a while.
func (p *past) trim(now time.Time) {
	for len(p.order) > 0 {
		id := p.order[0]
		b := p.begun[id]
		until := b.at.Add(keepEnded)
		if now.Before(until) && len(p.order) <= maxEnded {
			return
		}
		if now.Before(until) && until.After(p.unsure) {
			p.unsure = until
		}
		delete(p.begun, id)
		p.order = p.order[1:]
	}
}

// unsent takes in that a grant was not used: a request of which it was the first has not run.
func (p *past) unsent(a *Ask) {
	if b, ok := p.begun[a.ID]; ok && b.entry == a.Entry && b.attempt == a.Attempt {
		b.at = time.Time{}
		p.begun[a.ID] = b
	}
}

// mayHaveRun reports whether an earlier sending of a request may have run.
func (p *past) mayHaveRun(now time.Time, a *Ask) bool {
	if !a.Named {
		return false
	}
	b, ok := p.begun[a.ID]
	return ok && now.Sub(b.at) < keepEnded || now.Before(p.unsure)
}
