package blame

import (
	"errors"
	"slices"
	"time"
)

const (
	// coincidence is the time within which crashes count as one: endpoints that share a machine, a rack or a switch go down together.
	coincidence = 250 * time.Millisecond
	// evidenceLife is the time after which a crash no longer counts.
	evidenceLife = 10 * time.Minute
	// maxCrashes is the number of crashes kept of a part, the latest ones.
	maxCrashes = 16
	// maxOutages is the number of endpoints of a service kept that went down, the latest ones.
	maxOutages = 256
	// MaxParts is the largest number of parts in a Report.
	MaxParts = 64
	// firstTrialDelay is the time from the last crash under a held part to a request that is let through to try it. After each trial
	// that fails it is trialBackoff times as long, at most maxTrialDelay.
	firstTrialDelay = 2 * time.Minute
	trialBackoff    = 4
	maxTrialDelay   = 24 * time.Hour
	// trialTime is how long the result of a trial is waited for before another request may repeat it.
	trialTime = 3 * time.Second
)

type (
	// Report tells that an endpoint went down under a request, and the parts of its prompt if its answer had not gone on; or, with
	// Sound, that an answer to a request with these parts went on.
	Report struct {
		Service string `json:"s"`
		// Boot identifies one start of the endpoint.
		Boot string `json:"b,omitempty"`
		// Parts are the IDs of the prompt's parts that other prompts may share.
		Parts []uint64 `json:"p,omitempty"`
		Sound bool     `json:"ok,omitempty"`
	}

	// Crash is a crash of an endpoint of a service. AtMS is the time of its first report on the leader's clock, in Unix milliseconds.
	Crash struct {
		Service string `json:"s"`
		Boot    string `json:"b"`
		AtMS    int64  `json:"at"`
		// Companions are the other parts of the requests with the part under which the endpoint went down.
		Companions []uint64 `json:"w,omitempty"`
	}

	// Record is what is known against one part.
	Record struct {
		Crashes []Crash `json:"crashes"`
		// Held means that requests with the part are refused, but at services in SoundAt.
		Held bool `json:"held,omitempty"`
		// SoundAt lists the services that have answered on the part since their last crash under it.
		SoundAt []string `json:"sound,omitempty"`
		// Trials is the number of trials so far, LastTrial the ID of the last one.
		Trials    int    `json:"trials,omitempty"`
		LastTrial string `json:"trial,omitempty"`
	}

	// Records holds the records by part.
	Records map[uint64]Record
)

// Check returns an error if the report is invalid.
func (r *Report) Check() error {
	switch {
	case r.Service == "":
		return errors.New("report: service is missing")
	case !r.Sound && r.Boot == "":
		return errors.New("report: boot is missing")
	case r.Sound && len(r.Parts) == 0, len(r.Parts) > MaxParts:
		return errors.New("report: no parts, or too many")
	}
	return nil
}

// Clone returns a copy that shares nothing with the record.
func (r *Record) Clone() Record {
	out := *r
	out.Crashes, out.SoundAt = slices.Clone(r.Crashes), slices.Clone(r.SoundAt)
	for i := range out.Crashes {
		out.Crashes[i].Companions = slices.Clone(out.Crashes[i].Companions)
	}
	return out
}

// addCrash adds a crash under a request with the part, and reports whether the record has changed. Reports of the same crash by
// several requests or instances make one crash.
func (r *Record) addCrash(nowMS int64, part uint64, report *Report) bool {
	companions := slices.DeleteFunc(slices.Clone(report.Parts), func(id uint64) bool { return id == part })
	i := slices.IndexFunc(r.Crashes, func(c Crash) bool { return c.Boot == report.Boot })
	if i >= 0 {
		return r.Crashes[i].addCompanions(companions)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return apart(c.AtMS, nowMS) > evidenceLife })
	r.Crashes = append(r.Crashes, Crash{Service: report.Service, Boot: report.Boot, AtMS: nowMS, Companions: companions})
	if len(r.Crashes) > maxCrashes {
		r.Crashes = r.Crashes[len(r.Crashes)-maxCrashes:]
	}
	r.SoundAt = slices.DeleteFunc(r.SoundAt, func(service string) bool { return service == report.Service })
	return true
}

// addCompanions adds what is new of the companions, up to MaxParts, and reports whether anything is.
func (c *Crash) addCompanions(companions []uint64) (added bool) {
	for _, id := range companions {
		if len(c.Companions) < MaxParts && !slices.Contains(c.Companions, id) {
			c.Companions, added = append(c.Companions, id), true
		}
	}
	return added
}

// apart returns the time between two moments in Unix milliseconds.
func apart(a, b int64) time.Duration {
	return time.Duration(max(a-b, b-a)) * time.Millisecond
}

// markSound records that a service has answered on the part, which voids its crashes under it. It reports whether the record has
// changed.
func (r *Record) markSound(service string) bool {
	if slices.Contains(r.SoundAt, service) {
		return false
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.Service == service })
	r.SoundAt = append(r.SoundAt, service)
	return true
}

// Suspected reports whether endpoints of a service may go down under the part.
func (r *Record) Suspected(service string) bool {
	return len(r.Crashes) > 0 && !slices.Contains(r.SoundAt, service)
}

// HeldAt reports whether a service gets no requests with the part. Crashes at other services count, as they may run the same model,
// until this one has answered on the part.
func (r *Record) HeldAt(service string) bool {
	return r.Held && r.Suspected(service)
}

// Holding returns the first part for which a service gets no request with the given parts.
func (rs Records) Holding(service string, parts []uint64) (part uint64, ok bool) {
	if len(rs) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if rec, known := rs[part]; known && rec.HeldAt(service) {
			return part, true
		}
	}
	return 0, false
}

// AnySuspected reports whether endpoints of a service may go down under one of the parts.
func (rs Records) AnySuspected(service string, parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		rec, ok := rs[part]
		return ok && rec.Suspected(service)
	})
}

// grantTrial allows the trial with the given number, counted from 0, to one request, and reports whether id is that request.
func (r *Record) grantTrial(number int, id string) bool {
	if number == r.Trials {
		r.Trials, r.LastTrial = r.Trials+1, id
		return true
	}
	return number == r.Trials-1 && r.LastTrial == id
}

// TrialDue reports whether a request with the given parts may try a held part, the time of whose last change is changed. The first two
// trials are due without delay for a request that lacks a part which explains the crashes as well: an answer frees all parts of the
// request, and another crash speaks against them more than against the part that it lacks.
func (r *Record) TrialDue(now, changed time.Time, parts []uint64) bool {
	switch {
	case r.Trials == 0 && r.lacksRival(parts, crashesToHold):
		return true
	case r.Trials == 1 && r.lacksRival(parts, len(r.Crashes)) && now.Sub(changed) >= trialTime:
		return true
	}
	delay := firstTrialDelay
	for range r.Trials - 1 {
		delay = min(delay*trialBackoff, maxTrialDelay)
	}
	return now.Sub(changed) >= delay
}

// lacksRival reports whether another part accompanied the part in at least minCrashes of its crashes, is not one of parts, and explains
// the crashes no worse than those that are.
func (r *Record) lacksRival(parts []uint64, minCrashes int) bool {
	shared := map[uint64]int{}
	for _, c := range r.Crashes {
		for _, id := range c.Companions {
			shared[id]++
		}
	}
	strongest := 0
	for _, id := range parts {
		strongest = max(strongest, shared[id])
		delete(shared, id)
	}
	for _, crashes := range shared {
		if crashes >= max(minCrashes, strongest) {
			return true
		}
	}
	return false
}
