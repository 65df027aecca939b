package proxy

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/reach"
)

// linkWatch follows this instance's own connections to endpoints. It is safe for concurrent use.
type linkWatch struct {
	mu      sync.Mutex
	tracker *reach.Tracker
	state   reach.State
	log     *zap.Logger
}

func newLinkWatch(log *zap.Logger) *linkWatch {
	return &linkWatch{tracker: reach.New(), state: reach.Reached, log: log}
}

// connected records the result of an attempt to connect to an endpoint.
func (w *linkWatch) connected(now time.Time, endpointID string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.tracker.Connected(now, endpointID)
	} else {
		w.tracker.ConnectFailed(now, endpointID)
	}
	w.update(now)
}

// heard records that an endpoint has sent something.
func (w *linkWatch) heard(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.Heard(now)
}

// update logs a change of the state. The caller holds w.mu.
func (w *linkWatch) update(now time.Time) reach.State {
	state := w.tracker.State(now)
	if state == w.state {
		return state
	}
	w.state = state
	if state == reach.Reached {
		w.log.Info("instance reaches endpoints again")
	} else {
		w.log.Warn("instance reaches no endpoint", zap.String("state", string(state)), zap.Int("failed", w.tracker.Failed()))
	}
	return state
}

// reached reports whether the instance reaches endpoints itself.
func (w *linkWatch) reached(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.update(now) == reach.Reached
}
