package sched

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// refusalSaysMayHaveRun submits a request to a scheduler without a live endpoint, and returns whether the refusal says that an
// earlier transmission of the request may have run.
func refusalSaysMayHaveRun(scheduler *Scheduler, now time.Time, req Request) bool {
	scheduler.Submit(now, req, classTerms(1, 0))
	decisions, _ := scheduler.TakeOutput()
	So(len(decisions), ShouldEqual, 1)
	So(decisions[0].Kind, ShouldEqual, Refused)
	return decisions[0].MayHaveRun
}

// TestRefusalReportsEarlierExecution guards against a refusal that tells the caller that a request has not run although an
// earlier transmission of it may have; the caller would then send it again and it could run twice.
func TestRefusalReportsEarlierExecution(t *testing.T) {
	newRequest := func(id, entry string) Request {
		return Request{ID: id, Entry: entry, EntryAddr: addr, Customer: "k", Class: "c", IDFromCaller: true}
	}
	terms := func(*Request) (Terms, bool) { return classTerms(1, 0), true }
	later := func(c *testCell) time.Time { return c.now.Add(noEndpointGrace + 10*time.Second) }
	Convey("A request whose entry failed during the run may have run; a new request has not", t, func() {
		c := newTestCell(1, 1, 1, map[string]Terms{"k": classTerms(1, 0)})
		c.scheduler.Submit(c.now, newRequest("sent", "x"), c.terms["k"])
		c.collect()
		So(c.decisions["sent"].Kind, ShouldEqual, Granted)
		now := later(c)
		c.scheduler.Tick(now)
		So(refusalSaysMayHaveRun(c.scheduler, now, newRequest("sent", "y")), ShouldBeTrue)
		So(refusalSaysMayHaveRun(c.scheduler, now, newRequest("new", "y")), ShouldBeFalse)
	})
	Convey("A request whose grant was returned unused has not run", t, func() {
		c := newTestCell(1, 1, 1, map[string]Terms{"k": classTerms(1, 0)})
		c.scheduler.Submit(c.now, newRequest("back", "x"), c.terms["k"])
		c.collect()
		c.scheduler.Finish(c.now, Completion{ID: "back", Unsent: true})
		So(refusalSaysMayHaveRun(c.scheduler, later(c), newRequest("back", "y")), ShouldBeFalse)
	})
	Convey("A request that its endpoint may have begun may have run, though it used nothing there", t, func() {
		c := newTestCell(1, 1, 1, map[string]Terms{"k": classTerms(1, 0)})
		c.scheduler.Submit(c.now, newRequest("begun", "x"), c.terms["k"])
		c.collect()
		c.scheduler.Finish(c.now, Completion{ID: "begun", Unsent: true, MayHaveRun: true})
		So(refusalSaysMayHaveRun(c.scheduler, later(c), newRequest("begun", "y")), ShouldBeTrue)
	})
	Convey("After a takeover any request may have run, until the retention of the previous epoch's grants has ended", t, func() {
		scheduler := New(startTime, 2, Options{MaxQueued: 10})
		scheduler.Sync(startTime, EntryReport{Entry: "x", Runs: []RunReport{
			{Request: newRequest("old", "x"), Target: Target{Name: "e", Boot: "e"}},
		}}, terms)
		So(refusalSaysMayHaveRun(scheduler, startTime.Add(10*time.Second), newRequest("unseen", "y")), ShouldBeTrue)
		So(refusalSaysMayHaveRun(scheduler, startTime.Add(answerRetention+time.Second), newRequest("unseen", "y")), ShouldBeFalse)
	})
	Convey("Records removed because the history is full leave it uncertain for the rest of their retention", t, func() {
		h := newHistory(startTime, 1)
		for i := range maxHistory + 1 {
			req := newRequest(fmt.Sprint(i), "x")
			h.recordRun(startTime, &req)
		}
		req := newRequest("0", "y")
		So(len(h.records), ShouldEqual, maxHistory)
		So(h.mayHaveRun(startTime.Add(time.Second), &req), ShouldBeTrue)
		So(h.mayHaveRun(startTime.Add(answerRetention), &req), ShouldBeFalse)
	})
}
