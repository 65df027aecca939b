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
	// MaxClasses is the number of customer and class pairs with series of their own; further ones share one pair named "other".
	MaxClasses = 512
	other      = "other"
	interval   = time.Second
)

var (
	waitBuckets = tally.DurationBuckets{
		0, 5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
		100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 680 * time.Millisecond, time.Second,
		2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	}
	gapBuckets = tally.DurationBuckets{
		0, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 36 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second,
	}
)

type (
	// Class holds the series of one customer's class.
	Class struct {
		scope  tally.Scope
		queue  tally.Histogram
		first  tally.Histogram
		gap    tally.Histogram
		took   tally.Histogram
		tokens tally.Counter
		wasted tally.Counter
	}

	// Meter holds all series of an instance.
	Meter struct {
		scope   tally.Scope
		closer  io.Closer
		handler http.Handler
		mu      sync.RWMutex
		classes map[[2]string]*Class
		spill   *Class
	}
)

// New returns a meter with no series.
func New() *Meter {
	rep := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "greengagewheel", CachedReporter: rep, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, interval)
	m := &Meter{scope: scope, closer: closer, handler: rep.HTTPHandler(), classes: map[[2]string]*Class{}}
	m.spill = m.open(other, other)
	return m
}

func (m *Meter) open(customer, class string) *Class {
	s := m.scope.Tagged(map[string]string{"customer": customer, "class": class})
	return &Class{
		scope: s, queue: s.Histogram("queue_time", waitBuckets), first: s.Histogram("first_token_time", waitBuckets),
		gap: s.Histogram("between_token_time", gapBuckets), took: s.Histogram("request_time", waitBuckets), tokens: s.Counter("tokens_delivered"), wasted: s.Counter("tokens_wasted"),
	}
}

// Class returns the series of a customer's class.
func (m *Meter) Class(customer, class string) *Class {
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
	if len(m.classes) >= MaxClasses {
		return m.spill
	}
	c = m.open(customer, class)
	m.classes[key] = c
	return c
}

// Queued records the time that a request waited for its grant.
func (c *Class) Queued(d time.Duration) {
	c.queue.RecordDuration(d)
}

// First records the time from a request's arrival to its first token.
func (c *Class) First(d time.Duration) {
	c.first.RecordDuration(d)
}

// Gap records the mean time between a request's tokens.
func (c *Class) Gap(d time.Duration) {
	c.gap.RecordDuration(d)
}

// Took records the time from a request's arrival to its end.
func (c *Class) Took(d time.Duration) {
	c.took.RecordDuration(d)
}

// Outcome counts a request that ended with a code such as "ok" or "overloaded".
func (c *Class) Outcome(code string) {
	c.scope.Tagged(map[string]string{"outcome": code}).Counter("requests").Inc(1)
}

// Tokens counts the tokens delivered, and those generated but not delivered.
func (c *Class) Tokens(delivered, wasted int) {
	c.tokens.Inc(int64(delivered))
	c.wasted.Inc(int64(wasted))
}

// Count adds to a counter of the instance.
func (m *Meter) Count(name string, n int64) {
	m.scope.Counter(name).Inc(n)
}

// Gauge sets a gauge of the instance.
func (m *Meter) Gauge(name string, v float64) {
	m.scope.Gauge(name).Update(v)
}

// Handler serves the series as Prometheus text.
func (m *Meter) Handler() http.Handler {
	return m.handler
}

// Close reports the last values and ends the meter.
func (m *Meter) Close() error {
	return m.closer.Close()
}
