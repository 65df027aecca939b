package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

const (
	traceLengthMillis = 15_000
	burstStartMillis  = 5_000
	burstEndMillis    = 10_000
	promptGroups      = 24 // groups of requests that share a prompt prefix
)

type (
	// classLoad is the load of one request class.
	classLoad struct {
		class       trace.Class
		ratePerSec  float64
		burstFactor float64 // multiplies ratePerSec during the burst
		meanInput   int     // in tokens
		meanOutput  int     // in tokens
		service     bool    // the requests are service calls, not chats
	}
)

// GenerateTrace generates a trace modeled on one of the first two deployments, "anim" or "dvorak". The seed determines arrival
// times and sizes.
func GenerateTrace(name string, seed uint64) *trace.Trace {
	rng := rand.New(rand.NewPCG(seed, seed))
	loads := animLoads()
	head := trace.Header{Name: name, Model: "assistant", Service: "registration"}
	if name == "dvorak" {
		loads = dvorakLoads()
		head.Service = "office"
	}
	tr := &trace.Trace{Header: head}
	for _, l := range loads {
		tr.Header.Classes = append(tr.Header.Classes, l.class)
		tr.Records = append(tr.Records, arrivals(rng, name, l)...)
	}
	sort.SliceStable(tr.Records, func(i, j int) bool { return tr.Records[i].Arrival < tr.Records[j].Arrival })
	return tr
}

// arrivals generates the requests of one class as a Poisson process whose rate is higher during the burst.
func arrivals(rng *rand.Rand, name string, load classLoad) []trace.Record {
	var out []trace.Record
	atMillis := 0.0
	for {
		rate := load.ratePerSec
		if atMillis >= burstStartMillis && atMillis < burstEndMillis {
			rate *= load.burstFactor
		}
		atMillis += rng.ExpFloat64() / rate * 1000
		if atMillis >= traceLengthMillis {
			return out
		}
		record := trace.Record{
			Arrival: trace.Millis(atMillis), Kind: trace.Chat, Customer: load.class.Customer, Class: load.class.Class,
			InputTokens: randomTokens(rng, load.meanInput), OutputTokens: randomTokens(rng, load.meanOutput), PromptGroup: rng.IntN(promptGroups),
		}
		if load.service {
			record.Kind, record.OutputTokens = trace.Service, 0
			record.IdempotencyKey = fmt.Sprintf("%s-%s-%d", name, load.class.Customer, len(out))
		}
		out = append(out, record)
	}
}

// randomTokens draws a length in tokens with a long tail: half the mean plus an exponential part, at least 4.
func randomTokens(rng *rand.Rand, mean int) int {
	return max(4, int(float64(mean)*(0.5+0.5*rng.ExpFloat64())))
}

func animLoads() []classLoad {
	loads := []classLoad{
		{trace.Class{Customer: "coop-lisboa", Class: "review", Tier: 1, First: 680, Gap: 36, Share: 12, MaxWait: 20_000},
			4, 1.5, 700, 90, false},
		{trace.Class{Customer: "coop-porto", Class: "review", Tier: 1, First: 680, Gap: 36, Share: 12, MaxWait: 20_000},
			4, 1.5, 700, 90, false},
		{trace.Class{Customer: "coop-lisboa", Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 10, MaxWait: 8_000},
			14, 1.5, 60, 30, false},
		{trace.Class{Customer: "coop-porto", Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 10, MaxWait: 8_000},
			10, 1.5, 60, 30, false},
		{trace.Class{Customer: "coop-lisboa", Class: "explain", Tier: 3, First: 1500, Gap: 50, Share: 8, MaxWait: 15_000},
			6, 10, 500, 70, false},
		{trace.Class{Customer: "coop-lisboa", Class: "register", Tier: 1, First: 1500, Share: 12, MaxWait: 10_000}, 4, 1.5, 40, 0, true},
	}
	for i := range 8 {
		customer := fmt.Sprintf("driver-group-%d", i+1)
		loads = append(loads, classLoad{trace.Class{Customer: customer, Class: "quick", Tier: 2, First: 680, Gap: 36, Share: 1, MaxWait: 8_000},
			1.5, 1.5, 60, 30, false})
		if i == 0 {
			loads = append(loads, classLoad{trace.Class{Customer: customer, Class: "digest", Tier: 6, First: 8000, Share: 1, MaxWait: 30_000},
				1, 1, 300, 60, false})
		}
	}
	return loads
}

func dvorakLoads() []classLoad {
	loads := []classLoad{
		{trace.Class{Customer: "rounds-brno", Class: "briefing", Tier: 1, First: 680, Gap: 36, Share: 15, MaxWait: 20_000},
			6, 2, 600, 80, false},
		{trace.Class{Customer: "rounds-vyskov", Class: "briefing", Tier: 1, First: 680, Gap: 36, Share: 10, MaxWait: 20_000},
			4, 2, 600, 80, false},
		{trace.Class{Customer: "office", Class: "reply", Tier: 2, First: 1000, Gap: 36, Share: 12, MaxWait: 10_000}, 16, 3, 150, 40, false},
		{trace.Class{Customer: "office", Class: "quote", Tier: 3, First: 2000, Gap: 50, Share: 8, MaxWait: 20_000}, 6, 2, 300, 100, false},
		{trace.Class{Customer: "office", Class: "book", Tier: 1, First: 1500, Share: 12, MaxWait: 10_000}, 5, 1.5, 40, 0, true},
	}
	for i := range 8 {
		customer := fmt.Sprintf("street-%d", i+1)
		burstFactor := 1.5
		if i < 2 {
			burstFactor = 40
		}
		loads = append(loads, classLoad{
			trace.Class{Customer: customer, Class: "status", Tier: 4, First: 1500, Gap: 50, Share: 1, MaxWait: 8_000},
			3, burstFactor, 50, 35, false,
		})
	}
	return append(loads, classLoad{trace.Class{Customer: "street-8", Class: "survey", Tier: 6, First: 8000, Share: 1, MaxWait: 30_000},
		1, 1, 200, 60, false})
}
