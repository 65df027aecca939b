package picker

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

// TestUsageWaitsAtEntry guards against counts that wait at an entry for long, or are sent again after they were acknowledged.
func TestUsageWaitsAtEntry(t *testing.T) {
	Convey("counts reach the leader well before the interval of events, and are sent until acknowledged", t, func() {
		var mu sync.Mutex
		var arrived []time.Time
		messages, lost := 0, false
		collector := usage.NewCollector(time.Minute, time.Now)
		leader := startLeader(t, func(_ context.Context, req LeaderRequest) (LeaderReply, error) {
			mu.Lock()
			defer mu.Unlock()
			if req.Usage != nil && len(req.Usage.Counts) > 0 {
				messages++
				arrived = append(arrived, clock.Now())
			}
			if !lost && messages == 1 {
				lost = true
				return LeaderReply{IsLeader: true, Usage: &usage.Ack{}}, nil
			}
			ack := collector.Receive(clock.Now(), req.Entry, req.Boot, req.Usage)
			return LeaderReply{IsLeader: true, Usage: &ack}, nil
		})
		counter := usage.NewCounter(time.Minute, clock.Now, time.Now)
		view := newView(1)
		p := New(Options{
			Self: ctrl.Instance{Name: "entry-0", Boot: "boot"}, Links: peer.NewLinks(testSecret, netip.Addr{}),
			View: func() *ctrl.View { return view }, Leader: func() netip.AddrPort { return leader }, Now: clock.Now, Usage: counter,
			Log: zap.NewNop(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { p.Run(ctx); close(ended) }()
		time.Sleep(3 * flushInterval)
		counted := clock.Now()
		counter.Count("org")
		time.Sleep(5 * flushInterval)
		cancel()
		<-ended
		mu.Lock()
		defer mu.Unlock()
		So(arrived, ShouldNotBeEmpty)
		So(arrived[0].Sub(counted), ShouldBeLessThan, flushInterval)
		// The first message was not acknowledged; each later one may have been on its way before the acknowledgement.
		So(messages, ShouldBeBetweenOrEqual, 2, 4)
		So(counter.Message(leader).Counts, ShouldBeEmpty)
	})
}
