package scale

import (
	"math"

	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// targetLoad is the part of the time for which endpoints may be busy while a forecast or a burst is borne. Beyond it the time that
	// prompts wait for one another grows to several times the time that they need.
	targetLoad = 0.85
	// burstFactor is the factor by which one kind of request may grow at once. New endpoints come too late for the first seconds of it.
	burstFactor = 2.4
	// maxTrendFactor bounds the forecast to a multiple of the peak, as a trend is a difference of two noisy figures.
	maxTrendFactor = 1.2
	// slotLoad is the part of the slots that requests in progress may fill.
	slotLoad = 0.7
	// crashShare is the part of all endpoints, one in crashShare, that may crash at once.
	crashShare = 5
	// baseShare is the part of all endpoints, one in baseShare, that are standard ones at least. See base.
	baseShare = 10
	// spotGain is the part of a standard endpoint's price that a spot one must stay below, after the loss of a zone is taken off, to be
	// worth an exchange.
	spotGain = 0.8
	// unknownLossShare bounds what one reclaim may take to one in unknownLossShare of all endpoints while the demand is not known.
	unknownLossShare = 3
)

// needed returns the number of endpoints that must serve at any time. The forecast covers the time until new endpoints serve. The burst is
// on top of the usual demand, not of the present one: while one is borne it is part of the forecast, and no second one is prepared for.
func needed(d *place.Demand, s *table.Scaling) float64 {
	forecast := max(d.Peak, min(d.Busy+max(0, d.Trend)*s.Boot.Seconds(), d.Peak*maxTrendFactor))
	burst := d.Usual + (burstFactor-1)*d.LargestKind
	bySlots := float64(d.Running) / float64(max(1, d.Slots)) / slotLoad
	return max(max(forecast, burst)/targetLoad, bySlots)
}

// spotUsed reports whether spot endpoints are used. Within a single zone one reclaim takes all of them, so that standard ones would have
// to bear the whole demand beside them. With more zones, the others are enough once there are more of them, which must not cost more than
// standard ones do.
func spotUsed(s *table.Scaling) bool {
	zones := float64(len(s.ZonePrices))
	return zones > 1 && s.SpotPrice < spotGain*(1-1/zones)
}

// base returns the number of standard endpoints to keep among a number of endpoints. If all zones are reclaimed at once, requests in
// progress have the notice to end, which most do. The base must have a slot for each of them, so that the others and what comes until new
// endpoints serve are delayed and not refused. The fixed part stands for figures that are wrong or not known.
func base(d *place.Demand, endpoints int) int {
	bySlots := math.Ceil(float64(d.Running) / float64(max(1, d.Slots)))
	return min(endpoints, max((endpoints+baseShare-1)/baseShare, int(bySlots)))
}

// size returns the number of endpoints to have and how many of them are standard ones, so that as many as are needed remain after the loss
// of the spot endpoints of a zone, or of a fifth of all by crashes.
func size(d *place.Demand, s *table.Scaling, need float64) (endpoints, standard int) {
	zones := len(s.ZonePrices)
	limit := zones * s.Max
	for endpoints = max(1, zones*s.Min, int(math.Ceil(need))); endpoints < limit; endpoints++ {
		if loss := largestLoss(d, s, endpoints); float64(endpoints)-loss >= need {
			break
		}
	}
	endpoints = min(endpoints, limit)
	if !spotUsed(s) {
		return endpoints, endpoints
	}
	// At the limit, more standard endpoints make up for what a reclaim takes.
	atLimit := endpoints - int(float64(zones)*max(0, float64(endpoints)-need))
	return endpoints, min(endpoints, max(base(d, endpoints), atLimit))
}

// largestLoss returns how many endpoints may be lost at once.
func largestLoss(d *place.Demand, s *table.Scaling, endpoints int) float64 {
	loss := float64(endpoints) / crashShare
	if spotUsed(s) {
		loss = max(loss, float64(endpoints-base(d, endpoints))/float64(len(s.ZonePrices)))
	}
	return loss
}

// sizeUnknown returns the number of standard endpoints to keep while the demand is not known and the number of all endpoints is kept.
func sizeUnknown(d *place.Demand, s *table.Scaling, endpoints int) (standard int) {
	if !spotUsed(s) {
		return endpoints
	}
	return max(base(d, endpoints), endpoints-len(s.ZonePrices)*endpoints/unknownLossShare)
}
