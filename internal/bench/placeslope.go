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
	// placesMeasured is the number of placements of one point, and runsPerEngine that of the requests that run at an engine.
	placesMeasured = 4000
	runsPerEngine  = 20
)

// PlaceSlope measures the cost of a placement and its end on a board, in microseconds, against engines.
func PlaceSlope() Slope {
	var pts []Point
	for _, n := range []int{12, 100, 400, 800, 1700} {
		pts = append(pts, Point{float64(n), placeCost(n)})
	}
	return Fit("board: us per placement, by engines", "us", pts)
}

func placeCost(engines int) float64 {
	b := place.New()
	eps := map[string]roster.Endpoint{}
	for i := range engines {
		id := fmt.Sprint("e", i)
		eps[id] = roster.Endpoint{
			ID: id, Service: "s", Zone: fmt.Sprint(i % 3), State: roster.Ready,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		}
	}
	b.Sync(eps, table.New(&table.Table{Version: 1, Services: []table.Service{{Name: "s", Engine: &table.Engine{Slots: 64, Tokens: 500_000}}}}))
	now := time.Unix(0, 0)
	next := 0
	step := func() {
		run := fmt.Sprint(next)
		b.Place(now, place.Request{
			AttemptID: run, Service: "s", Zone: "1", InputTokens: 17_000, LatencyTarget: time.Second, TimeLeft: time.Hour,
			Parts: []place.PromptPart{{ID: uint64(next % 66), Tokens: 13_300}, {ID: uint64(1000 + next), Tokens: 3_700}},
		})
		b.Apply(now, place.Event{AttemptID: run, FirstAnswer: 200 * time.Millisecond})
		if old := next - engines*runsPerEngine; old >= 0 {
			b.Apply(now, place.Event{AttemptID: fmt.Sprint(old), Outcome: place.Completed})
		}
		next++
		now = now.Add(time.Millisecond)
	}
	for range engines * runsPerEngine {
		step()
	}
	start := time.Now()
	for range placesMeasured {
		step()
	}
	return float64(time.Since(start).Microseconds()) / placesMeasured
}
