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

// SchedSlopes measures the cost of a grant, from ask to end, in microseconds, against customers and endpoints.
func SchedSlopes() []Slope {
	var byCustomers, byEndpoints []Point
	for _, n := range []int{10, 100, 500, 1000, 2000, 4900} {
		byCustomers = append(byCustomers, Point{float64(n), grantCost(n, 12)})
	}
	for _, n := range []int{12, 100, 400, 800, 1700} {
		byEndpoints = append(byEndpoints, Point{float64(n), grantCost(10, n)})
	}
	queued := queuedBytes()
	return []Slope{
		Fit("scheduler: us per grant, by customers with a queue", "us", byCustomers),
		Fit("scheduler: us per grant, by endpoints", "us", byEndpoints),
		{Name: "scheduler: bytes per queued request", Unit: "B", Base: queued, Points: []Point{{queuedMeasured, queued}}},
	}
}

func fakeAsk(id, customers int) sched.Request {
	return sched.Request{
		ID: fmt.Sprintf("customer-%d:request-%d", id%customers, id), Entry: "i1-boot", EntryAddr: netip.MustParseAddrPort("127.0.0.1:1"),
		Customer: fmt.Sprintf("customer-%d", id%customers), Class: "quick", Zone: "a", InputTokens: 200, MaxOutputTokens: 256,
		PrefixBlocks: []uint64{uint64(id % 50), 2, 3, 4},
	}
}

// grantCost keeps every customer's queue full and measures one end and the grant that follows from it, with the ask.
func grantCost(customers, endpoints int) float64 {
	now := time.Unix(0, 0)
	core := sched.New(now, 1, sched.Options{MaxQueued: 1_000_000, TokenIntervalTarget: time.Second})
	for i := range endpoints {
		core.Announce(now, endpt.Announcement{
			Name: fmt.Sprint("e", i), Boot: fmt.Sprint("e", i), Addr: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "a",
			Kind: endpt.Engine, Models: []string{"m"}, Slots: 8,
		}, 0)
	}
	terms := func(id int) sched.Terms {
		return sched.Terms{Tier: 1 + id%6, Share: 0.9 / float64(customers), MaxQueueTime: time.Hour}
	}
	next := 0
	var running []string
	collect := func() {
		out, _ := core.TakeOutput()
		for _, v := range out {
			if v.Kind == sched.Granted {
				running = append(running, v.ID)
			}
		}
	}
	offer := func() {
		core.Submit(now, fakeAsk(next, customers), terms(next%customers))
		next++
		collect()
	}
	for range endpoints*8 + customers {
		offer()
	}
	start := time.Now()
	for range grantsMeasured {
		now = now.Add(100 * time.Microsecond)
		id := running[0]
		running = running[1:]
		core.Finish(now, sched.Completion{ID: id, FirstTokenTime: time.Millisecond, TokenInterval: time.Millisecond, OutputTokens: 50})
		collect()
		offer()
	}
	return float64(time.Since(start).Microseconds()) / grantsMeasured
}

// queuedBytes measures the memory of one queued request.
func queuedBytes() float64 {
	now := time.Unix(0, 0)
	core := sched.New(now, 1, sched.Options{MaxQueued: 1_000_000})
	before := heap()
	for i := range queuedMeasured {
		core.Submit(now, fakeAsk(i, 500), sched.Terms{Tier: 1, MaxQueueTime: time.Hour})
	}
	core.TakeOutput()
	after := heap()
	runtime.KeepAlive(core)
	return float64(after-before) / queuedMeasured
}
