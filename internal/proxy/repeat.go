package proxy

import (
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// unreachableMaxRetryAfter is the longest Retry-After when no endpoint of a service was reachable. A crashed
	// endpoint takes seconds to restart.
	unreachableMaxRetryAfter = 3 * time.Second
	// retryAfterDivisor limits Retry-After to this fraction of the caller's remaining time.
	retryAfterDivisor = 3
)

// unreachableRetryAfter returns the Retry-After when no endpoint of the service was reachable: long enough for crashed
// endpoints to restart, but within the caller's deadline, as it may not get a third attempt.
func unreachableRetryAfter(elapsed, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return unreachableMaxRetryAfter
	}
	return max(defaultRetryAfter, min(unreachableMaxRetryAfter, (deadline-elapsed)/retryAfterDivisor))
}

// takeRetry takes one retry from the service's retry window. While no attempt has sent anything, it costs nothing.
func (req *request) takeRetry(now time.Time) bool {
	if req.sentCount == 0 {
		return true
	}
	if req.retryWindow.AllowRetry(now, req.proxy.opt.RetryAllowance()) {
		return true
	}
	req.log.Info("not repeated: the budget is spent", zap.String("service", req.service.Name))
	return false
}

// repeatable reports whether the request may run more than once.
func (req *request) repeatable() bool {
	return req.route.Kind == table.Idempotent || req.route.Kind == table.Streaming && req.route.Resumable
}

// mayRetry reports whether the request may be sent to another endpoint although this one may have run it.
func (req *request) mayRetry() bool {
	return req.repeatable() && !req.suspect && req.sentCount-req.declinedCount < req.route.MaxAttempts
}
