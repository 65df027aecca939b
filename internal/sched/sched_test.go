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

// TestMain fixes the seed of the random cases.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

var (
	t0   = time.Unix(1000, 0)
	addr = netip.MustParseAddrPort("127.0.0.1:9")
)

// cell is a core with fake endpoints that serve each request for a drawn time.
type cell struct {
	core  *Core
	now   time.Time
	rng   *rand.Rand
	terms map[string]Terms
	slots int
	names []string
	ends  map[string]time.Time
	wait  map[string]time.Time
	got   map[string]Verdict
	by    map[string]string
	check func(v Verdict)
	serve func(id string) time.Duration
	n     int
}

func newCell(seed uint64, endpoints, slots int, terms map[string]Terms) *cell {
	c := &cell{
		core: New(t0, 1, Options{Queue: 1000, Gap: 36 * time.Millisecond}), now: t0, rng: rand.New(rand.NewPCG(seed, 1)),
		terms: terms, slots: slots, ends: map[string]time.Time{}, wait: map[string]time.Time{}, got: map[string]Verdict{}, by: map[string]string{},
	}
	c.serve = func(string) time.Duration { return time.Duration(500+c.rng.IntN(1000)) * time.Millisecond }
	for i := range endpoints {
		c.names = append(c.names, fmt.Sprint("e", i))
	}
	c.announce(false)
	return c
}

func (c *cell) announce(leaving bool) {
	for i, n := range c.names {
		c.core.Announce(c.now, endpt.Announce{
			Name: n, Boot: n, Addr: addr, Zone: "a", Kind: endpt.Engine, Models: []string{"m"}, Slots: c.slots, Leaving: leaving && i == 0,
		}, 0)
	}
	c.take()
}

func (c *cell) nextID(class string) string {
	return fmt.Sprintf("%s-%d", class, c.n+1)
}

// offer asks for a class's request and returns its ID.
func (c *cell) offer(class string) string {
	id := c.nextID(class)
	c.n++
	c.by[id], c.wait[id] = class, c.now
	c.core.Offer(c.now, Ask{ID: id, Entry: "x", Addr: addr, Customer: class, Class: "c", Input: 10, Bound: 100}, c.terms[class])
	c.take()
	return id
}

// take collects the verdicts, checks each, and plans the ends of what was granted.
func (c *cell) take() {
	out, _ := c.core.Take()
	for _, v := range out {
		if c.check != nil {
			c.check(v)
		}
		switch v.Verb {
		case Granted:
			c.ends[v.ID] = c.now.Add(c.serve(v.ID))
			c.got[v.ID] = v
		case Refused:
			c.got[v.ID] = v
		}
	}
}

// pass lets time go by: announcements, renewed asks, ends of runs, ticks.
func (c *cell) pass(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(25 * time.Millisecond)
		for id, at := range c.ends {
			if !at.After(c.now) {
				delete(c.ends, id)
				c.core.Finish(c.now, Done{ID: id, First: 50 * time.Millisecond, Gap: 10 * time.Millisecond, Tokens: 50})
				c.take()
			}
		}
		for id, it := range c.core.queued {
			it.seen = c.now
			_ = id
		}
		for _, r := range c.core.running {
			r.seen = c.now
		}
		c.announce(false)
		c.core.Tick(c.now)
		c.take()
	}
}

func someTerms(tier int, share float64) Terms {
	return Terms{Tier: tier, Share: share, Patience: 3 * time.Second}
}

// TestNoShedInFavourOfLowerTier offers random loads of six tiers and checks each refusal.
func TestNoShedInFavourOfLowerTier(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		terms := map[string]Terms{}
		for tier := 1; tier <= 6; tier++ {
			terms[fmt.Sprint("guaranteed", tier)] = someTerms(tier, 0.05)
			terms[fmt.Sprint("plain", tier)] = someTerms(tier, 0)
		}
		c := newCell(rapid.Uint64().Draw(rt, "seed"), 3, 4, terms)
		c.core.opt.Queue = rapid.IntRange(20, 300).Draw(rt, "queue")
		finals := map[string]int{}
		c.check = func(v Verdict) {
			if v.Verb == Granted || v.Verb == Refused {
				finals[v.ID]++
				if finals[v.ID] > 1 {
					rt.Fatalf("%s got two verdicts", v.ID)
				}
			}
			if v.Verb != Refused || v.Code != Shed && v.Code != Late {
				return
			}
			tier := c.terms[c.by[v.ID]].Tier
			for f := range c.core.busy {
				if f.terms.Tier > tier && len(f.queue) > f.protected(c.core.slots(c.now)) {
					rt.Fatalf("%s of tier %d was refused while %d of %s (tier %d) waited", v.ID, tier, len(f.queue), f.key.customer, f.terms.Tier)
				}
			}
		}
		for range rapid.IntRange(50, 200).Draw(rt, "steps") {
			class := fmt.Sprint([]string{"guaranteed", "plain"}[c.rng.IntN(2)], 1+c.rng.IntN(6))
			for range c.rng.IntN(12) {
				c.offer(class)
			}
			c.pass(time.Duration(c.rng.IntN(200)) * time.Millisecond)
			if len(c.core.running) > 12 {
				rt.Fatalf("%d run on 12 slots", len(c.core.running))
			}
		}
		c.pass(60 * time.Second)
		for id := range c.by {
			if finals[id] != 1 {
				rt.Fatalf("%s got %d verdicts", id, finals[id])
			}
		}
	})
}

func TestGuaranteesUnderFlood(t *testing.T) {
	Convey("With a flood of the highest tier, the lowest tier of a small customer advances within its bound", t, func() {
		const share, slots = 0.02, 24.0
		terms := map[string]Terms{"flood": someTerms(1, 0.3), "small": {Tier: 6, Share: share, Patience: time.Minute}, "none": {Tier: 6, Patience: 5 * time.Minute}}
		c := newCell(1, 3, 8, terms)
		c.core.opt.Queue = 100000
		rng := rand.New(rand.NewPCG(2, 2))
		worst := map[string]time.Duration{}
		pending := map[string]string{}
		for range 1200 {
			for range 6 {
				c.offer("flood")
			}
			for _, class := range []string{"small", "none"} {
				if id := pending[class]; id == "" || c.got[id].Verb == Granted {
					pending[class] = c.offer(class)
				}
			}
			c.pass(time.Duration(50+rng.IntN(50)) * time.Millisecond)
			for class, id := range pending {
				So(c.got[id].Verb, ShouldNotEqual, Refused)
				if c.got[id].Verb != Granted {
					worst[class] = max(worst[class], c.now.Sub(c.wait[id]))
				}
			}
		}
		service := 1500 * time.Millisecond
		bound := time.Duration(float64(service)/(share*slots)) + service
		So(worst["small"], ShouldBeLessThanOrEqualTo, bound)
		So(worst["none"], ShouldBeLessThanOrEqualTo, time.Duration(float64(service)/(restShare*slots))+service)
	})
	Convey("A class that bursts leaves the wait of a guaranteed class alone", t, func() {
		terms := map[string]Terms{"steady": someTerms(2, 0.4), "burst": someTerms(1, 0.1)}
		c := newCell(3, 3, 8, terms)
		c.pass(10 * time.Second)
		var late int
		for i := range 200 {
			id := c.offer("steady")
			if i > 50 {
				for range 8 {
					c.offer("burst")
				}
			}
			c.pass(200 * time.Millisecond)
			if c.got[id].Verb != Granted {
				late++
			}
		}
		So(late, ShouldBeLessThan, 20)
	})
}

func TestLimits(t *testing.T) {
	Convey("A customer beyond its own rate is told so, and when to come back", t, func() {
		c := newCell(1, 1, 8, map[string]Terms{"r": {Tier: 1, Rate: 2, Burst: 2, Patience: time.Second}})
		c.offer("r")
		c.offer("r")
		v := c.got[c.offer("r")]
		So(v.Code, ShouldEqual, Over)
		So(v.Retry, ShouldBeGreaterThan, 0)
		So(v.Retry, ShouldBeLessThanOrEqualTo, time.Second)
	})
	Convey("No more run than the contract allows, exactly", t, func() {
		c := newCell(1, 4, 8, map[string]Terms{"k": {Tier: 1, Running: 3, Patience: 2 * time.Second}})
		for range 10 {
			c.offer("k")
		}
		So(len(c.core.running), ShouldEqual, 3)
		c.serve = func(string) time.Duration { return time.Minute }
		c.pass(10 * time.Second)
		over := 0
		for _, v := range c.got {
			if v.Code == Over {
				over++
			}
		}
		So(over, ShouldBeGreaterThan, 0)
		So(len(c.core.running), ShouldEqual, 3)
	})
	Convey("Tokens are booked by an estimate and settled by the actual count", t, func() {
		c := newCell(1, 1, 8, map[string]Terms{"k": {Tier: 1, Tokens: 100, Patience: time.Second}})
		c.offer("k")
		f := c.core.flows[flowKey{"k", "c"}]
		So(f.toks.Wait(c.now), ShouldEqual, 0)
		c.core.Finish(c.now, Done{ID: "k-1", Tokens: 500, First: 1, Gap: 1})
		So(f.toks.Wait(c.now), ShouldBeGreaterThan, 3*time.Second)
	})
	Convey("A ceiling is never passed, and what was not spent comes back", t, func() {
		c := newCell(1, 1, 8, map[string]Terms{"k": {Tier: 1, Price: 1000, Capped: true, Patience: time.Second}})
		id := c.offer("k")
		_, wants := c.core.Take()
		So(c.got[id].Verb, ShouldEqual, Wait)
		_ = wants
		c.core.Funded(c.now, "k", 110, false)
		c.take()
		So(c.got[id].Verb, ShouldEqual, Granted)
		c.core.Finish(c.now, Done{ID: id, Tokens: 20, First: 1, Gap: 1})
		So(c.core.Unspent()["k"], ShouldEqual, 80)
	})
}

func TestEndpoints(t *testing.T) {
	Convey("An endpoint that leaves, is silent or broke gets no grant", t, func() {
		c := newCell(1, 2, 4, map[string]Terms{"k": someTerms(1, 0)})
		c.announce(true)
		for range 4 {
			So(c.got[c.offer("k")].Target.Name, ShouldEqual, "e1")
		}
		So(c.got[c.offer("k")].Verb, ShouldEqual, Wait)
		c.now = c.now.Add(endpt.Stale)
		So(c.got[c.offer("k")].Verb, ShouldEqual, Wait)
	})
	Convey("A late announcement from before an endpoint left does not bring it back, one much later does", t, func() {
		c := newCell(1, 1, 4, map[string]Terms{"k": someTerms(1, 0)})
		c.announce(true)
		c.now = c.now.Add(time.Second)
		c.announce(false)
		So(c.got[c.offer("k")].Verb, ShouldNotEqual, Granted)
		c.now = c.now.Add(6 * time.Second)
		c.announce(false)
		So(c.got[c.offer("k")].Verb, ShouldEqual, Granted)
	})
	Convey("A new scheduler grants nothing until it was told what runs, and then not beyond the slots", t, func() {
		opt := Options{Queue: 10, Settle: 500 * time.Millisecond}
		core := New(t0, 2, opt)
		terms := someTerms(1, 0)
		core.Announce(t0, endpt.Announce{Name: "e", Boot: "e", Addr: addr, Zone: "a", Kind: endpt.Engine, Models: []string{"m"}, Slots: 2}, 0)
		core.Offer(t0, Ask{ID: "new", Entry: "x", Addr: addr, Customer: "k", Class: "c"}, terms)
		out, _ := core.Take()
		So(out, ShouldBeEmpty)
		var rep Report
		rep.Entry = "y"
		for i := range 2 {
			rep.Runs = append(rep.Runs, Progress{Ask: Ask{ID: fmt.Sprint("old", i), Entry: "y", Addr: addr, Customer: "k", Class: "c"}, Target: Target{Name: "e", Boot: "e"}})
		}
		core.Sync(t0, rep, func(*Ask) (Terms, bool) { return terms, true })
		core.Tick(t0.Add(600 * time.Millisecond))
		out, _ = core.Take()
		So(out, ShouldBeEmpty)
		core.Finish(t0.Add(700*time.Millisecond), Done{ID: "old0", Tokens: 1})
		out, _ = core.Take()
		So(len(out), ShouldEqual, 1)
		So(out[0].Verb, ShouldEqual, Granted)
	})
	Convey("A suspect runs alone, and others are not put beside it", t, func() {
		c := newCell(1, 2, 4, map[string]Terms{"k": someTerms(1, 0)})
		for range 3 {
			c.offer("k")
		}
		c.core.Offer(c.now, Ask{ID: "s", Entry: "x", Addr: addr, Customer: "k", Class: "c", Solo: true}, c.terms["k"])
		c.by["s"] = "k"
		c.take()
		c.pass(3 * time.Second)
		So(c.got["s"].Verb, ShouldEqual, Granted)
		c.core.Offer(c.now, Ask{ID: "s2", Entry: "x", Addr: addr, Customer: "k", Class: "c", Solo: true}, c.terms["k"])
		c.by["s2"] = "k"
		c.take()
		So(c.got["s2"].Verb, ShouldEqual, Granted)
		for range 6 {
			if v := c.got[c.offer("k")]; v.Verb == Granted {
				So(v.Target.Name, ShouldNotEqual, c.got["s2"].Target.Name)
			}
		}
	})
	Convey("Spare capacity goes to the higher tier, though the lower one waits longer", t, func() {
		c := newCell(1, 1, 1, map[string]Terms{"high": someTerms(1, 0), "low": someTerms(3, 0)})
		c.offer("low")
		c.core.rest = 0
		low, high := c.offer("low"), c.offer("high")
		c.core.restAt = c.now.Add(time.Hour)
		c.core.Finish(c.now, Done{ID: "low-1", Tokens: 1})
		c.take()
		So(c.got[high].Verb, ShouldEqual, Granted)
		So(c.got[low].Verb, ShouldEqual, Wait)
	})
}
