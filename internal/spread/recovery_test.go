package spread

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
	"github.com/greengagewheel/greengagewheel/internal/peer"
)

// fakeReplica answers pulls as replicas do that have no proof until provenAt.
type fakeReplica struct {
	addr     netip.AddrPort
	provenAt time.Time
	mu       sync.Mutex
	pulls    int
}

func startReplica(t *testing.T, provenAt time.Time) *fakeReplica {
	r := &fakeReplica{provenAt: provenAt}
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler("secret", peer.Handlers{Pull: peer.TypedHandler(r.serve)}))
	server := httptest.NewUnstartedServer(mux)
	conns.EnableHTTP2(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	r.addr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return r
}

func (r *fakeReplica) serve(context.Context, memb.PullRequest) (memb.PullResponse, error) {
	r.mu.Lock()
	r.pulls++
	r.mu.Unlock()
	if wait := time.Until(r.provenAt); wait > 0 {
		time.Sleep(min(wait, unprovenHold))
	} else {
		time.Sleep(10 * time.Millisecond)
	}
	return memb.PullResponse{Cluster: "c", Version: 1, Proven: !time.Now().Before(r.provenAt)}, nil
}

// TestInstanceMissesFirstProof guards against instances that wait between two pulls when the first proof after an election is made, while
// callers wait for them.
func TestInstanceMissesFirstProof(t *testing.T) {
	Convey("an instance has the proof a moment after its replicas, whenever that is", t, func() {
		var worst time.Duration
		for n := range 10 {
			provenAt := time.Now().Add(300*time.Millisecond + time.Duration(n)*20*time.Millisecond)
			var seeds []netip.AddrPort
			for range 3 {
				seeds = append(seeds, startReplica(t, provenAt).addr)
			}
			d := New(Options{
				Self: ctrl.Instance{Name: fmt.Sprint("e", n)}, SeedAddrs: func() []netip.AddrPort { return seeds }, ReplicasOnly: true,
				MaxProofAge: 5 * time.Second, Links: peer.NewLinks("secret", netip.Addr{}), Log: zap.NewNop(),
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { d.Run(ctx); close(done) }()
			for !d.ConfigCurrent(clock.Now()) && time.Since(provenAt) < time.Second {
				time.Sleep(time.Millisecond)
			}
			worst = max(worst, time.Since(provenAt))
			cancel()
			<-done
		}
		So(worst, ShouldBeLessThan, 60*time.Millisecond)
	})
}

// TestAllInstancesAskOneSeed guards against a seed that gets the first pulls, and so sends the whole configuration, of all instances.
func TestAllInstancesAskOneSeed(t *testing.T) {
	Convey("each seed is the first for about a third of the instances, and all are asked", t, func() {
		var seeds []netip.AddrPort
		for i := range 3 {
			seeds = append(seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1))
		}
		first := map[netip.AddrPort]int{}
		for n := range 300 {
			order := seedOrder(fmt.Sprint("edge-", n), seeds)
			So(order, ShouldHaveLength, 3)
			first[order[0]]++
		}
		for _, seed := range seeds {
			So(first[seed], ShouldBeBetween, 70, 130)
		}
		So(seedOrder("e", nil), ShouldBeEmpty)
	})
}
