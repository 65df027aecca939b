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
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// balancer picks the ready targets in turn, like a load balancer with readiness checks. A target counts as ready until a check fails.
type balancer struct {
	targets  []netip.AddrPort
	client   *http.Client
	mu       sync.Mutex
	notReady map[netip.AddrPort]bool
}

func newBalancer(targets []netip.AddrPort) *balancer {
	return &balancer{targets: targets, client: &http.Client{Timeout: probeTimeout}, notReady: map[netip.AddrPort]bool{}}
}

// watch checks the readiness of all targets at each probeInterval until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	pace.Every(ctx, probeInterval, func() {
		var wg sync.WaitGroup
		for _, target := range b.targets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				b.probe(target)
			}()
		}
		wg.Wait()
	})
}

func (b *balancer) probe(target netip.AddrPort) {
	resp, err := b.client.Get(fmt.Sprintf("http://%s/readyz", target))
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notReady[target] = !ready
}

// pick returns the n-th target (n wraps around), or the next one that is ready. If none is ready, it returns the n-th.
func (b *balancer) pick(n int) netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.targets {
		if target := b.targets[(n+i)%len(b.targets)]; !b.notReady[target] {
			return target
		}
	}
	return b.targets[n%len(b.targets)]
}
