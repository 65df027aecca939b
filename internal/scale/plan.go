package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// minKnown is the time of traffic before which the number is not lowered: figures of a shorter time say little, and caches that are
	// empty make the demand look high. Before minKnown it is raised only if the endpoints are busy, before minRaise not at all.
	minKnown = 5 * time.Second
	minRaise = 2 * time.Second
	// lowerInterval is the time between two steps down, and lowerShare the part of all endpoints that one step takes. Endpoints that go
	// take their prompt caches with them, which a few large steps spread over more callers than they bear at once.
	lowerInterval = 4 * time.Second
	lowerShare    = 0.15
	// Changes below raiseBand upwards and lowerBand downwards, as parts of the number, are not worth the caches and the calls.
	raiseBand = 0.05
	lowerBand = 0.08
	// exchangeBand is the part of the number below which no standard endpoints are exchanged for spot ones during traffic.
	exchangeBand = 0.08
	// The number is not lowered while more than lateHold of the first answers come late, and raised by lateStep while more than lateRaise
	// do: then the figures of the demand are too low.
	lateHold  = 0.08
	lateRaise = 0.2
	lateStep  = 0.15
	// collapse is the part of the usual demand below which the present one is not trusted: entry instances that do not reach the leader
	// report nothing.
	collapse = 0.5
	// settleMargin is the time on top of the boot time after which ordered endpoints that do not serve are no longer expected.
	settleMargin = 3 * time.Second
	// spotPause is the time for which no spot endpoints are ordered in a zone after a reclaim there, and refusalPause that for which a
	// refused kind is not ordered again.
	spotPause    = 6 * time.Second
	refusalPause = 5 * time.Second
	// priceTilt is the part of the differences in price that decides how endpoints are spread over zones. Most of the traffic of each zone
	// is to stay there, and no zone may hold much more than the others.
	priceTilt = 0.3
)

type (
	// Kind is one kind of endpoint in an availability zone.
	Kind struct {
		Zone string
		Spot bool
	}

	// Endpoint is an endpoint in service or about to leave. Reclaimed is set if it leaves because it is reclaimed.
	Endpoint struct {
		Zone      string
		Spot      bool
		Leaving   bool
		Reclaimed bool
	}

	// LastOrder is the last order of a kind. Since is when it was committed, or when this instance became the holder; RefusedAt is when the
	// platform refused it, or zero. Accepted is the number that the platform accepted last, or 0 if that is not known.
	LastOrder struct {
		Count     int
		Accepted  int
		Since     time.Time
		RefusedAt time.Time
	}

	// Service is what the plan for a service depends on.
	Service struct {
		Name      string
		Scaling   table.Scaling
		Demand    place.Demand
		Endpoints []Endpoint
		Orders    map[Kind]LastOrder
		// ReclaimedAt is when an endpoint was last told that it is reclaimed, by zone.
		ReclaimedAt map[string]time.Time
		// Target is the number of endpoints last decided on, or 0 if this instance has decided on none. LoweredAt is when it was lowered.
		Target    int
		LoweredAt time.Time
	}

	// Input is what a plan depends on.
	Input struct {
		Services []Service
	}

	// Decision is the plan for a service. Orders holds what differs from the last orders.
	Decision struct {
		Orders  []Order
		Target  int
		Lowered bool
	}

	// zone is a zone in which endpoints are ordered.
	zone struct {
		name  string
		price float64
		// standard and spot are the numbers to order.
		standard, spot int
		// standardServing and spotServing are the endpoints that serve.
		standardServing, spotServing int
		// noStandard and noSpot are set while no more are to be had.
		noStandard, noSpot bool
	}

	// planner holds the state of one decision.
	planner struct {
		now     time.Time
		service *Service
		zones   []*zone
		// booting is the number of endpoints that are ordered and expected to serve soon.
		booting int
		need    float64
		reason  string
	}
)

// Plan returns the orders that differ from the last ones.
func Plan(now time.Time, in Input) (orders []Order) {
	for i := range in.Services {
		orders = append(orders, Decide(now, &in.Services[i]).Orders...)
	}
	return orders
}

// Decide returns the plan for a service whose scaling is valid.
func Decide(now time.Time, s *Service) Decision {
	p := newPlanner(now, s)
	target, standard, lowered := p.target()
	p.coverShortage(standard)
	p.setSpot(target, standard, lowered)
	p.setStandard(target, standard)
	p.keepBounds()
	return Decision{Orders: p.orders(target, standard), Target: target, Lowered: lowered}
}

func newPlanner(now time.Time, s *Service) *planner {
	p := &planner{now: now, service: s}
	for name, price := range s.Scaling.ZonePrices {
		p.zones = append(p.zones, &zone{name: name, price: price})
	}
	// Cheap zones come first.
	slices.SortFunc(p.zones, func(a, b *zone) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		z := p.zone(e.Zone)
		switch {
		case z == nil || e.Leaving:
		case e.Spot:
			z.spotServing++
		default:
			z.standardServing++
		}
	}
	for _, z := range p.zones {
		reclaimedAt, reclaimed := s.ReclaimedAt[z.name]
		if reclaimed = reclaimed && now.Sub(reclaimedAt) < spotPause; reclaimed {
			// All spot endpoints of a zone are reclaimed at once, though their notices arrive one after the other.
			z.spotServing = 0
		}
		z.standard, z.noStandard = p.lastOrder(Kind{z.name, false}, z.standardServing, false)
		z.spot, z.noSpot = p.lastOrder(Kind{z.name, true}, z.spotServing, reclaimed)
	}
	return p
}

func (p *planner) zone(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// lastOrder returns the number of a kind to start from and whether no more of it are to be had now. While that is so, the number is that of
// the endpoints that stay, or that were accepted before the refusal: some of those may still be starting, and a lower order would cancel
// them.
func (p *planner) lastOrder(kind Kind, serving int, reclaimed bool) (count int, none bool) {
	last, ordered := p.service.Orders[kind]
	switch {
	case reclaimed:
		return 0, true
	case ordered && !last.RefusedAt.IsZero() && p.now.Sub(last.RefusedAt) < refusalPause:
		count, none = max(serving, min(last.Accepted, last.Count)), true
	case !ordered:
		return serving, false
	default:
		count = last.Count
	}
	if p.now.Sub(last.Since) < p.service.Scaling.Boot+settleMargin {
		p.booting += max(0, count-serving)
	}
	return count, none
}

func (p *planner) sum(count func(*zone) int) (n int) {
	for _, z := range p.zones {
		n += count(z)
	}
	return n
}

func (p *planner) standardOrdered() int { return p.sum(func(z *zone) int { return z.standard }) }
func (p *planner) spotOrdered() int     { return p.sum(func(z *zone) int { return z.spot }) }
func (p *planner) serving() int {
	return p.sum(func(z *zone) int { return z.standardServing + z.spotServing })
}
func (p *planner) spotServing() int { return p.sum(func(z *zone) int { return z.spotServing }) }

// atRisk reports whether endpoints were reclaimed or refused a short time ago, so that the next orders may be refused as well.
func (p *planner) atRisk() bool {
	return slices.ContainsFunc(p.zones, func(z *zone) bool { return z.noSpot || z.noStandard })
}

// target returns the number of endpoints to have and how many of them are standard ones.
func (p *planner) target() (target, standard int, lowered bool) {
	if target, standard, lowered = p.step(); !spotUsed(&p.service.Scaling) {
		standard = target
	}
	return target, min(target, standard), lowered
}

// step returns the next number of endpoints on the way to the one that is wanted, and the number of standard ones that belongs to the latter.
func (p *planner) step() (target, standard int, lowered bool) {
	s := p.service
	d, scaling := &s.Demand, &s.Scaling
	current := s.Target
	switch {
	case d.Known == 0:
		// Without traffic, endpoints that announce themselves late still add to the number. The spot endpoints of an exchange in progress
		// are on top of the standard ones that they replace.
		all, spot := p.standardOrdered(), p.spotOrdered()
		current = max(current, all, spot+min(all, sizeUnknown(d, scaling, max(all, spot))))
	case current == 0:
		// During traffic, standard endpoints that are on top of an exchange cannot be told from ones that stand in for reclaimed spot ones.
		// All are kept until the figures allow steps down.
		current = p.standardOrdered() + p.spotOrdered()
	}
	current = min(max(1, current, len(p.zones)*scaling.Min), len(p.zones)*scaling.Max)
	p.reason = "endpoints exchanged"
	if d.Known < minRaise {
		return current, sizeUnknown(d, scaling, current), false
	}
	p.need = needed(d, scaling)
	wanted, standard := size(d, scaling, p.need)
	if d.LateShare > lateRaise && d.Known >= minKnown && p.booting == 0 {
		wanted = min(max(wanted, p.serving()+int(lateStep*float64(p.serving()))), 2*wanted, len(p.zones)*scaling.Max)
	}
	switch {
	case float64(wanted) > float64(current)*(1+raiseBand) && (d.Known >= minKnown || d.Busy > targetLoad*float64(p.serving())):
		p.reason = "demand needs more"
		return wanted, standard, false
	case float64(wanted) < float64(current)*(1-lowerBand) && p.mayLower():
		p.reason = "demand needs fewer"
		current = max(wanted, current-max(1, int(lowerShare*float64(current))))
		return current, standard, true
	}
	return current, standard, false
}

// mayLower reports whether the figures are good enough to have fewer endpoints.
func (p *planner) mayLower() bool {
	d := &p.service.Demand
	return d.Known >= minKnown && d.LateShare <= lateHold && d.Busy >= collapse*d.Usual && !p.atRisk() &&
		p.now.Sub(p.service.LoweredAt) >= lowerInterval
}

// coverShortage orders standard endpoints if fewer serve, or will soon, than are needed at any time.
func (p *planner) coverShortage(standard int) {
	missing := min(int(math.Ceil(p.need))-p.serving()-p.booting, len(p.zones)*p.service.Scaling.Max)
	// Orders that are still to be made for the target are of spot endpoints, which serve as soon as standard ones if they are to be had.
	orderable := spotUsed(&p.service.Scaling) && !p.atRisk() && float64(p.standardOrdered()+p.spotOrdered()) < p.need
	if missing <= 0 || orderable {
		return
	}
	p.reason = "too few endpoints serve"
	p.add(missing, false, standard)
}

// setSpot sets the numbers of spot endpoints.
func (p *planner) setSpot(target, standard int, lowered bool) {
	wanted, ordered := target-standard, p.spotOrdered()
	// What would be exchanged during traffic loses caches. After a reclaim the number is made up for in any case.
	exchanged := min(wanted-ordered, p.standardOrdered()-standard)
	if p.service.Demand.Known > 0 && ordered+p.standardOrdered() >= target && float64(exchanged) < exchangeBand*float64(target) {
		wanted = min(wanted, ordered)
	}
	p.add(wanted-ordered, true, standard)
	if lowered || !spotUsed(&p.service.Scaling) {
		p.remove(ordered-max(wanted, target-p.standardOrdered()), true, standard)
	}
}

// setStandard sets the numbers of standard endpoints. They are lowered as far as spot ones serve, once all of those that were ordered do or
// no more are expected, and raised to the least number.
func (p *planner) setStandard(target, standard int) {
	ordered := p.standardOrdered()
	if float64(standard-ordered) > raiseBand*float64(target) {
		p.add(standard-ordered, false, standard)
	}
	keep := max(standard, target-p.spotServing())
	if !p.settled() || float64(ordered-keep) < lowerBand*float64(ordered) {
		return
	}
	p.remove(ordered-keep, false, standard)
}

// settled reports whether no standard endpoints were raised a short time ago, and the spot ones that were ordered serve or are no longer
// expected.
func (p *planner) settled() bool {
	for _, z := range p.zones {
		for _, kind := range []Kind{{z.name, false}, {z.name, true}} {
			last, serving := p.service.Orders[kind], z.standardServing
			if kind.Spot {
				serving = z.spotServing
			}
			count := z.count(kind.Spot)
			if count > max(last.Count, serving) || count > serving && p.now.Sub(last.Since) < p.service.Scaling.Boot+settleMargin {
				return false
			}
		}
	}
	return true
}

func (z *zone) count(spot bool) int {
	if spot {
		return z.spot
	}
	return z.standard
}

func (z *zone) change(spot bool, by int) {
	if spot {
		z.spot += by
		return
	}
	z.standard += by
}

// weight is what a zone weighs in the choice of the zone for one endpoint more or less. The standard endpoints that spot ones are about to
// replace do not count.
func (p *planner) weight(z *zone, spot bool, standard int) float64 {
	mean := 0.0
	for _, other := range p.zones {
		mean += other.price / float64(len(p.zones))
	}
	tilt := 1.0
	if mean > 0 {
		tilt += priceTilt * (z.price/mean - 1)
	}
	count := float64(z.standard)
	if spot {
		count = float64(z.spot) + min(float64(z.standard), float64(standard)/float64(len(p.zones)))
	}
	return (count + 1) * tilt
}

// add adds endpoints of a kind, each in the zone that weighs least, as far as there is room and they are to be had.
func (p *planner) add(count int, spot bool, standard int) {
	for ; count > 0; count-- {
		best := p.best(spot, standard, -1, func(z *zone) bool {
			return z.standard+z.spot < p.service.Scaling.Max && !(spot && z.noSpot) && !(!spot && z.noStandard)
		})
		if best == nil {
			return
		}
		best.change(spot, 1)
	}
}

// remove removes endpoints of a kind, each in the zone that weighs most, as far as the least number stays. Spot endpoints that are ordered
// and do not serve yet do not count for that when standard ones are removed.
func (p *planner) remove(count int, spot bool, standard int) {
	least := p.service.Scaling.Min
	for ; count > 0; count-- {
		best := p.best(spot, standard, 1, func(z *zone) bool {
			return z.count(spot) > 0 && z.standard+z.spot > least && (spot || z.standard+z.spotServing > least)
		})
		if best == nil {
			return
		}
		best.change(spot, -1)
	}
}

// best returns the zone among those that are possible with the highest weight times a sign, or nil.
func (p *planner) best(spot bool, standard int, sign float64, possible func(*zone) bool) (best *zone) {
	for _, z := range p.zones {
		if possible(z) && (best == nil || sign*p.weight(z, spot, standard) > sign*p.weight(best, spot, standard)) {
			best = z
		}
	}
	return best
}

// keepBounds brings each zone within its bounds.
func (p *planner) keepBounds() {
	scaling := &p.service.Scaling
	for _, z := range p.zones {
		if missing := scaling.Min - z.standard - z.spot; missing > 0 {
			z.change(spotUsed(scaling) && !z.noSpot, missing)
		}
		if excess := z.standard + z.spot - scaling.Max; excess > 0 {
			fewer := min(excess, z.spot)
			z.spot -= fewer
			z.standard -= excess - fewer
		}
	}
}

// orders returns what differs from the last orders, or from the endpoints in service where none was ordered.
func (p *planner) orders(target, standard int) (orders []Order) {
	d := &p.service.Demand
	const format = "%s: target %d with %d standard, needed %.1f, serving %d, busy %.1f, peak %.1f, usual %.1f, running %d, late %.2f"
	reason := fmt.Sprintf(format, p.reason, target, standard, p.need, p.serving(), d.Busy, d.Peak, d.Usual, d.Running, d.LateShare)
	for _, z := range p.zones {
		for _, kind := range []Kind{{z.name, true}, {z.name, false}} {
			last, ordered := p.service.Orders[kind]
			if !ordered {
				last.Count = z.standardServing
				if kind.Spot {
					last.Count = z.spotServing
				}
			}
			if count := z.count(kind.Spot); count != last.Count {
				orders = append(orders, Order{Service: p.service.Name, Zone: z.name, Spot: kind.Spot, Count: count, Reason: reason})
			}
		}
	}
	return orders
}
