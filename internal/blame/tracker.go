package blame

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// crashesToHold is the number of separate crashes, without an answer in between, at which a part is held. Two may coincide.
	crashesToHold = 3
	// shareToHold is the least sum, over the separate crashes, of the part's share of the endpoints that went down at the time.
	shareToHold = 1.5
	// maxRecords is the number of records kept.
	maxRecords = 2_000
)

type (
	// Outage is an endpoint that went down. Boot identifies its start, AtMS is as in Crash.
	Outage struct {
		Boot string `json:"b"`
		AtMS int64  `json:"at"`
	}

	// Tracker holds what all instances have reported. It is deterministic: the same reports make the same tracker.
	Tracker struct {
		Records map[uint64]*Record `json:"records"`
		// Outages holds the endpoints that went down lately, whatever they ran, by service.
		Outages map[string][]Outage `json:"outages"`
	}

	// evidence is what speaks against a part. separate counts its crashes, those within coincidence of a counted one not again; share
	// sums up the part's share of the endpoints that went down in each.
	evidence struct {
		part     uint64
		separate int
		share    float64
		// boots are the endpoints that went down under the part, beside those that went down at the times of its crashes.
		boots  []string
		beside []string
	}
)

// NewTracker returns an empty tracker.
func NewTracker() Tracker {
	return Tracker{Records: map[uint64]*Record{}, Outages: map[string][]Outage{}}
}

// Add adds a report that arrived at nowMS, in Unix milliseconds, and returns the parts whose records were changed or dropped, in
// ascending order. Reports of an answer concern only parts that have a record.
func (t *Tracker) Add(nowMS int64, report *Report) (changed []uint64) {
	touched := map[uint64]bool{}
	if !report.Sound {
		t.addOutage(nowMS, report.Service, report.Boot)
	}
	for _, part := range report.Parts {
		rec := t.Records[part]
		switch {
		case report.Sound:
			if rec != nil && rec.markSound(report.Service) {
				touched[part] = true
			}
			if rec != nil && len(rec.Crashes) == 0 {
				delete(t.Records, part)
			}
			continue
		case rec == nil:
			if len(t.Records) >= maxRecords {
				touched[t.evict()] = true
			}
			rec = &Record{}
			t.Records[part] = rec
		}
		if rec.addCrash(nowMS, part, report) {
			touched[part] = true
		}
	}
	t.updateHeld(touched)
	return slices.Sorted(maps.Keys(touched))
}

// addOutage counts an endpoint that went down, once.
func (t *Tracker) addOutage(nowMS int64, service, boot string) {
	outages := t.Outages[service]
	if slices.ContainsFunc(outages, func(o Outage) bool { return o.Boot == boot }) {
		return
	}
	outages = slices.DeleteFunc(outages, func(o Outage) bool { return apart(o.AtMS, nowMS) > evidenceLife })
	if len(outages) >= maxOutages {
		outages = outages[len(outages)-maxOutages+1:]
	}
	t.Outages[service] = append(outages, Outage{Boot: boot, AtMS: nowMS})
}

// evict drops a record with the fewest crashes and returns its part.
func (t *Tracker) evict() uint64 {
	part := slices.MinFunc(slices.Sorted(maps.Keys(t.Records)), func(p, q uint64) int {
		return cmp.Or(cmp.Compare(len(t.Records[p].Crashes), len(t.Records[q].Crashes)), cmp.Compare(t.lastCrash(p), t.lastCrash(q)))
	})
	delete(t.Records, part)
	return part
}

// lastCrash returns the time of a part's last crash.
func (t *Tracker) lastCrash(part uint64) int64 {
	crashes := t.Records[part].Crashes
	if len(crashes) == 0 {
		return 0
	}
	return crashes[len(crashes)-1].AtMS
}

// Drop deletes the record of a part, and reports whether there was one. Parts whose crashes it explained may be held instead; they are
// returned.
func (t *Tracker) Drop(part uint64) (changed []uint64, found bool) {
	if t.Records[part] == nil {
		return nil, false
	}
	delete(t.Records, part)
	touched := map[uint64]bool{}
	t.updateHeld(touched)
	return slices.Sorted(maps.Keys(touched)), true
}

// GrantTrial allows a trial of a part to one request, and reports whether id is that request, and whether the record was changed. A
// part without a record needs none.
func (t *Tracker) GrantTrial(part uint64, number int, id string) (granted, changed bool) {
	rec := t.Records[part]
	if rec == nil {
		return true, false
	}
	trials := rec.Trials
	return rec.grantTrial(number, id), rec.Trials != trials
}

// updateHeld holds the parts that explain the crashes best: the one with the most evidence first, then the one with the most in the
// crashes that are left. Parts that only ran where a held part did are not held. Parts whose state has changed are added to touched.
func (t *Tracker) updateHeld(touched map[uint64]bool) {
	held, explained := map[uint64]bool{}, map[string]bool{}
	candidates := t.candidates()
	for len(candidates) > 0 {
		best := strongest(candidates)
		if len(best) == 0 {
			break
		}
		for _, e := range best {
			held[e.part] = true
			for _, boot := range e.boots {
				explained[boot] = true
			}
		}
		candidates = t.weighAgain(candidates, best[0].boots, held, explained)
	}
	for part, rec := range t.Records {
		if rec.Held != held[part] {
			rec.Held, touched[part] = held[part], true
		}
	}
}

// candidates returns the evidence against the parts with enough crashes to be held, by part.
func (t *Tracker) candidates() []evidence {
	var candidates []evidence
	for part, rec := range t.Records {
		if len(rec.Crashes) >= crashesToHold {
			candidates = append(candidates, t.weigh(part, nil))
		}
	}
	slices.SortFunc(candidates, func(a, b evidence) int { return cmp.Compare(a.part, b.part) })
	return candidates
}

// weighAgain returns the candidates that are not held, with the evidence that is left once the crashes of some more boots are
// explained. Those with too few separate crashes are left out, as explaining more crashes only lowers that number. Those whose share
// of the outages is too small stay, as it may grow when outages beside their crashes are explained.
func (t *Tracker) weighAgain(candidates []evidence, boots []string, held map[uint64]bool, explained map[string]bool) (left []evidence) {
	for _, e := range candidates {
		if held[e.part] || e.separate < crashesToHold {
			continue
		}
		if t.concerns(&e, boots) {
			e = t.weigh(e.part, explained)
		}
		left = append(left, e)
	}
	return left
}

// concerns reports whether explaining the crashes of some boots changes the evidence against a part: they are its own, or outages at
// the times of its crashes.
func (t *Tracker) concerns(e *evidence, boots []string) bool {
	return slices.ContainsFunc(boots, func(boot string) bool { return slices.Contains(e.boots, boot) || slices.Contains(e.beside, boot) })
}

// strongest returns the part with the most evidence, if that is enough, and those with the same crashes, of which any one may be the
// cause.
func strongest(candidates []evidence) (best []evidence) {
	for _, e := range candidates {
		if e.separate < crashesToHold || e.share < shareToHold {
			continue
		}
		order := 0
		if len(best) > 0 {
			order = cmp.Or(cmp.Compare(e.share, best[0].share), cmp.Compare(e.separate, best[0].separate))
		}
		switch {
		case len(best) == 0, order > 0:
			best = []evidence{e}
		case slices.Equal(e.boots, best[0].boots):
			best = append(best, e)
		}
	}
	return best
}

// weigh returns the evidence against a part in the crashes that are not explained. Many endpoints that go down at once without the
// part have a cause of their own.
func (t *Tracker) weigh(part uint64, explained map[string]bool) evidence {
	e := evidence{part: part}
	var first Crash
	var own int
	add := func() {
		if own > 0 {
			beside := t.outagesAt(&first, explained)
			e.share += float64(own) / float64(max(own, len(beside)))
			e.beside = append(e.beside, beside...)
		}
	}
	for _, c := range t.Records[part].Crashes {
		if explained[c.Boot] {
			continue
		}
		e.boots = append(e.boots, c.Boot)
		if own > 0 && apart(c.AtMS, first.AtMS) <= coincidence {
			own++
			continue
		}
		add()
		e.separate, first, own = e.separate+1, c, 1
	}
	add()
	return e
}

// outagesAt returns the boots of the endpoints that went down at the time of a crash and whose crashes are not explained.
func (t *Tracker) outagesAt(c *Crash, explained map[string]bool) (boots []string) {
	for _, outage := range t.Outages[c.Service] {
		if !explained[outage.Boot] && apart(outage.AtMS, c.AtMS) <= coincidence {
			boots = append(boots, outage.Boot)
		}
	}
	return boots
}
