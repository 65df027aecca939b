package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// staleEntries entry instances choose alone among staleEndpoints endpoints, each stalePerEntry times, by the same report.
	staleEntries   = 80
	staleEndpoints = 60
	stalePerEntry  = 6
)

// oldReport is a second in which entry instances choose alone by the same report of the leader.
type oldReport struct {
	// calls is set for a service without engines, unequal if some entry instances have three times as many requests as the others, and
	// unreported if there is no report.
	calls, unequal, unreported bool
	// prompts is the number of shared prompts, or 0.
	prompts int
}

// place lets all entry instances choose and returns the load of each endpoint then, in ascending order.
func (r oldReport) place(seed uint64, ignoreOthers bool) []int {
	eps, index := newEndpoints(staleEndpoints)
	if r.calls {
		for id, ep := range eps {
			ep.Slots = 16
			eps[id] = ep
		}
		index = table.New(&table.Table{Version: 1, Services: []table.Service{{Name: "s"}}})
	}
	random := rand.New(rand.NewPCG(seed, 9))
	report, loads := ServiceLoad{Service: "s"}, map[string]int{}
	for i := range staleEndpoints {
		id := fmt.Sprint("e", i)
		if loads[id] = 0; !r.unreported {
			loads[id] = 6 + random.IntN(6)
		}
		load := EndpointLoad{ID: id, Running: loads[id]}
		if !r.calls {
			load.Backlog = time.Duration(random.IntN(60)) * time.Millisecond
		}
		report.Endpoints = append(report.Endpoints, load)
	}
	entries, start := make([]*Balancer, staleEntries), time.Unix(1000, 0)
	for i := range entries {
		entries[i] = New()
		entries[i].ignoreOthers = ignoreOthers
		reportEmptyCaches(entries[i], entries[i].Sync(eps, index))
		entries[i].SetInstances(fmt.Sprint("entry-", i), staleEntries)
		if !r.unreported {
			entries[i].SetOtherLoad(start, report)
		}
	}
	for step := range 2 * stalePerEntry * staleEntries {
		i, round := step%staleEntries, step/staleEntries
		if r.unequal && i%4 != 0 && round%3 != 0 || !r.unequal && round%2 != 0 {
			continue
		}
		now := start.Add(time.Duration(step) * time.Second / (2 * stalePerEntry * staleEntries))
		req := Request{
			AttemptID: fmt.Sprint(i, "-", round), Service: "s", Zone: "a", InputTokens: 300 + random.IntN(2000), OutputTokens: 100,
			LatencyTarget: shortTarget, TimeLeft: 30 * time.Second,
		}
		if r.prompts > 0 {
			req.Parts = []PromptPart{{ID: uint64(random.IntN(r.prompts)) + 1, Tokens: 200}, {ID: uint64(step)<<20 + 1, Tokens: req.InputTokens - 200}}
		}
		choice, _ := entries[i].Place(now, req)
		loads[choice.ID]++
	}
	sorted := make([]int, 0, len(loads))
	for _, n := range loads {
		sorted = append(sorted, n)
	}
	slices.Sort(sorted)
	return sorted
}

// TestEntriesChooseAlikeFromOldReport guards against entry instances that all send their requests to the endpoints that the last report
// of the leader shows as idle.
func TestEntriesChooseAlikeFromOldReport(t *testing.T) {
	// Without a report there is less load beside which chance shows; shared prompts are worth a wait at the engine that has them.
	for r, highestRatio := range map[oldReport]float64{
		{}: 1.65, {unequal: true}: 1.65, {calls: true}: 1.65, {calls: true, unequal: true}: 1.65,
		{unreported: true}: 2, {calls: true, unreported: true}: 2, {prompts: 300}: 2.25,
	} {
		Convey(fmt.Sprintf("a second after the report, no endpoint has more than %v times the median load, %+v", highestRatio, r), t, func() {
			for seed := uint64(1); seed <= 5; seed++ {
				before, after := r.place(seed, true), r.place(seed, false)
				median, highest := after[len(after)/2], after[len(after)-1]
				t.Logf("seed %d: median %d, highest %d, lowest %d; before %d, %d, %d", seed, median, highest, after[0],
					before[len(before)/2], before[len(before)-1], before[0])
				So(float64(highest), ShouldBeLessThanOrEqualTo, highestRatio*float64(median))
			}
		})
	}
}

// TestEntryForgetsReportedLoad guards against an entry instance that takes all endpoints for alike because their load is uncertain, and
// against one that avoids an endpoint for a backlog that it has long worked off.
func TestEntryForgetsReportedLoad(t *testing.T) {
	chosen := func(age time.Duration) (n int) {
		eps, index := newEndpoints(4)
		report := ServiceLoad{Service: "s", Endpoints: []EndpointLoad{{ID: "e0", Running: 12, Backlog: 1500 * time.Millisecond}}}
		for i := range 40 {
			b, start := New(), time.Unix(1000, 0)
			reportEmptyCaches(b, b.Sync(eps, index))
			b.SetInstances("entry", 20)
			b.recordServiceTime("s", 500*time.Millisecond)
			b.SetOtherLoad(start, report)
			choice, _ := b.Place(start.Add(age), Request{
				AttemptID: fmt.Sprint(i, "/1"), Service: "s", Zone: "a", InputTokens: 1000, LatencyTarget: shortTarget, TimeLeft: time.Minute,
			})
			if choice.ID == "e0" {
				n++
			}
		}
		return n
	}
	Convey("an endpoint that was behind gets nothing at first, and about its share when the report is old", t, func() {
		So(chosen(100*time.Millisecond), ShouldEqual, 0)
		So(chosen(3*time.Second), ShouldBeBetween, 4, 17)
	})
}

// BenchmarkPlace measures a decision of the leader among 140 engines, each with some requests.
func BenchmarkPlace(b *testing.B) {
	benchmarkPlace(b, New())
}

// BenchmarkPlaceAlone measures that of an entry instance that chooses alone.
func BenchmarkPlaceAlone(b *testing.B) {
	balancer := New()
	balancer.SetInstances("entry", 82)
	benchmarkPlace(b, balancer)
}

// BenchmarkPlaceUnequal measures that of the leader among engines of unequal speed.
func BenchmarkPlaceUnequal(b *testing.B) {
	balancer := New()
	eps, index := newEndpoints(140)
	balancer.Sync(eps, index)
	for i := range 140 {
		balancer.RecordSpeed(time.Unix(1000, 0), Speed{fmt.Sprint("e", i), 83 + 100*(i%4/3)})
	}
	benchmarkPlace(b, balancer)
}

func benchmarkPlace(b *testing.B, balancer *Balancer) {
	eps, index := newEndpoints(140)
	balancer.Sync(eps, index)
	for id := range eps {
		balancer.RecordCached(id, nil)
	}
	now := time.Unix(1000, 0)
	balancer.SetOtherLoad(now, ServiceLoad{Service: "s"})
	request := func(n int) Request {
		thing := uint64(n % 400)
		return Request{
			AttemptID: fmt.Sprint(n, "/1"), Service: "s", Zone: "a", InputTokens: 7300, OutputTokens: 100, LatencyTarget: shortTarget,
			TimeLeft: time.Hour, Parts: []PromptPart{{ID: thing + 1, Tokens: 6300}, {ID: uint64(n) + 1<<40, Tokens: 1000}},
		}
	}
	for n := range 1400 {
		req := request(n)
		balancer.Place(now, req)
		now = now.Add(time.Millisecond)
		balancer.Apply(now, Event{AttemptID: req.AttemptID, FirstAnswer: 100 * time.Millisecond})
	}
	n := 1400
	for b.Loop() {
		n++
		req := request(n)
		balancer.Place(now, req)
		balancer.Cancel(req.AttemptID)
	}
}
