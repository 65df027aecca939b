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

// counter keeps the last counters of each stand-in engine, also of one that crashed.
type counter struct {
	addrs  []netip.AddrPort
	client *http.Client
	mu     sync.Mutex
	base   map[netip.AddrPort]engine.Stats
	last   map[netip.AddrPort]engine.Stats
	gone   engine.Stats
}

func newCounter(addrs []netip.AddrPort) *counter {
	c := &counter{
		addrs: addrs, client: &http.Client{Timeout: statsTimeout},
		base: map[netip.AddrPort]engine.Stats{}, last: map[netip.AddrPort]engine.Stats{},
	}
	c.read()
	for a, s := range c.last {
		c.base[a] = s
	}
	return c
}

func (c *counter) poll(ctx context.Context) {
	pace.Every(ctx, statsEvery, c.read)
	c.read()
}

// read takes in each engine's counters; where they went back, the engine has restarted.
func (c *counter) read() {
	for _, a := range c.addrs {
		s, err := c.get(a)
		if err != nil {
			continue
		}
		c.mu.Lock()
		if old := c.last[a]; s.Tokens < old.Tokens || s.Runs < old.Runs {
			c.gone = plus(c.gone, minus(old, c.base[a]))
			c.base[a] = engine.Stats{}
		}
		c.last[a] = s
		c.mu.Unlock()
	}
}

func (c *counter) get(a netip.AddrPort) (engine.Stats, error) {
	var s engine.Stats
	resp, err := c.client.Get(fmt.Sprintf("http://%s/stats", a))
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

func (c *counter) total() engine.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := c.gone
	for a, s := range c.last {
		sum = plus(sum, minus(s, c.base[a]))
	}
	return sum
}

func plus(a, b engine.Stats) engine.Stats {
	return engine.Stats{
		Runs: a.Runs + b.Runs, Tokens: a.Tokens + b.Tokens, Prefill: a.Prefill + b.Prefill, Cached: a.Cached + b.Cached,
	}
}

func minus(a, b engine.Stats) engine.Stats {
	return engine.Stats{
		Runs: a.Runs - b.Runs, Tokens: a.Tokens - b.Tokens, Prefill: a.Prefill - b.Prefill, Cached: a.Cached - b.Cached,
	}
}

// doubled counts the runs beyond the first of each key at the stand-in services.
func doubled(services []netip.AddrPort) int {
	sum := map[string]int{}
	for _, a := range services {
		resp, err := http.Get(fmt.Sprintf("http://%s/runs", a))
		if err != nil {
			continue
		}
		runs := map[string]int{}
		_ = json.NewDecoder(resp.Body).Decode(&runs)
		_ = resp.Body.Close()
		for k, n := range runs {
			if k != "" {
				sum[k] += n
			}
		}
	}
	n := 0
	for _, runs := range sum {
		n += max(runs-1, 0)
	}
	return n
}
