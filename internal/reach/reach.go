package reach

import (
	"time"
)

const (
	// doubtAfter is the number of endpoints to which new connections must have failed, one after the other, for doubt.
	doubtAfter = 2
	// quietAfter is the silence of all endpoints after which one failed connection is enough for doubt.
	quietAfter = 500 * time.Millisecond
	// failureLife is how long a failed connection counts.
	failureLife = 2 * time.Second
	// keptLife is how long old connections are used, while new ones fail, after an endpoint was last heard.
	keptLife = time.Second
	// probeInterval is the time between two probes while endpoints are not reached.
	probeInterval = 250 * time.Millisecond
	// A cut has ended when probesToReturn endpoints in a row have answered over minHold. A cut that follows the last one within
	// relapseTime doubles this time, up to maxHold, so that links that come and go every second are not used.
	probesToReturn = 3
	minHold        = 500 * time.Millisecond
	maxHold        = 8 * time.Second
	relapseTime    = 10 * time.Second
)

// States of an instance.
const (
	// Reached means that the instance reaches endpoints, or has no sign that it does not.
	Reached State = "reached"
	// Doubted means that its connections to several endpoints have failed, and none has been answered since.
	Doubted State = "doubted"
	// Cut means that, besides, another instance has reached an endpoint that this one does not.
	Cut State = "cut"
)

type (
	// State tells whether an instance reaches endpoints.
	State string

	// Tracker follows the connections of one instance to endpoints. It is not safe for concurrent use.
	Tracker struct {
		// failed holds the endpoints to which new connections have failed since one was answered, and when.
		failed map[string]time.Time
		// heardAt is when an endpoint last sent something over a connection of this instance, lostAt when an old connection last broke
		// without an answer.
		heardAt, lostAt time.Time
		cut             bool
		// endedAt is when the last cut ended, hold the time for which probes must be answered for the present one to end.
		endedAt time.Time
		hold    time.Duration
		// answers counts the new connections that were answered in a row since answersFrom.
		answers     int
		answersFrom time.Time
		nextProbe   time.Time
	}
)

// New returns a tracker without any sign.
func New() *Tracker {
	return &Tracker{failed: map[string]time.Time{}}
}

// Answered records that an endpoint has sent something over a connection, which is fresh if it did so for the first time.
func (t *Tracker) Answered(now time.Time, fresh bool) {
	t.heardAt = now
	if !fresh {
		return
	}
	if !t.cut {
		clear(t.failed)
		return
	}
	if t.answers == 0 {
		t.answersFrom = now
	}
	if t.answers++; t.answers >= probesToReturn && now.Sub(t.answersFrom) >= t.hold {
		t.cut, t.endedAt = false, now
		clear(t.failed)
	}
}

// Failed records that a new connection to an endpoint could not be made, or broke without an answer.
func (t *Tracker) Failed(now time.Time, endpointID string) {
	t.failed[endpointID] = now
	t.answers = 0
}

// Lost records that an old connection broke without an answer.
func (t *Tracker) Lost(now time.Time) {
	t.lostAt = now
}

// Silent records that an endpoint did not answer in time over a connection. It counts only if no endpoint is heard.
func (t *Tracker) Silent(now time.Time, endpointID string) {
	if now.Sub(t.heardAt) > quietAfter {
		t.Failed(now, endpointID)
		t.lostAt = now
	}
}

// TriedByOther records whether another instance has reached an endpoint. If it has not, the endpoint is down.
func (t *Tracker) TriedByOther(now time.Time, endpointID string, reached bool) {
	_, failedHere := t.failed[endpointID]
	switch {
	case !reached:
		delete(t.failed, endpointID)
	case failedHere && !t.cut:
		t.cut, t.answers = true, 0
		t.hold = t.nextHold(now)
	}
}

// nextHold returns the time for which probes must be answered for a cut to end that begins now.
func (t *Tracker) nextHold(now time.Time) time.Duration {
	if t.endedAt.IsZero() || now.Sub(t.endedAt) > relapseTime {
		return minHold
	}
	return min(2*t.hold, maxHold)
}

// State returns the present state.
func (t *Tracker) State(now time.Time) State {
	if t.cut {
		return Cut
	}
	for id, at := range t.failed {
		if now.Sub(at) > failureLife {
			delete(t.failed, id)
		}
	}
	if len(t.failed) >= doubtAfter || len(t.failed) > 0 && now.Sub(t.heardAt) > quietAfter {
		return Doubted
	}
	return Reached
}

// UseOld reports whether old connections may be used. While new ones fail, that is so only if an endpoint was heard lately, and
// after an old connection last broke.
func (t *Tracker) UseOld(now time.Time) bool {
	return t.State(now) == Reached || now.Sub(t.heardAt) <= keptLife && t.heardAt.After(t.lostAt)
}

// ProbeDue reports whether an endpoint should be probed now. The next probe is due after an interval.
func (t *Tracker) ProbeDue(now time.Time) bool {
	if t.State(now) == Reached || now.Before(t.nextProbe) {
		return false
	}
	t.nextProbe = now.Add(probeInterval)
	return true
}

// FailedAt reports whether a new connection to an endpoint has failed lately and none to any endpoint was answered since.
func (t *Tracker) FailedAt(endpointID string) bool {
	_, failed := t.failed[endpointID]
	return failed
}

// FailedCount returns the number of endpoints to which new connections have failed lately, and none was answered since.
func (t *Tracker) FailedCount() int {
	return len(t.failed)
}
