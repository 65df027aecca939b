package router

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// notice is the time that the balancer needs to see that this instance is not ready: two questions in a row, a second
	// apart, and one more.
	notice = 3 * time.Second
	// lastPart is the part of the grace time after which requests are not waited for any longer.
	lastPart   = 0.95
	drainCheck = 20 * time.Millisecond
	// lastAnswers is the time for answers to reach their callers before connections are closed.
	lastAnswers = 100 * time.Millisecond
	// closeTimeout bounds what is done after the last request.
	closeTimeout = 300 * time.Millisecond
)

// stop ends the instance. Callers are asked to use other instances first, and requests in progress are finished.
func (r *Router) stop(graceful bool) {
	if r.proxy != nil && graceful {
		r.drain()
	}
	done, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if r.proxy != nil && graceful {
		if err := r.members.Deregister(done); err != nil {
			r.log.Info("not deregistered", zap.Error(err))
		}
	}
	r.cancel()
	for _, app := range r.apps {
		_ = app.ShutdownWithContext(done)
	}
	if r.callers != nil {
		_ = r.callers.Close()
	}
	_ = r.peers.Close()
	for _, s := range r.lists {
		_ = s.list.Close()
	}
	r.wg.Wait()
	_ = r.meter.Close()
}

// drain lets callers go elsewhere and finishes what is in progress, for as long as the grace time allows.
func (r *Router) drain() {
	start := time.Now()
	grace := time.Duration(float64(r.conf.Load().Stop.Grace.Std()) * lastPart)
	r.proxy.Leave()
	r.log.Info("instance stops", zap.Int("requests", r.proxy.Busy()), zap.Duration("grace", grace))
	time.Sleep(min(notice, grace/2))
	r.proxy.Refuse()
	r.closeListener("callers")
	for time.Since(start) < grace {
		if err := r.idle.wind(time.Now()); err != nil {
			r.log.Debug("idle connection not closed", zap.Error(err))
		}
		if r.proxy.Busy() == 0 {
			break
		}
		time.Sleep(drainCheck)
	}
	if n := r.proxy.Busy(); n > 0 {
		r.log.Warn("requests cut off at the end of the grace time", zap.Int("requests", n))
		return
	}
	// What has been answered last is still on its way.
	time.Sleep(lastAnswers)
}

// closeListener ends the listener with a name; its connections stay open.
func (r *Router) closeListener(name string) {
	for _, s := range r.lists {
		if s.name != name {
			continue
		}
		if err := s.list.Close(); err != nil {
			r.log.Warn("listener not closed", zap.String("name", name), zap.Error(err))
		}
	}
}
