package place

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

const (
	// minRate is the rate, in requests per second, at which an endpoint that names a lower limit is still tried, as only an answer
	// tells that the limit has changed.
	minRate = 0.2
	// maxRate bounds a named limit, in requests per second.
	maxRate = 1e6
	// slotLife is how long a request that could have been sent may still be sent. What is saved up in that time may come at once.
	slotLife = time.Second
	// maxAhead bounds how many requests a limiter may be ahead, when others have sent more than it allows.
	maxAhead = 2
	// aloneShare is the part of a limit that entry instances use which do not know of one another's requests.
	aloneShare = 0.8
	// liftMargin is how long after the last naming of a limit a request must have been sent for an answer to it to lift the limit:
	// longer than answers overtake one another between instances.
	liftMargin = 500 * time.Millisecond
	// After the end of a limit the rate doubles every rampDoubling, for rampTime, from the limit or minRampRate, so that the callers
	// that were turned away do not all come at once.
	rampDoubling = 500 * time.Millisecond
	rampTime     = 4 * time.Second
	minRampRate  = 1.0
	// limitLife is how long an entry instance keeps a limit that it has heard itself and the leader does not report.
	limitLife = 2 * time.Second
)

type (
	// Limit is what an endpoint says of the requests that it takes from all instances together.
	Limit struct {
		EndpointID string `json:"i"`
		// StartedAtMS is the start time of the endpoint in Unix milliseconds.
		StartedAtMS int64   `json:"b"`
		PerSecond   float64 `json:"r,omitempty"`
		// Lifted means that the endpoint names no limit.
		Lifted bool `json:"l,omitempty"`
		// SentAgo is the time since the request was sent whose answer told this, EndedAgo, in a report of the leader, the time since the
		// limit was lifted.
		SentAgo  time.Duration `json:"a,omitempty"`
		EndedAgo time.Duration `json:"e,omitempty"`
	}

	// LimitedError means that all endpoints which could take a request have reached their limits, or are brittle and have no room. Wait is
	// the time until one of them takes another request.
	LimitedError struct {
		Wait time.Duration
	}

	// rateLimit is the limit of an endpoint. namedAt is when it was last named, liftedAt when it ended, or zero.
	rateLimit struct {
		perSecond float64
		namedAt   time.Time
		liftedAt  time.Time
		limiter   limiter
	}

	// limiter spaces out requests evenly. Slots that are not used within slotLife are lost.
	limiter struct {
		period time.Duration
		next   time.Time
	}
)

// Error says how long the limits last.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("the endpoints limit requests for %v", e.Wait)
}

// Check returns an error if the limit is invalid.
func (l *Limit) Check() error {
	if l.EndpointID == "" || math.IsNaN(l.PerSecond) || l.PerSecond < 0 || l.SentAgo < 0 || l.EndedAgo < 0 {
		return errors.New("limit: endpoint is missing, or rate or age is invalid")
	}
	return nil
}

// newLimiter returns a limiter whose first slot is a part, from 0 to 1, of its period from now.
func newLimiter(now time.Time, period time.Duration, part float64) limiter {
	return limiter{period: period, next: now.Add(time.Duration(float64(period) * part))}
}

// setPeriod changes the period and moves the next slot accordingly.
func (l *limiter) setPeriod(now time.Time, period time.Duration) {
	if period == l.period {
		return
	}
	if left := l.next.Sub(now); left > 0 {
		l.next = now.Add(time.Duration(float64(left) * float64(period) / float64(l.period)))
	}
	l.period = period
}

// wait returns the time until a request may be sent, or 0.
func (l *limiter) wait(now time.Time) time.Duration {
	if lost := now.Sub(l.next) - slotLife; lost > 0 {
		l.next = l.next.Add((lost + l.period - 1) / l.period * l.period)
	}
	return max(0, l.next.Sub(now))
}

// take uses a slot for a request that was sent, whether or not one was free.
func (l *limiter) take(now time.Time) {
	l.wait(now)
	if l.next.Sub(now) < maxAhead*l.period {
		l.next = l.next.Add(l.period)
	}
}

// rate returns the requests per second that the endpoint gets, or 0 if its limit has long ended.
func (r *rateLimit) rate(now time.Time) float64 {
	if r.liftedAt.IsZero() {
		return max(r.perSecond, minRate)
	}
	elapsed := now.Sub(r.liftedAt)
	if elapsed >= rampTime {
		return 0
	}
	return max(r.perSecond, minRampRate) * math.Exp2(elapsed.Seconds()/rampDoubling.Seconds())
}

// SetInstances tells the balancer that it is one of count entry instances, of which each chooses for itself without knowing the
// others' requests, and its name. With a count of 1 or less it knows all requests.
func (b *Balancer) SetInstances(name string, count int) {
	b.name, b.instances = name, max(1, count)
}

// limitPeriod returns the time between two requests of this balancer at a rate, in requests per second of all instances.
func (b *Balancer) limitPeriod(rate float64) time.Duration {
	if b.instances > 1 {
		rate *= aloneShare / float64(b.instances)
	}
	return max(time.Nanosecond, time.Duration(float64(time.Second)/rate))
}

// limitWait returns the time until an endpoint takes another request, or 0. It removes a limit that has long ended.
func (b *Balancer) limitWait(now time.Time, ep *endpoint) time.Duration {
	if ep.limit == nil {
		return 0
	}
	rate := ep.limit.rate(now)
	if rate == 0 {
		ep.limit = nil
		return 0
	}
	ep.limit.limiter.setPeriod(now, b.limitPeriod(rate))
	return ep.limit.limiter.wait(now)
}

// LimitedFor returns the time until an endpoint takes a request that none takes now for its limit or its brittleness, or 0 if these
// are not the reason.
func (b *Balancer) LimitedFor(now time.Time, req *Request) time.Duration {
	var least time.Duration
	for _, ep := range b.byService[req.Service] {
		if !ep.accepts(req) {
			continue
		}
		wait := b.waitOf(now, ep)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// RecordLimit records what an endpoint said of its limit, and reports whether that is news: a limit that changed, begins or ends. A
// limit ends only by an answer to a request that was sent after it was last named, as answers overtake one another.
func (b *Balancer) RecordLimit(now time.Time, limit Limit) bool {
	ep := b.endpoints[limit.EndpointID]
	if ep == nil || ep.info.StartedAtMS != limit.StartedAtMS || limit.Check() != nil {
		return false
	}
	known := ep.limit
	if limit.Lifted {
		if known == nil || !known.liftedAt.IsZero() || !now.Add(-limit.SentAgo-liftMargin).After(known.namedAt) {
			return false
		}
		known.liftedAt = now
		return true
	}
	perSecond := min(limit.PerSecond, maxRate)
	if known == nil {
		ep.limit = &rateLimit{perSecond: perSecond, namedAt: now}
		ep.limit.limiter = newLimiter(now, b.limitPeriod(ep.limit.rate(now)), b.slotPart(ep))
		return true
	}
	news := known.perSecond != perSecond || !known.liftedAt.IsZero()
	known.perSecond, known.namedAt, known.liftedAt = perSecond, now, time.Time{}
	return news
}

// slotPart returns the part of the period after which the first slot at an endpoint comes. It differs between entry instances, so
// that those that choose alone do not send all at once; an instance that knows all requests waits for a period.
func (b *Balancer) slotPart(ep *endpoint) float64 {
	if b.instances <= 1 {
		return 1
	}
	return float64(mixBits(xxhash.Sum64String(b.name)^ep.idHash)) / math.MaxUint64
}

// Limits returns the limits that are in force or have just ended, of one service, or of all if service is empty.
func (b *Balancer) Limits(now time.Time, service string) (limits []Limit) {
	for id, ep := range b.endpoints {
		if ep.limit == nil || service != "" && ep.info.Service != service || ep.limit.rate(now) == 0 {
			continue
		}
		limit := Limit{EndpointID: id, StartedAtMS: ep.info.StartedAtMS, PerSecond: ep.limit.perSecond}
		if !ep.limit.liftedAt.IsZero() {
			limit.Lifted, limit.EndedAgo = true, now.Sub(ep.limit.liftedAt)
		}
		limits = append(limits, limit)
	}
	return limits
}

// setLimits takes over the leader's limits of a service. Limits that the leader does not report, or reports as lifted, are kept for
// limitLife if an endpoint has named one here.
func (b *Balancer) setLimits(now time.Time, service string, limits []Limit) {
	reported := map[string]Limit{}
	for _, limit := range limits {
		reported[limit.EndpointID] = limit
	}
	for _, ep := range b.byService[service] {
		limit, ok := reported[ep.info.ID]
		ok = ok && limit.StartedAtMS == ep.info.StartedAtMS
		switch known := ep.limit; {
		case ok && !limit.Lifted && known == nil:
			b.RecordLimit(now, limit)
		case ok && !limit.Lifted:
			known.perSecond, known.liftedAt = limit.PerSecond, time.Time{}
		case known == nil || now.Sub(known.namedAt) <= limitLife:
		case ok && known.liftedAt.IsZero():
			known.liftedAt = now.Add(-limit.EndedAgo)
		case !ok:
			ep.limit = nil
		}
	}
}

// LimitedEndpoints returns the number of endpoints that name a limit.
func (b *Balancer) LimitedEndpoints() (n int) {
	for _, ep := range b.endpoints {
		if ep.limit != nil && ep.limit.liftedAt.IsZero() && ep.info.State == roster.Ready {
			n++
		}
	}
	return n
}
