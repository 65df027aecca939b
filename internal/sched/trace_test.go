package sched

import (
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

const (
	// tokenTime is the time between two tokens of a simulated endpoint.
	tokenTime = 18 * time.Millisecond
	percent   = 100
)

// replay runs the chat requests of a trace through a scheduler in virtual time. It returns, by class, the number of submitted
// requests, of those granted within the first-token target, and of those refused.
func replay(t *testing.T, file string, endpoints int, opt Options) (submitted, inTime, refused map[string]int) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	recorded, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	terms := map[string]Terms{}
	firstTokenTarget := map[string]time.Duration{}
	for _, class := range recorded.Header.Classes {
		name := class.Customer + "/" + class.Class
		terms[name] = Terms{Tier: class.Tier, Share: class.Share / percent, MaxQueueTime: class.MaxWait.Std()}
		firstTokenTarget[name] = class.First.Std()
	}
	c := newTestCell(1, endpoints, 8, terms)
	c.scheduler.opt.Policy = opt.Policy
	outputs := map[string]int{}
	c.serviceTime = func(id string) time.Duration { return time.Duration(outputs[id]) * tokenTime }
	submitted, inTime, refused = map[string]int{}, map[string]int{}, map[string]int{}
	c.onDecision = func(decision Decision) {
		name := c.classOf[decision.ID]
		if decision.Kind == Refused {
			refused[name]++
		}
		if decision.Kind == Granted && c.now.Sub(c.submittedAt[decision.ID]) <= firstTokenTarget[name] {
			inTime[name]++
		}
	}
	for _, record := range recorded.Records {
		if record.Kind != trace.Chat {
			continue
		}
		c.advance(startTime.Add(record.Arrival.Std()).Sub(c.now))
		name := record.Customer + "/" + record.Class
		submitted[name]++
		c.submitSized(name, record.OutputTokens, outputs)
	}
	c.advance(30 * time.Second)
	return submitted, inTime, refused
}

// submitSized submits a request with an output length that only the simulated endpoints know.
func (c *testCell) submitSized(class string, output int, outputs map[string]int) {
	id := c.nextID(class)
	outputs[id] = output
	c.submit(class)
}

// TestTraceReplay replays two traces with a burst above capacity. It guards against a burst of one class making classes of
// other customers or higher tiers late; the FIFO case shows that the trace provokes that failure.
func TestTraceReplay(t *testing.T) {
	Convey("anim: all classes but the bursting one are granted in time, and nothing is refused", t, func() {
		submitted, inTime, refused := replay(t, "../../traces/anim.jsonl", 12, Options{})
		So(refused, ShouldBeEmpty)
		for name, n := range submitted {
			if name != "coop-lisboa/explain" {
				So(float64(inTime[name])/float64(n), ShouldBeGreaterThanOrEqualTo, 0.95)
			}
		}
	})
	Convey("anim with the FIFO policy: a burst of a lower tier delays higher tiers", t, func() {
		submitted, inTime, _ := replay(t, "../../traces/anim.jsonl", 12, Options{Policy: FIFO})
		So(float64(inTime["coop-lisboa/review"])/float64(submitted["coop-lisboa/review"]), ShouldBeLessThan, 0.95)
	})
	Convey("dvorak: tiers 1 to 3 are granted in time, and no request of the smallest customer is refused", t, func() {
		submitted, inTime, refused := replay(t, "../../traces/dvorak.jsonl", 18, Options{})
		for _, name := range []string{"rounds-brno/briefing", "rounds-vyskov/briefing", "office/reply", "office/quote"} {
			So(refused[name], ShouldEqual, 0)
			So(float64(inTime[name])/float64(submitted[name]), ShouldBeGreaterThanOrEqualTo, 0.95)
		}
		So(refused["street-8/survey"], ShouldEqual, 0)
	})
}
