package sched

import (
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

const (
	tokenTime = 18 * time.Millisecond
	percent   = 100
)

// replay runs a trace's generations through a scheduler in virtual time, and returns by class how many came, how many
// had their grant within the first-token target, and how many were refused.
func replay(t *testing.T, file string, endpoints int, opt Options) (sent, inTime, refused map[string]int) {
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	tr, err := trace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	terms := map[string]Terms{}
	target := map[string]time.Duration{}
	for _, k := range tr.Head.Classes {
		name := k.Customer + "/" + k.Class
		terms[name] = Terms{Tier: k.Tier, Share: k.Share / percent, Patience: k.Patience.Std()}
		target[name] = k.First.Std()
	}
	c := newCell(1, endpoints, 8, terms)
	c.core.opt.Policy = opt.Policy
	outputs := map[string]int{}
	c.serve = func(id string) time.Duration { return time.Duration(outputs[id]) * tokenTime }
	sent, inTime, refused = map[string]int{}, map[string]int{}, map[string]int{}
	c.check = func(v Verdict) {
		name := c.by[v.ID]
		if v.Verb == Refused {
			refused[name]++
		}
		if v.Verb == Granted && c.now.Sub(c.wait[v.ID]) <= target[name] {
			inTime[name]++
		}
	}
	for _, r := range tr.Records {
		if r.Kind != trace.Chat {
			continue
		}
		c.pass(t0.Add(r.At.Std()).Sub(c.now))
		name := r.Customer + "/" + r.Class
		sent[name]++
		c.offerSized(name, r.Output, outputs)
	}
	c.pass(30 * time.Second)
	return sent, inTime, refused
}

// offerSized offers a request whose output length is known to the fake endpoints only.
func (c *cell) offerSized(class string, output int, outputs map[string]int) {
	id := c.nextID(class)
	outputs[id] = output
	c.offer(class)
}

// TestTraces states what becomes of each class of the two traces in a burst above capacity.
func TestTraces(t *testing.T) {
	Convey("anim: the bursting class waits, and all others have their first token in time; nobody is refused", t, func() {
		sent, inTime, refused := replay(t, "../../traces/anim.jsonl", 12, Options{})
		So(refused, ShouldBeEmpty)
		for name, n := range sent {
			if name != "coop-lisboa/explain" {
				So(float64(inTime[name])/float64(n), ShouldBeGreaterThanOrEqualTo, 0.95)
			}
		}
	})
	Convey("anim, first in, first out: higher tiers are late because of the burst of a lower one", t, func() {
		sent, inTime, _ := replay(t, "../../traces/anim.jsonl", 12, Options{Policy: FIFO})
		So(float64(inTime["coop-lisboa/review"])/float64(sent["coop-lisboa/review"]), ShouldBeLessThan, 0.95)
	})
	Convey("dvorak: tiers 1 to 3 have their first token in time, and the survey of the smallest customer is served", t, func() {
		sent, inTime, refused := replay(t, "../../traces/dvorak.jsonl", 18, Options{})
		for _, name := range []string{"rounds-brno/briefing", "rounds-vyskov/briefing", "office/reply", "office/quote"} {
			So(refused[name], ShouldEqual, 0)
			So(float64(inTime[name])/float64(sent[name]), ShouldBeGreaterThanOrEqualTo, 0.95)
		}
		So(refused["street-8/survey"], ShouldEqual, 0)
	})
}
