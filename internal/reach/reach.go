package reach

import (
	"time"
)

const (
	// doubtAfter is the number of endpoints to which connections must have failed, one after the other, for doubt.
	doubtAfter = 2
	// quietAfter is the silence of all endpoints after which one failed connection is enough for doubt.
	quietAfter = 500 * time.Millisecond
	// failureLife is how long a failed connection counts.
	failureLife = 2 * time.Second
)

// States of an instance.
const (
	// Reached means that the instance reaches endpoints, or has no sign that it does not.
	Reached State = "reached"
	// Doubted means that its connections to several endpoints have failed, and none has been made since.
	Doubted State = "doubted"
)

type (
	// State tells whether an instance reaches endpoints.
	State string

	// Tracker follows the connections of one instance to endpoints. It is not safe for concurrent use.
	Tracker struct {
		// failed holds the endpoints to which connections have failed since one was made, and when.
		failed map[string]time.Time
		// heardAt is when an endpoint last sent something over a connection of this instance.
		heardAt time.Time
	}
)

// New returns a tracker without any sign.
func New() *Tracker {
	return &Tracker{failed: map[string]time.Time{}}
}

// Connected records that a connection to an endpoint was made.
func (t *Tracker) Connected(time.Time, string) {
	clear(t.failed)
}

// ConnectFailed records that a connection to an endpoint could not be made.
func (t *Tracker) ConnectFailed(now time.Time, endpointID string) {
	t.failed[endpointID] = now
}

// Heard records that an endpoint has sent something.
func (t *Tracker) Heard(now time.Time) {
	t.heardAt = now
}

// State returns the present state.
func (t *Tracker) State(now time.Time) State {
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

// Failed returns the number of endpoints to which connections have failed lately, and none was made since.
func (t *Tracker) Failed() int {
	return len(t.failed)
}
