package scale

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const testStep = 200 * time.Millisecond

// fleet is a plain model of a platform that carries out orders after the boot time.
type fleet struct {
	now     time.Time
	service Service
	serving map[Kind]int
	// noSpotUntil is the time until which spot endpoints are refused.
	noSpotUntil time.Time
	bootingAt   map[Kind]time.Time
	reclaimed   map[Kind]int
	orders      []Order
	// paid is the price of all endpoints since the start, fewest the smallest number that served.
	paid   float64
	fewest int
}

func newFleet(perZone, limit int, zones ...string) *fleet {
	prices := map[string]float64{}
	f := &fleet{now: time.Unix(1000, 0), serving: map[Kind]int{}, bootingAt: map[Kind]time.Time{}, reclaimed: map[Kind]int{}, fewest: 1 << 30}
	for i, z := range zones {
		prices[z] = 1 - 0.2*float64(i%2)
		f.serving[Kind{z, false}] = perZone
	}
	f.service = Service{
		Name: "m", Scaling: table.Scaling{Min: 1, Max: limit, Boot: 4 * time.Second, SpotPrice: 0.18, ZonePrices: prices},
		Orders: map[Kind]LastOrder{}, ReclaimedAt: map[string]time.Time{},
	}
	return f
}

func newDay() *fleet {
	return newFleet(35, 70, "a", "b", "c", "d")
}

func (f *fleet) total() (n int) {
	for _, count := range f.serving {
		n += count
	}
	return n
}

func (f *fleet) spot() (n int) {
	for kind, count := range f.serving {
		if kind.Spot {
			n += count
		}
	}
	return n
}

// reclaim takes the spot endpoints of a zone; none are to be had for a time.
func (f *fleet) reclaim(zone string, pause time.Duration) {
	kind := Kind{zone, true}
	f.reclaimed[kind], f.serving[kind] = f.serving[kind], 0
	f.service.ReclaimedAt[zone], f.noSpotUntil = f.now, f.now.Add(pause)
}

// run plays a time span; demand tells the busy endpoints, of which half are of one kind.
func (f *fleet) run(span time.Duration, demand func(at time.Duration) place.Demand) {
	for at := time.Duration(0); at < span; at += testStep {
		f.service.Demand, f.service.Endpoints = demand(at), nil
		for kind, count := range f.serving {
			for range count {
				f.service.Endpoints = append(f.service.Endpoints, Endpoint{Zone: kind.Zone, Spot: kind.Spot})
			}
			price := f.service.Scaling.ZonePrices[kind.Zone] * float64(count) * testStep.Seconds()
			if kind.Spot {
				price *= f.service.Scaling.SpotPrice
			}
			f.paid += price
		}
		f.fewest = min(f.fewest, f.total())
		decision := Decide(f.now, &f.service)
		for _, o := range decision.Orders {
			f.orders = append(f.orders, o)
			standing := LastOrder{Count: o.Count, Since: f.now, RefusedAt: f.service.Orders[o.kind()].RefusedAt}
			if o.Spot && o.Count > f.serving[o.kind()] && f.now.Before(f.noSpotUntil) {
				standing.RefusedAt = f.now
			}
			f.service.Orders[o.kind()], f.bootingAt[o.kind()] = standing, f.now.Add(f.service.Scaling.Boot)
		}
		if f.service.Target = decision.Target; decision.Lowered {
			f.service.LoweredAt = f.now
		}
		f.now = f.now.Add(testStep)
		for kind, o := range f.service.Orders {
			refused := kind.Spot && f.now.Before(f.noSpotUntil)
			if o.Count < f.serving[kind] || o.Count > f.serving[kind] && !refused && !f.now.Before(f.bootingAt[kind]) {
				f.serving[kind] = o.Count
			}
		}
	}
}

func quiet(time.Duration) place.Demand { return place.Demand{} }

// steady returns a constant demand of a number of busy endpoints.
func steady(busy float64) func(time.Duration) place.Demand {
	return func(at time.Duration) place.Demand {
		return place.Demand{
			Busy: busy, Peak: busy, Usual: busy, LargestKind: busy / 2, Running: int(busy * 12), Slots: 64, Known: at + testStep,
		}
	}
}

// TestExchangeLeavesTooFewEndpoints guards against an exchange of standard for spot endpoints that lowers capacity, takes long, exceeds the
// bound of a zone or leaves nothing that survives a reclaim.
func TestExchangeLeavesTooFewEndpoints(t *testing.T) {
	Convey("all but the base are exchanged before traffic, with one order up and one down for each zone", t, func() {
		f := newDay()
		f.run(6*time.Second, quiet)
		So(f.total(), ShouldEqual, 140)
		So(f.spot(), ShouldEqual, 126)
		So(f.fewest, ShouldEqual, 140)
		So(f.orders, ShouldHaveLength, 8)
		f.run(8*time.Second, quiet)
		So(f.orders, ShouldHaveLength, 8)
	})
	Convey("a small bound makes it go on in steps", t, func() {
		f := newFleet(35, 45, "a", "b", "c", "d")
		f.run(40*time.Second, quiet)
		So(f.fewest, ShouldEqual, 140)
		So(f.spot(), ShouldBeGreaterThan, 120)
		for _, o := range f.orders {
			So(f.service.Orders[Kind{o.Zone, true}].Count+f.service.Orders[Kind{o.Zone, false}].Count, ShouldBeLessThanOrEqualTo, 45)
		}
	})
	Convey("a service in one zone, whose spot endpoints would go at once, gets none, nor one where they cost too much", t, func() {
		expensive := newDay()
		expensive.service.Scaling.SpotPrice = 0.9
		for _, f := range []*fleet{newFleet(35, 70, "a"), expensive} {
			f.run(6*time.Second, quiet)
			f.run(60*time.Second, steady(8))
			So(f.total(), ShouldBeBetween, 15, 30)
			for _, o := range f.orders {
				So(o.Spot, ShouldBeFalse)
			}
		}
	})
	Convey("where no spot endpoints are to be had, the standard ones stay", t, func() {
		f := newDay()
		f.noSpotUntil = f.now.Add(time.Hour)
		f.run(14*time.Second, quiet)
		So(f.total(), ShouldEqual, 140)
	})
}

// busyDay returns the settled state of a calm day with a number of busy endpoints.
func busyDay(busy float64) *fleet {
	f := newDay()
	// The holder may act some seconds after the start; traffic begins after 14 s.
	f.paid = 4 * 2 * 35 * (1 + 0.8)
	f.run(10*time.Second, quiet)
	f.run(42*time.Second, steady(busy))
	return f
}

// varied returns a demand that varies by a function, after the settled state of a steady one.
func varied(busy float64, factor func(at time.Duration) float64) func(time.Duration) place.Demand {
	return func(at time.Duration) place.Demand {
		d := steady(busy)(at + time.Minute)
		d.Busy *= factor(at)
		for back := time.Duration(0); back <= min(at, 10*time.Second); back += testStep {
			d.Peak = max(d.Peak, busy*factor(at-back))
		}
		d.Running = int(d.Busy * 12)
		return d
	}
}

// TestCalmDayCostsTooMuch guards against a number of endpoints that stays far above the demand, and against one that changes all the time,
// as each endpoint that goes takes its caches with it.
func TestCalmDayCostsTooMuch(t *testing.T) {
	Convey("a day of Lipa's length costs less than a third of one without orders", t, func() {
		f := busyDay(38)
		So(f.paid, ShouldBeLessThan, 56*2*35*(1+0.8)/3)
		So(f.fewest, ShouldBeGreaterThan, 38*4/3)
		So(len(f.orders), ShouldBeLessThanOrEqualTo, 24)
	})
	Convey("a wave of 27% up and down in 11 s changes nothing", t, func() {
		f := busyDay(38)
		before := len(f.orders)
		f.run(44*time.Second, varied(38, func(at time.Duration) float64 { return 1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11) }))
		So(len(f.orders), ShouldEqual, before)
	})
}

// TestTooFewEndpoints guards against a burst, a reclaim or both at once that find fewer endpoints than requests keep busy.
func TestTooFewEndpoints(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at > time.Second && at < 7*time.Second {
			return 1.7 // half of the demand grows to 2.4 times
		}
		return 1
	}
	for _, c := range []struct {
		name      string
		reclaimAt time.Duration
		pause     time.Duration
	}{
		{"a burst", time.Hour, 0}, {"a reclaim in a burst", 2 * time.Second, time.Second},
		{"a reclaim in a burst without new spot endpoints", 2 * time.Second, 15 * time.Second},
	} {
		Convey(c.name, t, func() {
			f := busyDay(38)
			before, least := f.total(), 1e9
			for at := time.Duration(0); at < 20*time.Second; at += testStep {
				if at == c.reclaimAt {
					f.reclaim("a", c.pause)
				}
				f.run(testStep, func(time.Duration) place.Demand { return varied(38, burst)(at) })
				least = min(least, float64(f.total())-38*burst(at))
			}
			So(f.total(), ShouldBeGreaterThanOrEqualTo, min(before, 80))
			So(least, ShouldBeGreaterThan, 0)
		})
	}
}

// TestFalseFigures guards against endpoints that are given up because the leader does not hear of the traffic, or not yet.
func TestFalseFigures(t *testing.T) {
	Convey("a new leader lowers nothing before 5 s of figures, and starts from the orders", t, func() {
		f := busyDay(38)
		before, total := len(f.orders), f.total()
		f.service.Target, f.service.LoweredAt = 0, time.Time{}
		f.run(4*time.Second, steady(5))
		So(len(f.orders), ShouldEqual, before)
		So(f.total(), ShouldEqual, total)
	})
	Convey("nor does it remove standard endpoints that stand in for spot ones", t, func() {
		f := busyDay(38)
		for _, zone := range []string{"a", "b", "c", "d"} {
			kind := Kind{zone, false}
			f.serving[kind] += 5
			f.service.Orders[kind] = LastOrder{Count: f.serving[kind], Since: f.now.Add(-time.Minute)}
		}
		total := f.total()
		f.service.Target, f.service.LoweredAt = 0, time.Time{}
		f.run(4*time.Second, func(at time.Duration) place.Demand { return steady(38)(at + time.Second) })
		So(f.total(), ShouldBeGreaterThanOrEqualTo, total)
	})
	Convey("neither a collapse of the figures nor none at all lowers the number", t, func() {
		f := busyDay(38)
		before := len(f.orders)
		f.run(8*time.Second, varied(38, func(time.Duration) float64 { return 0.1 }))
		f.run(8*time.Second, func(time.Duration) place.Demand { return place.Demand{Usual: 20} })
		So(len(f.orders), ShouldEqual, before)
	})
	Convey("answers that come late hold the number, or raise it", t, func() {
		f := busyDay(38)
		total := f.total()
		late := func(share float64) func(time.Duration) place.Demand {
			return func(at time.Duration) place.Demand {
				d := steady(38)(at + time.Minute)
				d.LateShare, d.LargestKind = share, 5
				return d
			}
		}
		f.run(10*time.Second, late(0.1))
		So(f.total(), ShouldEqual, total)
		f.run(9*time.Second, late(0.3))
		So(f.total(), ShouldBeGreaterThan, total)
	})
}
