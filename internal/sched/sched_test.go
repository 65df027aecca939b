package sched

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// TestMain fixes the seed of the random test cases.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

var (
	startTime = time.Unix(1000, 0)
	addr      = netip.MustParseAddrPort("127.0.0.1:9")
)

// testCell is a scheduler with simulated endpoints in virtual time.
type testCell struct {
	scheduler *Scheduler
	now       time.Time
	rng       *rand.Rand
	// terms is indexed by class.
	terms map[string]Terms
	// slots is the number of slots of each endpoint in names.
	slots int
	names []string
	// endsAt, submittedAt, decisions and classOf are indexed by request ID.
	endsAt      map[string]time.Time
	submittedAt map[string]time.Time
	decisions   map[string]Decision
	classOf     map[string]string
	// onDecision is called for each decision if it is set.
	onDecision func(decision Decision)
	// serviceTime returns how long an endpoint serves a request.
	serviceTime func(id string) time.Duration
	submitted   int
}

func newTestCell(seed uint64, endpoints, slots int, terms map[string]Terms) *testCell {
	c := &testCell{
		scheduler: New(startTime, 1, Options{MaxQueued: 1000, TokenIntervalTarget: 36 * time.Millisecond}), now: startTime,
		rng: rand.New(rand.NewPCG(seed, 1)), terms: terms, slots: slots, endsAt: map[string]time.Time{},
		submittedAt: map[string]time.Time{}, decisions: map[string]Decision{}, classOf: map[string]string{},
	}
	c.serviceTime = func(string) time.Duration { return time.Duration(500+c.rng.IntN(1000)) * time.Millisecond }
	for i := range endpoints {
		c.names = append(c.names, fmt.Sprint("e", i))
	}
	c.announce(false)
	return c
}

// announce sends an announcement of each endpoint; leaving applies to the first one.
func (c *testCell) announce(leaving bool) {
	for i, name := range c.names {
		c.scheduler.Announce(c.now, endpt.Announcement{
			Name: name, Boot: name, Addr: addr, Zone: "a", Kind: endpt.Engine, Models: []string{"m"}, Slots: c.slots,
			Leaving: leaving && i == 0,
		}, 0)
	}
	c.collect()
}

func (c *testCell) nextID(class string) string {
	return fmt.Sprintf("%s-%d", class, c.submitted+1)
}

// submit submits a new request of a class and returns its ID.
func (c *testCell) submit(class string) string {
	id := c.nextID(class)
	c.submitted++
	c.classOf[id], c.submittedAt[id] = class, c.now
	c.scheduler.Submit(c.now, Request{
		ID: id, Entry: "x", EntryAddr: addr, Customer: class, Class: "c", InputTokens: 10, MaxOutputTokens: 100,
	}, c.terms[class])
	c.collect()
	return id
}

// collect takes the decisions, passes each to onDecision and schedules the end of granted requests.
func (c *testCell) collect() {
	decisions, _ := c.scheduler.TakeOutput()
	for _, decision := range decisions {
		if c.onDecision != nil {
			c.onDecision(decision)
		}
		switch decision.Kind {
		case Granted:
			c.endsAt[decision.ID] = c.now.Add(c.serviceTime(decision.ID))
			c.decisions[decision.ID] = decision
		case Refused:
			c.decisions[decision.ID] = decision
		}
	}
}

// advance simulates the given time in steps of 25 ms: it completes runs, keeps requests and endpoints alive, and ticks.
func (c *testCell) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(25 * time.Millisecond)
		for id, at := range c.endsAt {
			if !at.After(c.now) {
				delete(c.endsAt, id)
				c.scheduler.Finish(c.now, Completion{
					ID: id, FirstTokenTime: 50 * time.Millisecond, TokenInterval: 10 * time.Millisecond, OutputTokens: 50,
				})
				c.collect()
			}
		}
		for id, it := range c.scheduler.queued {
			it.lastSeen = c.now
			_ = id
		}
		for _, r := range c.scheduler.running {
			r.lastSeen = c.now
		}
		c.announce(false)
		c.scheduler.Tick(c.now)
		c.collect()
	}
}

func classTerms(tier int, share float64) Terms {
	return Terms{Tier: tier, Share: share, MaxQueueTime: 3 * time.Second}
}

// TestLowerTierIsShedFirst submits random loads of six tiers. It guards against refusing a request for lack of capacity while an
// unprotected request of a lower tier is queued, against exceeding the slots, and against a request without exactly one outcome.
func TestLowerTierIsShedFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := map[string]Terms{}
		for tier := 1; tier <= 6; tier++ {
			terms[fmt.Sprint("guaranteed", tier)] = classTerms(tier, 0.05)
			terms[fmt.Sprint("plain", tier)] = classTerms(tier, 0)
		}
		c := newTestCell(rapid.Uint64().Draw(rt, "seed"), 3, 4, terms)
		c.scheduler.opt.MaxQueued = rapid.IntRange(20, 300).Draw(rt, "queue")
		finalDecisions := map[string]int{}
		c.onDecision = func(decision Decision) {
			if decision.Kind == Granted || decision.Kind == Refused {
				finalDecisions[decision.ID]++
				if finalDecisions[decision.ID] > 1 {
					rt.Fatalf("%s got two final decisions", decision.ID)
				}
			}
			if decision.Kind != Refused || decision.Code != Overloaded && decision.Code != QueueTimeout {
				return
			}
			tier := c.terms[c.classOf[decision.ID]].Tier
			for f := range c.scheduler.backlogged {
				if f.terms.Tier > tier && len(f.queue) > f.protectedItems(c.scheduler.capacity(c.now)) {
					rt.Fatalf("%s of tier %d was refused while %d requests of %s (tier %d) were queued",
						decision.ID, tier, len(f.queue), f.key.customer, f.terms.Tier)
				}
			}
		}
		for range rapid.IntRange(50, 200).Draw(rt, "steps") {
			class := fmt.Sprint([]string{"guaranteed", "plain"}[c.rng.IntN(2)], 1+c.rng.IntN(6))
			for range c.rng.IntN(12) {
				c.submit(class)
			}
			c.advance(time.Duration(c.rng.IntN(200)) * time.Millisecond)
			if len(c.scheduler.running) > 12 {
				rt.Fatalf("%d requests run on 12 slots", len(c.scheduler.running))
			}
		}
		c.advance(60 * time.Second)
		for id := range c.classOf {
			if finalDecisions[id] != 1 {
				rt.Fatalf("%s got %d final decisions", id, finalDecisions[id])
			}
		}
	})
}

// TestGuaranteesUnderOverload guards against starvation of a guaranteed class by the load of other classes.
func TestGuaranteesUnderOverload(t *testing.T) {
	Convey("Under overload by the highest tier, the lowest tier of a small customer is granted within its bound", t, func() {
		const share, slots = 0.02, 24.0
		terms := map[string]Terms{
			"flood": classTerms(1, 0.3),
			"small": {Tier: 6, Share: share, MaxQueueTime: time.Minute}, "none": {Tier: 6, MaxQueueTime: 5 * time.Minute},
		}
		c := newTestCell(1, 3, 8, terms)
		c.scheduler.opt.MaxQueued = 100000
		rng := rand.New(rand.NewPCG(2, 2))
		worst := map[string]time.Duration{}
		pending := map[string]string{}
		for range 1200 {
			for range 6 {
				c.submit("flood")
			}
			for _, class := range []string{"small", "none"} {
				if id := pending[class]; id == "" || c.decisions[id].Kind == Granted {
					pending[class] = c.submit(class)
				}
			}
			c.advance(time.Duration(50+rng.IntN(50)) * time.Millisecond)
			for class, id := range pending {
				So(c.decisions[id].Kind, ShouldNotEqual, Refused)
				if c.decisions[id].Kind != Granted {
					worst[class] = max(worst[class], c.now.Sub(c.submittedAt[id]))
				}
			}
		}
		service := 1500 * time.Millisecond
		bound := time.Duration(float64(service)/(share*slots)) + service
		So(worst["small"], ShouldBeLessThanOrEqualTo, bound)
		So(worst["none"], ShouldBeLessThanOrEqualTo, time.Duration(float64(service)/(unguaranteedShare*slots))+service)
	})
	Convey("A burst of one class does not delay a guaranteed class", t, func() {
		terms := map[string]Terms{"steady": classTerms(2, 0.4), "burst": classTerms(1, 0.1)}
		c := newTestCell(3, 3, 8, terms)
		c.advance(10 * time.Second)
		var notGranted int
		for i := range 200 {
			id := c.submit("steady")
			if i > 50 {
				for range 8 {
					c.submit("burst")
				}
			}
			c.advance(200 * time.Millisecond)
			if c.decisions[id].Kind != Granted {
				notGranted++
			}
		}
		So(notGranted, ShouldBeLessThan, 20)
	})
}

// TestContractLimits guards against a customer exceeding the rate, concurrency, token or spending limits of its contract, and
// against charging it for tokens that a run did not use.
func TestContractLimits(t *testing.T) {
	Convey("A request beyond the customer's rate limit is refused with a retry delay", t, func() {
		c := newTestCell(1, 1, 8, map[string]Terms{"r": {Tier: 1, RequestRate: 2, RequestBurst: 2, MaxQueueTime: time.Second}})
		c.submit("r")
		c.submit("r")
		decision := c.decisions[c.submit("r")]
		So(decision.Code, ShouldEqual, OverContract)
		So(decision.RetryAfter, ShouldBeGreaterThan, 0)
		So(decision.RetryAfter, ShouldBeLessThanOrEqualTo, time.Second)
	})
	Convey("The number of concurrent requests of a class never exceeds its limit", t, func() {
		c := newTestCell(1, 4, 8, map[string]Terms{"k": {Tier: 1, MaxRunning: 3, MaxQueueTime: 2 * time.Second}})
		for range 10 {
			c.submit("k")
		}
		So(len(c.scheduler.running), ShouldEqual, 3)
		c.serviceTime = func(string) time.Duration { return time.Minute }
		c.advance(10 * time.Second)
		overContract := 0
		for _, decision := range c.decisions {
			if decision.Code == OverContract {
				overContract++
			}
		}
		So(overContract, ShouldBeGreaterThan, 0)
		So(len(c.scheduler.running), ShouldEqual, 3)
	})
	Convey("Tokens are charged by an estimate and settled by the actual count", t, func() {
		c := newTestCell(1, 1, 8, map[string]Terms{"k": {Tier: 1, TokenRate: 100, MaxQueueTime: time.Second}})
		c.submit("k")
		f := c.scheduler.flows[flowKey{"k", "c"}]
		So(f.tokenBucket.Wait(c.now), ShouldEqual, 0)
		c.scheduler.Finish(c.now, Completion{ID: "k-1", OutputTokens: 500, FirstTokenTime: 1, TokenInterval: 1})
		So(f.tokenBucket.Wait(c.now), ShouldBeGreaterThan, 3*time.Second)
	})
	Convey("Spending never exceeds the ceiling, and the unspent part of a reservation is returned", t, func() {
		c := newTestCell(1, 1, 8, map[string]Terms{"k": {Tier: 1, Price: 1000, HasCeiling: true, MaxQueueTime: time.Second}})
		id := c.submit("k")
		_, sliceRequests := c.scheduler.TakeOutput()
		So(c.decisions[id].Kind, ShouldEqual, Waiting)
		_ = sliceRequests
		c.scheduler.AddSlice(c.now, "k", 110, false)
		c.collect()
		So(c.decisions[id].Kind, ShouldEqual, Granted)
		c.scheduler.Finish(c.now, Completion{ID: id, OutputTokens: 20, FirstTokenTime: 1, TokenInterval: 1})
		So(c.scheduler.DrainSlices()["k"], ShouldEqual, 80)
	})
}

// TestEndpointEligibility guards against granting a request to an endpoint that may not take it: one that leaves, is silent, has
// no free slot because of runs granted in an earlier epoch, or runs an exclusive request. It also guards against spare capacity
// going to a lower tier.
func TestEndpointEligibility(t *testing.T) {
	Convey("An endpoint that is leaving or silent gets no grant", t, func() {
		c := newTestCell(1, 2, 4, map[string]Terms{"k": classTerms(1, 0)})
		c.announce(true)
		for range 4 {
			So(c.decisions[c.submit("k")].Target.Name, ShouldEqual, "e1")
		}
		So(c.decisions[c.submit("k")].Kind, ShouldEqual, Waiting)
		c.now = c.now.Add(endpt.StaleAfter)
		So(c.decisions[c.submit("k")].Kind, ShouldEqual, Waiting)
	})
	Convey("A delayed announcement does not make a leaving endpoint eligible again; one made 7 s after it left does", t, func() {
		c := newTestCell(1, 1, 4, map[string]Terms{"k": classTerms(1, 0)})
		c.announce(true)
		c.now = c.now.Add(time.Second)
		c.announce(false)
		So(c.decisions[c.submit("k")].Kind, ShouldNotEqual, Granted)
		c.now = c.now.Add(6 * time.Second)
		c.announce(false)
		So(c.decisions[c.submit("k")].Kind, ShouldEqual, Granted)
	})
	Convey("A new scheduler grants nothing until the settle time has passed, and then counts the runs reported to it", t, func() {
		opt := Options{MaxQueued: 10, SettleTime: 500 * time.Millisecond}
		scheduler := New(startTime, 2, opt)
		terms := classTerms(1, 0)
		scheduler.Announce(startTime, endpt.Announcement{
			Name: "e", Boot: "e", Addr: addr, Zone: "a", Kind: endpt.Engine, Models: []string{"m"}, Slots: 2,
		}, 0)
		scheduler.Submit(startTime, Request{ID: "new", Entry: "x", EntryAddr: addr, Customer: "k", Class: "c"}, terms)
		decisions, _ := scheduler.TakeOutput()
		So(decisions, ShouldBeEmpty)
		var report EntryReport
		report.Entry = "y"
		for i := range 2 {
			report.Runs = append(report.Runs, RunReport{
				Request: Request{ID: fmt.Sprint("old", i), Entry: "y", EntryAddr: addr, Customer: "k", Class: "c"},
				Target:  Target{Name: "e", Boot: "e"},
			})
		}
		scheduler.Sync(startTime, report, func(*Request) (Terms, bool) { return terms, true })
		scheduler.Tick(startTime.Add(600 * time.Millisecond))
		decisions, _ = scheduler.TakeOutput()
		So(decisions, ShouldBeEmpty)
		scheduler.Finish(startTime.Add(700*time.Millisecond), Completion{ID: "old0", OutputTokens: 1})
		decisions, _ = scheduler.TakeOutput()
		So(len(decisions), ShouldEqual, 1)
		So(decisions[0].Kind, ShouldEqual, Granted)
	})
	Convey("An exclusive request runs alone on its endpoint", t, func() {
		c := newTestCell(1, 2, 4, map[string]Terms{"k": classTerms(1, 0)})
		for range 3 {
			c.submit("k")
		}
		c.scheduler.Submit(c.now, Request{ID: "s", Entry: "x", EntryAddr: addr, Customer: "k", Class: "c", Exclusive: true}, c.terms["k"])
		c.classOf["s"] = "k"
		c.collect()
		c.advance(3 * time.Second)
		So(c.decisions["s"].Kind, ShouldEqual, Granted)
		c.scheduler.Submit(c.now, Request{ID: "s2", Entry: "x", EntryAddr: addr, Customer: "k", Class: "c", Exclusive: true}, c.terms["k"])
		c.classOf["s2"] = "k"
		c.collect()
		So(c.decisions["s2"].Kind, ShouldEqual, Granted)
		for range 6 {
			if decision := c.decisions[c.submit("k")]; decision.Kind == Granted {
				So(decision.Target.Name, ShouldNotEqual, c.decisions["s2"].Target.Name)
			}
		}
	})
	Convey("Spare capacity goes to the higher tier even if a lower tier has waited longer", t, func() {
		c := newTestCell(1, 1, 1, map[string]Terms{"high": classTerms(1, 0), "low": classTerms(3, 0)})
		c.submit("low")
		c.scheduler.unguaranteedCredit = 0
		low, high := c.submit("low"), c.submit("high")
		c.scheduler.unguaranteedAt = c.now.Add(time.Hour)
		c.scheduler.Finish(c.now, Completion{ID: "low-1", OutputTokens: 1})
		c.collect()
		So(c.decisions[high].Kind, ShouldEqual, Granted)
		So(c.decisions[low].Kind, ShouldEqual, Waiting)
	})
}
