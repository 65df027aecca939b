package replay

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// balancer hands out the targets in turn, but for those that are not ready, as a platform's balancer does.
type balancer struct {
	targets []netip.AddrPort
	client  *http.Client
	mu      sync.Mutex
	down    map[netip.AddrPort]bool
}

func newBalancer(targets []netip.AddrPort) *balancer {
	return &balancer{targets: targets, client: &http.Client{Timeout: probeTimeout}, down: map[netip.AddrPort]bool{}}
}

// watch probes the targets until the context ends.
func (b *balancer) watch(ctx context.Context) {
	pace.Every(ctx, probeEvery, func() {
		var wg sync.WaitGroup
		for _, t := range b.targets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.probe(t)
			}()
		}
		wg.Wait()
	})
}

func (b *balancer) probe(t netip.AddrPort) {
	resp, err := b.client.Get(fmt.Sprintf("http://%s/readyz", t))
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[t] = !ready
}

// pick returns the n-th target, or the next one that is ready.
func (b *balancer) pick(n int) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range b.targets {
		if t := b.targets[(n+k)%len(b.targets)]; !b.down[t] {
			return t
		}
	}
	return b.targets[n%len(b.targets)]
}
