package place

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// TestDemandIsMisjudged guards against a demand that counts prompts which caches spare, that misses streams or a burst, or that stays after
// traffic has ended.
func TestDemandIsMisjudged(t *testing.T) {
	const perSecond, tokens = 20, 9000
	start := time.Unix(1000, 0)
	play := func(span time.Duration, parts func(i int) []PromptPart) (*Balancer, time.Time) {
		b := New()
		endpoints := map[string]roster.Endpoint{}
		for i := range 8 {
			id := fmt.Sprint("e", i)
			endpoints[id] = roster.Endpoint{ID: id, Service: "m", State: roster.Ready, Slots: 64}
		}
		engine := &table.Engine{Slots: 64, Tokens: 1e6}
		b.Sync(endpoints, table.New(&table.Table{Services: []table.Service{{Name: "m", Engine: engine}}}))
		now := start
		for i := 0; now.Sub(start) < span; i++ {
			b.Tick(now)
			id := fmt.Sprint("r", i)
			b.Place(now, Request{
				AttemptID: id, Service: "m", InputTokens: tokens, Parts: parts(i), LatencyTarget: time.Second, TimeLeft: time.Minute,
			})
			b.Apply(now, Event{AttemptID: id, FirstAnswer: 100 * time.Millisecond})
			if i >= perSecond {
				b.Apply(now, Event{AttemptID: fmt.Sprint("r", i-perSecond), Outcome: Completed})
			}
			now = now.Add(time.Second / perSecond)
		}
		return b, now
	}
	fresh := func(i int) []PromptPart { return []PromptPart{{ID: uint64(i) + 1, Tokens: tokens}} }
	// Each request reads its prompt and streams for a second.
	streams := float64(perSecond) / (64 / batchDivisor)
	Convey("prompts that no cache spares and streams add up to the time that they need", t, func() {
		b, now := play(10*time.Second, fresh)
		d := b.Demand(now, "m")
		prefill := perSecond * b.latencyOf("m").prefillTime(tokens).Seconds()
		So(d.Busy, ShouldAlmostEqual, prefill+streams, 0.2*(prefill+streams))
		So(d.Usual, ShouldAlmostEqual, prefill+streams, 0.2*(prefill+streams))
		So(d.Peak, ShouldBeLessThan, 1.3*(prefill+streams))
		So(d.LargestKind, ShouldEqual, d.Usual)
		So(d.Running, ShouldBeBetweenOrEqual, perSecond-1, perSecond+1)
		So(d.Known, ShouldBeGreaterThan, 9*time.Second)
		So(d.LateShare, ShouldEqual, 0)
	})
	Convey("prompts that caches hold need no time", t, func() {
		b, now := play(10*time.Second, func(int) []PromptPart { return []PromptPart{{ID: 1, Tokens: tokens}} })
		So(b.Demand(now, "m").Busy, ShouldAlmostEqual, streams, 0.2*streams)
	})
	Convey("without traffic, or before it, nothing is known", t, func() {
		b, now := play(10*time.Second, fresh)
		So(b.Demand(now.Add(4*time.Second), "m").Known, ShouldEqual, 0)
		So(New().Demand(now, "m"), ShouldResemble, Demand{})
	})
}
