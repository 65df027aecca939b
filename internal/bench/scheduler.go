package bench

import (
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/sched"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

const (
	grantsMeasured = 4000
	queuedMeasured = 50_000
)

// MeasureScheduler measures the scheduler's time per grant, from submission to completion, in microseconds, by number of
// customers and of endpoints, and the bytes per queued request.
func MeasureScheduler() []Line {
	var byCustomers, byEndpoints []Point
	for _, n := range []int{10, 100, 500, 1000, 2000, 4900} {
		byCustomers = append(byCustomers, Point{float64(n), grantMicros(n, 12)})
	}
	for _, n := range []int{12, 100, 400, 800, 1700} {
		byEndpoints = append(byEndpoints, Point{float64(n), grantMicros(10, n)})
	}
	queued := queuedRequestBytes()
	return []Line{
		FitLine("scheduler: us per grant, by customers with a queue", "us", byCustomers),
		FitLine("scheduler: us per grant, by endpoints", "us", byEndpoints),
		{Name: "scheduler: bytes per queued request", Unit: "B", Intercept: queued, Points: []Point{{queuedMeasured, queued}}},
	}
}

func newSchedRequest(id, customers int) sched.Request {
	return sched.Request{
		ID: fmt.Sprintf("customer-%d:request-%d", id%customers, id), Entry: "i1-boot", EntryAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		Customer: fmt.Sprintf("customer-%d", id%customers), Class: "quick", Zone: "a", InputTokens: 200, MaxOutputTokens: 256,
		PrefixBlocks: []uint64{uint64(id % 50), 2, 3, 4},
	}
}

// grantMicros keeps a request queued for every customer and measures one completion, the grant that it allows and the
// submission of the next request, in microseconds.
func grantMicros(customers, endpoints int) float64 {
	now := time.Unix(0, 0)
	scheduler := sched.New(now, 1, sched.Options{MaxQueued: 1_000_000, TokenIntervalTarget: time.Second})
	for i := range endpoints {
		scheduler.Announce(now, endpt.Announcement{
			Name: fmt.Sprint("e", i), Boot: fmt.Sprint("e", i), Addr: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "a",
			Kind: endpt.Engine, Models: []string{"m"}, Slots: 8,
		}, 0)
	}
	terms := func(id int) sched.Terms {
		return sched.Terms{Tier: 1 + id%6, Share: 0.9 / float64(customers), MaxQueueTime: time.Hour}
	}
	nextID := 0
	var running []string
	collectGrants := func() {
		out, _ := scheduler.TakeOutput()
		for _, verdict := range out {
			if verdict.Kind == sched.Granted {
				running = append(running, verdict.ID)
			}
		}
	}
	submitNext := func() {
		scheduler.Submit(now, newSchedRequest(nextID, customers), terms(nextID%customers))
		nextID++
		collectGrants()
	}
	for range endpoints*8 + customers {
		submitNext()
	}
	start := time.Now()
	for range grantsMeasured {
		now = now.Add(100 * time.Microsecond)
		id := running[0]
		running = running[1:]
		scheduler.Finish(now, sched.Completion{ID: id, FirstTokenTime: time.Millisecond, TokenInterval: time.Millisecond, OutputTokens: 50})
		collectGrants()
		submitNext()
	}
	return float64(time.Since(start).Microseconds()) / grantsMeasured
}

// queuedRequestBytes measures the memory of one queued request, in bytes.
func queuedRequestBytes() float64 {
	now := time.Unix(0, 0)
	scheduler := sched.New(now, 1, sched.Options{MaxQueued: 1_000_000})
	heapBefore := heapBytes()
	for i := range queuedMeasured {
		scheduler.Submit(now, newSchedRequest(i, 500), sched.Terms{Tier: 1, MaxQueueTime: time.Hour})
	}
	scheduler.TakeOutput()
	heapAfter := heapBytes()
	runtime.KeepAlive(scheduler)
	return float64(heapAfter-heapBefore) / queuedMeasured
}
