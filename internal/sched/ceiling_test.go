package sched

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCeilingOverspentByUnreportedRun guards against the reservation of a run that goes on unreported being spent a second time.
func TestCeilingOverspentByUnreportedRun(t *testing.T) {
	const funds = 110
	terms := map[string]Terms{"k": {Tier: 1, Price: 1000, HasCeiling: true, MaxQueueTime: time.Minute}}
	newCell := func() (*testCell, string) {
		c := newTestCell(1, 1, 8, terms)
		c.serviceTime = func(string) time.Duration { return time.Hour }
		id := c.submit("k")
		c.scheduler.AddSlice(c.now, "k", funds, true)
		c.collect()
		So(c.decisions[id].Kind, ShouldEqual, Granted)
		return c, id
	}
	losses := map[string]func(c *testCell){
		"a report that does not list it": func(c *testCell) {
			c.now = c.now.Add(grantConfirmTimeout + time.Second)
			c.scheduler.Sync(c.now, EntryReport{Entry: "x"}, nil)
		},
		"the silence of its entry": func(c *testCell) {
			c.now = c.now.Add(entryTimeout + time.Second)
			c.scheduler.Tick(c.now)
		},
	}
	for name, loseRun := range losses {
		Convey("After "+name+", a run keeps its reservation and frees its slot", t, func() {
			c, _ := newCell()
			loseRun(c)
			So(c.scheduler.running, ShouldBeEmpty)
			So(c.scheduler.spendingSlice("k").Exhausted(1), ShouldBeTrue)
			So(c.decisions[c.submit("k")].Kind, ShouldNotEqual, Granted)
		})
		Convey("After "+name+", the unspent part is returned once its entry tells how it ended", t, func() {
			c, id := newCell()
			loseRun(c)
			c.scheduler.Finish(c.now, Completion{ID: id, OutputTokens: 20, FirstTokenTime: 1, TokenInterval: 1})
			So(c.scheduler.DrainSlices()["k"], ShouldEqual, funds-30)
			c, id = newCell()
			loseRun(c)
			c.scheduler.Finish(c.now, Completion{ID: id, Unsent: true})
			c.scheduler.Finish(c.now, Completion{ID: id, Unsent: true})
			So(c.scheduler.DrainSlices()["k"], ShouldEqual, funds)
		})
		Convey("After "+name+", a run that is reported again is settled once", t, func() {
			c, id := newCell()
			loseRun(c)
			c.scheduler.Sync(c.now, EntryReport{Entry: "x", Runs: []RunReport{{
				Request: Request{ID: id, Entry: "x", Customer: "k", Class: "c", InputTokens: 10, MaxOutputTokens: 100},
			}}}, func(*Request) (Terms, bool) { return terms["k"], true })
			So(c.scheduler.running, ShouldHaveLength, 1)
			c.scheduler.Finish(c.now, Completion{ID: id, OutputTokens: 20, FirstTokenTime: 1, TokenInterval: 1})
			c.scheduler.Finish(c.now, Completion{ID: id, Unsent: true})
			So(c.scheduler.DrainSlices()["k"], ShouldEqual, funds-30)
		})
	}
}
