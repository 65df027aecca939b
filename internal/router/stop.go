package router

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	// loadBalancerDetectionTime is the time that the load balancer in front of the instances needs to detect that this one is
	// not ready: two consecutive checks, one second apart, plus one.
	loadBalancerDetectionTime = 3 * time.Second
	// drainRatio is the fraction of the grace time during which requests in progress are awaited.
	drainRatio        = 0.95
	drainPollInterval = 20 * time.Millisecond
	// lastResponseDelay gives the last responses time to reach their callers before connections are closed.
	lastResponseDelay = 100 * time.Millisecond
	// closeTimeout bounds the shutdown after the last request.
	closeTimeout = 300 * time.Millisecond
	// leaveTimeout bounds the wait until another replica votes in place of this one.
	leaveTimeout = 2 * time.Second
)

// stop ends the instance. If graceful, it first diverts callers to other instances and finishes requests in progress.
func (r *Router) stop(graceful bool) {
	var leave conc.WaitGroup
	if r.group != nil && graceful {
		leaveCtx, cancel := context.WithTimeout(r.ctx, leaveTimeout)
		defer cancel()
		leave.Go(func() { r.group.Leave(leaveCtx) })
	}
	if r.proxy != nil && graceful {
		r.drain()
	}
	leave.Wait()
	closeCtx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if r.proxy != nil && graceful {
		if err := r.registrar.Deregister(closeCtx); err != nil {
			r.log.Info("not deregistered", zap.Error(err))
		}
	}
	r.cancel()
	for _, app := range r.apps {
		_ = app.ShutdownWithContext(closeCtx)
	}
	if r.callerServer != nil {
		_ = r.callerServer.Close()
	}
	_ = r.peerServer.Close()
	for _, served := range r.listeners {
		_ = served.listener.Close()
	}
	r.wg.Wait()
	_ = r.meter.Close()
}

// drain diverts callers to other instances and finishes requests in progress, within the grace time.
func (r *Router) drain() {
	start := time.Now()
	grace := time.Duration(float64(r.conf.Load().Stop.Grace.Std()) * drainRatio)
	r.proxy.StartDraining()
	r.log.Info("instance stops", zap.Int("requests", r.proxy.RequestsInProgress()), zap.Duration("grace", grace))
	time.Sleep(min(loadBalancerDetectionTime, grace/2))
	r.proxy.RejectRequests()
	r.closeListener("callers")
	for time.Since(start) < grace {
		if err := r.callerConns.closeIdle(time.Now()); err != nil {
			r.log.Debug("idle connection not closed", zap.Error(err))
		}
		if r.proxy.RequestsInProgress() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	if n := r.proxy.RequestsInProgress(); n > 0 {
		r.log.Warn("requests cut off at the end of the grace time", zap.Int("requests", n))
		return
	}
	// The last responses may still be in transit.
	time.Sleep(lastResponseDelay)
}

// closeListener closes the listener of that name. Its connections stay open.
func (r *Router) closeListener(name string) {
	for _, served := range r.listeners {
		if served.name != name {
			continue
		}
		if err := served.listener.Close(); err != nil {
			r.log.Warn("listener not closed", zap.String("name", name), zap.Error(err))
		}
	}
}
