package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

const (
	traceMillis = 15_000
	burstFrom   = 5_000
	burstTo     = 10_000
	groups      = 24
)

type (
	// load is how one class of requests arrives: a second at rest, and times that in the burst.
	load struct {
		class   trace.Class
		perSec  float64
		burst   float64
		input   int
		output  int
		service bool
	}
)

// Synth returns the trace written after one of the two first deployments, "anim" or "dvorak"; the seed decides times and sizes.
func Synth(name string, seed uint64) *trace.Trace {
	rng := rand.New(rand.NewPCG(seed, seed))
	loads := animLoads()
	head := trace.Header{Name: name, Model: "assistant", Service: "registration"}
	if name == "dvorak" {
		loads = dvorakLoads()
		head.Service = "office"
	}
	t := &trace.Trace{Header: head}
	for _, l := range loads {
		t.Header.Classes = append(t.Header.Classes, l.class)
		t.Records = append(t.Records, arrivals(rng, name, l)...)
	}
	sort.SliceStable(t.Records, func(i, j int) bool { return t.Records[i].Arrival < t.Records[j].Arrival })
	return t
}

// arrivals draws the requests of one class as a Poisson process whose rate is higher in the burst.
func arrivals(rng *rand.Rand, name string, l load) []trace.Record {
	var out []trace.Record
	at := 0.0
	for {
		rate := l.perSec
		if at >= burstFrom && at < burstTo {
			rate *= l.burst
		}
		at += rng.ExpFloat64() / rate * 1000
		if at >= traceMillis {
			return out
		}
		r := trace.Record{
			Arrival: trace.Millis(at), Kind: trace.Chat, Customer: l.class.Customer, Class: l.class.Class,
			Input: size(rng, l.input), Output: size(rng, l.output), PromptGroup: rng.IntN(groups),
		}
		if l.service {
			r.Kind, r.Output = trace.Service, 0
			r.IdempotencyKey = fmt.Sprintf("%s-%s-%d", name, l.class.Customer, len(out))
		}
		out = append(out, r)
	}
}

// size draws a length around a mean, with a long tail.
func size(rng *rand.Rand, mean int) int {
	return max(4, int(float64(mean)*(0.5+0.5*rng.ExpFloat64())))
}

func animLoads() []load {
	out := []load{
		{trace.Class{Customer: "coop-lisboa", Class: "review", Tier: 1, First: 680, Gap: 36, Share: 12, MaxWait: 20_000}, 4, 1.5, 700, 90, false},
		{trace.Class{Customer: "coop-porto", Class: "review", Tier: 1, First: 680, Gap: 36, Share: 12, MaxWait: 20_000}, 4, 1.5, 700, 90, false},
		{trace.Class{Customer: "coop-lisboa", Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 10, MaxWait: 8_000}, 14, 1.5, 60, 30, false},
		{trace.Class{Customer: "coop-porto", Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 10, MaxWait: 8_000}, 10, 1.5, 60, 30, false},
		{trace.Class{Customer: "coop-lisboa", Class: "explain", Tier: 3, First: 1500, Gap: 50, Share: 8, MaxWait: 15_000}, 6, 10, 500, 70, false},
		{trace.Class{Customer: "coop-lisboa", Class: "register", Tier: 1, First: 1500, Share: 12, MaxWait: 10_000}, 4, 1.5, 40, 0, true},
	}
	for i := range 8 {
		c := fmt.Sprintf("driver-group-%d", i+1)
		out = append(out, load{trace.Class{Customer: c, Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 1, MaxWait: 8_000}, 1.5, 1.5, 60, 30, false})
		if i == 0 {
			out = append(out, load{trace.Class{Customer: c, Class: "digest", Tier: 6, First: 8000, Share: 1, MaxWait: 30_000}, 1, 1, 300, 60, false})
		}
	}
	return out
}

func dvorakLoads() []load {
	out := []load{
		{trace.Class{Customer: "rounds-brno", Class: "briefing", Tier: 1, First: 680, Gap: 36, Share: 15, MaxWait: 20_000}, 6, 2, 600, 80, false},
		{trace.Class{Customer: "rounds-vyskov", Class: "briefing", Tier: 1, First: 680, Gap: 36, Share: 10, MaxWait: 20_000}, 4, 2, 600, 80, false},
		{trace.Class{Customer: "office", Class: "reply", Tier: 2, First: 1000, Gap: 36, Share: 12, MaxWait: 10_000}, 16, 3, 150, 40, false},
		{trace.Class{Customer: "office", Class: "quote", Tier: 3, First: 2000, Gap: 50, Share: 8, MaxWait: 20_000}, 6, 2, 300, 100, false},
		{trace.Class{Customer: "office", Class: "book", Tier: 1, First: 1500, Share: 12, MaxWait: 10_000}, 5, 1.5, 40, 0, true},
	}
	for i := range 8 {
		c := fmt.Sprintf("street-%d", i+1)
		burst := 1.5
		if i < 2 {
			burst = 40
		}
		out = append(out, load{trace.Class{Customer: c, Class: "status", Tier: 4, First: 1500, Gap: 50, Share: 1, MaxWait: 8_000}, 3, burst, 50, 35, false})
	}
	return append(out, load{trace.Class{Customer: "street-8", Class: "survey", Tier: 6, First: 8000, Share: 1, MaxWait: 30_000}, 1, 1, 200, 60, false})
}
