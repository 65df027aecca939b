package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/reach"
	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// probeCheckInterval is the interval at which it is checked whether a probe is due, while endpoints are not reached.
	probeCheckInterval = 50 * time.Millisecond
	// probeTimeout bounds the wait for the answer to a probe.
	probeTimeout = 300 * time.Millisecond
	// probesAtOnce is the number of endpoints that are probed at the same time.
	probesAtOnce = 2
	// controlEndpoints is the number of other endpoints that are tried before an endpoint that is not reached counts as crashed.
	controlEndpoints = 2
)

// linkWatch follows this instance's own connections to endpoints. It is safe for concurrent use.
type linkWatch struct {
	mu      sync.Mutex
	tracker *reach.Tracker
	state   reach.State
	// doubt is written to when the state is no longer Reached.
	doubt chan struct{}
	log   *zap.Logger
}

func newLinkWatch(log *zap.Logger) *linkWatch {
	return &linkWatch{tracker: reach.New(), state: reach.Reached, doubt: make(chan struct{}, 1), log: log}
}

// record passes the tracker to fn, which records something, and returns the state after it.
func (w *linkWatch) record(now time.Time, fn func(t *reach.Tracker)) reach.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn(w.tracker)
	state := w.tracker.State(now)
	if state == w.state {
		return state
	}
	before := w.state
	w.state = state
	if state == reach.Reached {
		w.log.Info("instance reaches endpoints again")
		return state
	}
	w.log.Warn("instance reaches no endpoint", zap.String("state", string(state)), zap.Int("failed", w.tracker.FailedCount()))
	if before == reach.Reached {
		select {
		case w.doubt <- struct{}{}:
		default:
		}
	}
	return state
}

// answered records that an endpoint has sent something, over a connection that is fresh if it did so for the first time.
func (w *linkWatch) answered(now time.Time, fresh bool) {
	w.record(now, func(t *reach.Tracker) { t.Answered(now, fresh) })
}

// failed records that a new connection to an endpoint could not be made, or broke without an answer.
func (w *linkWatch) failed(now time.Time, endpointID string) {
	w.record(now, func(t *reach.Tracker) { t.Failed(now, endpointID) })
}

// triedByOther records whether another instance has reached an endpoint.
func (w *linkWatch) triedByOther(now time.Time, endpointID string, reached bool) {
	w.record(now, func(t *reach.Tracker) { t.TriedByOther(now, endpointID, reached) })
}

// broken records that a connection broke, or that an endpoint did not answer in time. answered is set if the answer had begun.
func (w *linkWatch) broken(now time.Time, endpointID string, reused, timeout, answered bool) {
	w.record(now, func(t *reach.Tracker) {
		switch {
		case timeout:
			t.Silent(now, endpointID)
		case answered || reused:
			t.Lost(now)
		default:
			t.Failed(now, endpointID)
		}
	})
}

// reached reports whether the instance reaches endpoints itself.
func (w *linkWatch) reached(now time.Time) bool {
	return w.record(now, func(*reach.Tracker) {}) == reach.Reached
}

// isCut reports whether the instance is known to be cut off from endpoints that others reach.
func (w *linkWatch) isCut(now time.Time) bool {
	return w.record(now, func(*reach.Tracker) {}) == reach.Cut
}

// useOld reports whether old connections to endpoints may be used.
func (w *linkWatch) useOld(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.UseOld(now)
}

// probeDue reports whether endpoints should be probed now.
func (w *linkWatch) probeDue(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.ProbeDue(now)
}

// failedAt reports whether a new connection to an endpoint has failed lately.
func (w *linkWatch) failedAt(endpointID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.FailedAt(endpointID)
}

// Probe probes endpoints while this instance does not reach any, until the context is done.
func (p *Proxy) Probe(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.links.doubt:
		}
		for !p.links.reached(p.opt.Now()) {
			if p.links.probeDue(p.opt.Now()) {
				p.probeOnce(ctx)
			}
			if !pace.Sleep(ctx, probeCheckInterval) {
				return
			}
		}
	}
}

// probeOnce probes some endpoints at once.
func (p *Proxy) probeOnce(ctx context.Context) {
	view := p.opt.View()
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, ep := range pickProbed(view, p.links.failedAt, probesAtOnce) {
		wg.Go(func() {
			err := p.probe(ctx, view, ep)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				p.opt.Log.Debug("endpoint probed in vain", zap.String("endpoint", ep.ID), zap.Error(err))
				p.links.failed(p.opt.Now(), ep.ID)
				return
			}
			p.links.answered(p.opt.Now(), true)
		})
	}
}

// pickProbed returns up to n endpoints to probe, at random: first those that have not failed, and engines, which answer a query without
// a free slot.
func pickProbed(view *ctrl.View, failed func(id string) bool, n int) []roster.Endpoint {
	var ranked [3][]roster.Endpoint
	for _, ep := range view.Endpoints {
		svc := view.Table.Service(ep.Service)
		switch {
		case svc == nil || !ep.Addr.IsValid():
		case failed(ep.ID):
			ranked[2] = append(ranked[2], ep)
		case svc.Engine == nil:
			ranked[1] = append(ranked[1], ep)
		default:
			ranked[0] = append(ranked[0], ep)
		}
	}
	var picked []roster.Endpoint
	for _, eps := range ranked {
		rand.Shuffle(len(eps), func(i, j int) { eps[i], eps[j] = eps[j], eps[i] })
		picked = append(picked, eps...)
	}
	return picked[:min(n, len(picked))]
}

// probe returns an error unless an endpoint answers a query over a new connection, whatever its status is.
func (p *Proxy) probe(ctx context.Context, view *ctrl.View, ep roster.Endpoint) error {
	conn, err := p.pools.Dial(ctx, destOf(ep))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	svc := view.Table.Service(ep.Service)
	target := cmp.Or(svc.HealthPath, "/")
	if svc.Engine != nil {
		target = p.opt.Dialect.StartTarget()
	}
	_, err = p.pools.Query(ctx, conn, target, probeTimeout)
	var status *egress.StatusError
	if errors.As(err, &status) && status.Status >= http.StatusOK {
		return nil
	}
	return err
}

// destOf returns an endpoint as a destination of connections.
func destOf(ep roster.Endpoint) egress.Dest {
	return egress.Dest{ID: ep.ID, Addr: ep.Addr, StartedAtMS: ep.StartedAtMS}
}

// isDown reports whether an endpoint that this instance cannot connect to is down, and not the links of this instance: others are
// reached, or another instance does not reach it either. Without any other instance, it is taken to be down.
func (p *Proxy) isDown(dest egress.Dest) bool {
	view := p.opt.View()
	tried := 0
	for _, ep := range pickProbed(view, p.links.failedAt, len(view.Endpoints)) {
		if ep.Addr == dest.Addr {
			continue
		}
		if p.pools.Reachable(destOf(ep)) {
			return true
		}
		if tried++; tried == controlEndpoints {
			break
		}
	}
	return !p.othersReach(dest)
}
