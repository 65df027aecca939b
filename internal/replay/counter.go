package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

// engineCounters polls the counters of simulated engines and keeps the latest values of each, so that the work of a crashed engine
// is counted too.
type engineCounters struct {
	addrs    []netip.AddrPort
	client   *http.Client
	mu       sync.Mutex
	baseline map[netip.AddrPort]engine.Stats // values at the start of the replay, or zero after a restart of the engine
	latest   map[netip.AddrPort]engine.Stats
	ended    engine.Stats // sum of the work of engine processes that have ended
}

func newEngineCounters(addrs []netip.AddrPort) *engineCounters {
	c := &engineCounters{
		addrs: addrs, client: &http.Client{Timeout: statsTimeout},
		baseline: map[netip.AddrPort]engine.Stats{}, latest: map[netip.AddrPort]engine.Stats{},
	}
	c.readAll()
	for addr, stats := range c.latest {
		c.baseline[addr] = stats
	}
	return c
}

// poll reads the counters at each statsInterval until ctx is done, and once more after that.
func (c *engineCounters) poll(ctx context.Context) {
	pace.Every(ctx, statsInterval, c.readAll)
	c.readAll()
}

// readAll reads the counters of all engines that answer. Counters lower than before mean that the engine has restarted.
func (c *engineCounters) readAll() {
	for _, addr := range c.addrs {
		stats, err := c.fetch(addr)
		if err != nil {
			continue
		}
		c.mu.Lock()
		if previous := c.latest[addr]; stats.Tokens < previous.Tokens || stats.Runs < previous.Runs {
			c.ended = addStats(c.ended, subtractStats(previous, c.baseline[addr]))
			c.baseline[addr] = engine.Stats{}
		}
		c.latest[addr] = stats
		c.mu.Unlock()
	}
}

func (c *engineCounters) fetch(addr netip.AddrPort) (engine.Stats, error) {
	var stats engine.Stats
	resp, err := c.client.Get(fmt.Sprintf("http://%s/stats", addr))
	if err != nil {
		return stats, err
	}
	defer func() { _ = resp.Body.Close() }()
	return stats, json.NewDecoder(resp.Body).Decode(&stats)
}

// total returns the sum of the work of all engines since the start of the replay.
func (c *engineCounters) total() engine.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.ended
	for addr, stats := range c.latest {
		sum = addStats(sum, subtractStats(stats, c.baseline[addr]))
	}
	return sum
}

func addStats(a, b engine.Stats) engine.Stats {
	return engine.Stats{
		Runs: a.Runs + b.Runs, Tokens: a.Tokens + b.Tokens, Prefill: a.Prefill + b.Prefill, Cached: a.Cached + b.Cached,
	}
}

func subtractStats(a, b engine.Stats) engine.Stats {
	return engine.Stats{
		Runs: a.Runs - b.Runs, Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill, Cached: a.Cached - b.Cached,
	}
}

// countDuplicateRuns returns the number of runs beyond the first for each idempotency key, over all simulated services.
func countDuplicateRuns(services []netip.AddrPort) int {
	runsByKey := map[string]int{}
	for _, addr := range services {
		resp, err := http.Get(fmt.Sprintf("http://%s/runs", addr))
		if err != nil {
			continue
		}
		runs := map[string]int{}
		_ = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		for key, n := range runs {
			if key != "" {
				runsByKey[key] += n
			}
		}
	}
	duplicates := 0
	for _, runs := range runsByKey {
		duplicates += max(runs-1, 0)
	}
	return duplicates
}
