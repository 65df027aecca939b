package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// refusal offers a named request to a core without a live endpoint, and returns what the refusal says of earlier sendings.
func refusal(c *Core, now time.Time, a Ask) bool {
	c.Offer(now, a, someTerms(1, 0))
	out, _ := c.Take()
	So(len(out), ShouldEqual, 1)
	So(out[0].Verb, ShouldEqual, Refused)
	return out[0].Before
}

func TestRefusalsKnowOfEarlierSendings(t *testing.T) {
	ask := func(id, entry string) Ask {
		return Ask{ID: id, Entry: entry, Addr: addr, Customer: "k", Class: "c", Named: true}
	}
	terms := func(*Ask) (Terms, bool) { return someTerms(1, 0), true }
	later := func(c *cell) time.Time { return c.now.Add(noEndpointAfter + 10*time.Second) }
	Convey("A request whose first entry was lost amid its run may have run; another has not", t, func() {
		c := newCell(1, 1, 1, map[string]Terms{"k": someTerms(1, 0)})
		c.core.Offer(c.now, ask("sent", "x"), c.terms["k"])
		c.take()
		So(c.got["sent"].Verb, ShouldEqual, Granted)
		now := later(c)
		c.core.Tick(now)
		So(refusal(c.core, now, ask("sent", "y")), ShouldBeTrue)
		So(refusal(c.core, now, ask("new", "y")), ShouldBeFalse)
	})
	Convey("A request whose grant was given back unsent has not run", t, func() {
		c := newCell(1, 1, 1, map[string]Terms{"k": someTerms(1, 0)})
		c.core.Offer(c.now, ask("back", "x"), c.terms["k"])
		c.take()
		c.core.Finish(c.now, Done{ID: "back", Unsent: true})
		So(refusal(c.core, later(c), ask("back", "y")), ShouldBeFalse)
	})
	Convey("A scheduler that took over is not sure of any, until what it cannot know is too old to be sent again", t, func() {
		core := New(t0, 2, Options{Queue: 10})
		core.Sync(t0, Report{Entry: "x", Runs: []Progress{{Ask: ask("old", "x"), Target: Target{Name: "e", Boot: "e"}}}}, terms)
		So(refusal(core, t0.Add(10*time.Second), ask("unseen", "y")), ShouldBeTrue)
		So(refusal(core, t0.Add(keepEnded+time.Second), ask("unseen", "y")), ShouldBeFalse)
	})
	Convey("What is forgotten for want of room leaves it unsure for as long", t, func() {
		p := newPast(t0, 1)
		for i := range maxEnded + 1 {
			a := ask(fmt.Sprint(i), "x")
			p.note(t0, &a)
		}
		a := ask("0", "y")
		So(len(p.begun), ShouldEqual, maxEnded)
		So(p.mayHaveRun(t0.Add(time.Second), &a), ShouldBeTrue)
		So(p.mayHaveRun(t0.Add(keepEnded), &a), ShouldBeFalse)
	})
}
