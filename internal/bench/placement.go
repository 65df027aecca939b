package bench

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// placementsMeasured is the number of placements per point, and runsPerEngine the number of requests that run on each engine
	// meanwhile.
	placementsMeasured = 4000
	runsPerEngine      = 20
)

// MeasurePlacement measures the time to place a request on an engine and to record its end, in microseconds, by number of engines.
func MeasurePlacement() Line {
	var points []Point
	for _, n := range []int{12, 100, 400, 800, 1700} {
		points = append(points, Point{float64(n), placementMicros(n)})
	}
	return FitLine("board: us per placement, by engines", "us", points)
}

func placementMicros(engines int) float64 {
	board := place.New()
	endpoints := map[string]roster.Endpoint{}
	for i := range engines {
		id := fmt.Sprint("e", i)
		endpoints[id] = roster.Endpoint{
			ID: id, Service: "s", Zone: fmt.Sprint(i % 3), State: roster.Ready,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	board.Sync(endpoints, table.New(&table.Table{
		Version: 1, Services: []table.Service{{Name: "s", Engine: &table.Engine{Slots: 64, Tokens: 500_000}}},
	}))
	now := time.Unix(0, 0)
	next := 0
	placeOne := func() {
		run := fmt.Sprint(next)
		board.Place(now, place.Request{
			AttemptID: run, Service: "s", Zone: "1", InputTokens: 17_000, LatencyTarget: time.Second, TimeLeft: time.Hour,
			Parts: []place.PromptPart{{ID: uint64(next % 66), Tokens: 13_300}, {ID: uint64(1000 + next), Tokens: 3_700}},
		})
		board.Apply(now, place.Event{AttemptID: run, FirstAnswer: 200 * time.Millisecond})
		if old := next - engines*runsPerEngine; old >= 0 {
			board.Apply(now, place.Event{AttemptID: fmt.Sprint(old), Outcome: place.Completed})
		}
		next++
		now = now.Add(time.Millisecond)
	}
	for range engines * runsPerEngine {
		placeOne()
	}
	start := time.Now()
	for range placementsMeasured {
		placeOne()
	}
	return float64(time.Since(start).Microseconds()) / placementsMeasured
}
