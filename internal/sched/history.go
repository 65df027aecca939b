package sched

import (
	"net/netip"
	"time"
)

type (
	// history holds the recent grants of requests that the caller may send again, so that a caller is never told that a
	// request has not run when it may have.
	history struct {
		records map[string]grantRecord
		// ids holds the request IDs of records, oldest first.
		ids []string
		// uncertainUntil is the time until which a request without a record may have run as well.
		uncertainUntil time.Time
	}

	// grantRecord describes the first grant of a request, when the request was last known to run, and which entry keeps its
	// answer after it completed.
	grantRecord struct {
		entry       string
		attempt     int
		lastRunning time.Time
		answerEntry string
		answerAddr  netip.AddrPort
		endedAt     time.Time
	}
)

// newHistory returns an empty history. In any epoch but the first, grants of the previous epochs are unknown, so that the
// history is uncertain until these have expired.
func newHistory(now time.Time, epoch uint64) *history {
	h := &history{records: map[string]grantRecord{}}
	if epoch > 1 {
		h.uncertainUntil = now.Add(answerRetention)
	}
	return h
}

// recordRun records that a request runs now.
func (h *history) recordRun(now time.Time, req *Request) {
	if !req.IDFromCaller {
		return
	}
	rec, ok := h.records[req.ID]
	if !ok {
		rec = grantRecord{entry: req.Entry, attempt: req.Attempt, lastRunning: now}
		h.ids = append(h.ids, req.ID)
	}
	rec.lastRunning = now
	h.records[req.ID] = rec
	h.expire(now)
}

// recordEnd records that a request has completed and that its entry keeps the answer.
func (h *history) recordEnd(now time.Time, req *Request) {
	if rec, ok := h.records[req.ID]; ok {
		rec.answerEntry, rec.answerAddr, rec.endedAt = req.Entry, req.EntryAddr, now
		h.records[req.ID] = rec
	}
}

// lookupAnswer returns the address of the entry that keeps the answer of a request, unless it is the requesting entry itself.
func (h *history) lookupAnswer(now time.Time, req *Request) (addr netip.AddrPort, ok bool) {
	rec := h.records[req.ID]
	if rec.answerEntry == "" || rec.answerEntry == req.Entry || now.Sub(rec.endedAt) > answerRetention {
		return netip.AddrPort{}, false
	}
	return rec.answerAddr, true
}

// expire removes records past their retention. Records removed early because the history is full make it uncertain until
// their retention would have ended.
func (h *history) expire(now time.Time) {
	for len(h.ids) > 0 {
		id := h.ids[0]
		rec := h.records[id]
		until := rec.lastRunning.Add(answerRetention)
		if now.Before(until) && len(h.ids) <= maxHistory {
			return
		}
		if now.Before(until) && until.After(h.uncertainUntil) {
			h.uncertainUntil = until
		}
		delete(h.records, id)
		h.ids = h.ids[1:]
	}
}

// recordUnsent records that a grant was not used. If it was the first grant of the request, the request has not run.
func (h *history) recordUnsent(req *Request) {
	if rec, ok := h.records[req.ID]; ok && rec.entry == req.Entry && rec.attempt == req.Attempt {
		rec.lastRunning = time.Time{}
		h.records[req.ID] = rec
	}
}

// mayHaveRun reports whether an earlier transmission of the request may have run.
func (h *history) mayHaveRun(now time.Time, req *Request) bool {
	if !req.IDFromCaller {
		return false
	}
	rec, ok := h.records[req.ID]
	return ok && now.Sub(rec.lastRunning) < answerRetention || now.Before(h.uncertainUntil)
}
