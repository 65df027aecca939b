package meter

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// MaxClassSeries is the number of customer and class pairs with series of their own; further pairs share the series of "other".
	MaxClassSeries = 512
	// overflowLabel is the customer and the class of the shared series.
	overflowLabel = "other"
	// reportInterval is the time between two updates of the exported values.
	reportInterval = time.Second
)

var (
	requestTimeBuckets = tally.DurationBuckets{
		0, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 680 * time.Millisecond, time.Second,
		2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	tokenIntervalBuckets = tally.DurationBuckets{
		0, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 36 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second,
	}
)

type (
	// ClassMetrics records the metrics of one customer's class.
	ClassMetrics struct {
		scope           tally.Scope
		queueTime       tally.Histogram
		firstTokenTime  tally.Histogram
		tokenInterval   tally.Histogram
		requestTime     tally.Histogram
		tokensDelivered tally.Counter
		tokensWasted    tally.Counter
	}

	// Meter records the metrics of an instance. It is safe for concurrent use.
	Meter struct {
		scope   tally.Scope
		closer  io.Closer
		handler http.Handler
		mu      sync.RWMutex
		// classes is indexed by customer and class; overflow is shared by the pairs beyond MaxClassSeries.
		classes  map[[2]string]*ClassMetrics
		overflow *ClassMetrics
	}
)

// New returns a meter that has only the series shared by further classes.
func New() *Meter {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "greengagewheel", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	m := &Meter{scope: scope, closer: closer, handler: reporter.HTTPHandler(), classes: map[[2]string]*ClassMetrics{}}
	m.overflow = m.newClass(overflowLabel, overflowLabel)
	return m
}

// newClass creates the series of a customer's class.
func (m *Meter) newClass(customer, class string) *ClassMetrics {
	scope := m.scope.Tagged(map[string]string{"customer": customer, "class": class})
	return &ClassMetrics{
		scope:           scope,
		queueTime:       scope.Histogram("queue_time", requestTimeBuckets),
		firstTokenTime:  scope.Histogram("first_token_time", requestTimeBuckets),
		tokenInterval:   scope.Histogram("between_token_time", tokenIntervalBuckets),
		requestTime:     scope.Histogram("request_time", requestTimeBuckets),
		tokensDelivered: scope.Counter("tokens_delivered"),
		tokensWasted:    scope.Counter("tokens_wasted"),
	}
}

// Class returns the metrics of a customer's class, or the shared ones if there are MaxClassSeries already.
func (m *Meter) Class(customer, class string) *ClassMetrics {
	key := [2]string{customer, class}
	m.mu.RLock()
	c := m.classes[key]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c = m.classes[key]; c != nil {
		return c
	}
	if len(m.classes) >= MaxClassSeries {
		return m.overflow
	}
	c = m.newClass(customer, class)
	m.classes[key] = c
	return c
}

// RecordQueueTime records how long a request waited for its grant.
func (c *ClassMetrics) RecordQueueTime(d time.Duration) {
	c.queueTime.RecordDuration(d)
}

// RecordFirstTokenTime records the time from a request's arrival to its first token, or, where requests are routed by a routing
// table, to the first byte of the answer.
func (c *ClassMetrics) RecordFirstTokenTime(d time.Duration) {
	c.firstTokenTime.RecordDuration(d)
}

// RecordTokenInterval records the mean time between the tokens of a request, or, where requests are routed by a routing table,
// the longest gap in its stream.
func (c *ClassMetrics) RecordTokenInterval(d time.Duration) {
	c.tokenInterval.RecordDuration(d)
}

// RecordRequestTime records the time from a request's arrival to its end.
func (c *ClassMetrics) RecordRequestTime(d time.Duration) {
	c.requestTime.RecordDuration(d)
}

// CountOutcome counts a request that ended with a code such as "ok" or "overloaded", or with an HTTP status.
func (c *ClassMetrics) CountOutcome(code string) {
	c.scope.Tagged(map[string]string{"outcome": code}).Counter("requests").Inc(1)
}

// CountTokens counts the tokens delivered, and those that were generated but not delivered.
func (c *ClassMetrics) CountTokens(delivered, wasted int) {
	c.tokensDelivered.Inc(int64(delivered))
	c.tokensWasted.Inc(int64(wasted))
}

// AddToCounter adds n to a counter of the instance.
func (m *Meter) AddToCounter(name string, n int64) {
	m.scope.Counter(name).Inc(n)
}

// SetGauge sets a gauge of the instance to v.
func (m *Meter) SetGauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// CountDutyCall counts a call to the platform that ended with a result such as "ok" or "refused".
func (m *Meter) CountDutyCall(duty, result string) {
	m.scope.Tagged(map[string]string{"duty": duty, "result": result}).Counter("duty_calls").Inc(1)
}

// SetDutyHolder sets whether this instance holds a duty: 1 if it does, else 0.
func (m *Meter) SetDutyHolder(duty string, holds float64) {
	m.scope.Tagged(map[string]string{"duty": duty}).Gauge("duty_holder").Update(holds)
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close reports the last values and stops the meter.
func (m *Meter) Close() error {
	return m.closer.Close()
}
