package scale

import (
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
		Orders: map[Kind]Standing{}, ReclaimedAt: map[string]time.Time{},
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
			standing := Standing{Count: o.Count, Since: f.now, RefusedAt: f.service.Orders[o.kind()].RefusedAt}
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
	Convey("a service in one zone, whose spot endpoints would go at once, gets none", t, func() {
		f := newFleet(10, 70, "a")
		f.run(6*time.Second, quiet)
		f.run(20*time.Second, steady(4))
		So(f.spot(), ShouldEqual, 0)
		So(f.total(), ShouldBeBetweenOrEqual, 8, 10)
	})
	Convey("where no spot endpoints are to be had, the standard ones stay", t, func() {
		f := newDay()
		f.noSpotUntil = f.now.Add(time.Hour)
		f.run(14*time.Second, quiet)
		So(f.total(), ShouldEqual, 140)
	})
}

// TestCalmDayCostsTooMuch guards against a number of endpoints that stays far above the demand, or that changes all the time.
func TestCalmDayCostsTooMuch(t *testing.T) {
	for _, busy := range []float64{25, 38, 50} {
		Convey("a calm day", t, func() {
			f := newDay()
			today := 56 * 35 * (1 + 0.8 + 1 + 0.8)
			f.run(4*time.Second, func(time.Duration) place.Demand { f.service.Orders = map[Kind]Standing{}; f.service.Target = 0; return place.Demand{} })
			f.run(10*time.Second, quiet)
			f.run(15*time.Second, steady(busy))
			t.Log("busy", busy, "endpoints", f.total(), "spot", f.spot(), "orders", len(f.orders))
			f.run(27*time.Second, steady(busy))
			t.Log("busy", busy, "endpoints", f.total(), "spot", f.spot(), "orders", len(f.orders), "paid", f.paid/today)
			So(f.paid/today, ShouldBeLessThan, 0.4)
		})
	}
}
