package table

import (
	"errors"
	"fmt"
	"math"
	"time"
)

const (
	// maxBoot bounds the time until new endpoints serve.
	maxBoot = time.Hour
	// maxPerZone bounds the number of endpoints in an availability zone.
	maxPerZone = 100_000
)

// Check returns an error if no number of endpoints can be ordered by the scaling.
func (s *Scaling) Check() error {
	switch {
	case s.Min < 0 || s.Max < 1 || s.Max > maxPerZone:
		return fmt.Errorf("scaling: min %d and max %d are not possible", s.Min, s.Max)
	case s.Min > s.Max:
		return fmt.Errorf("scaling: min %d is above max %d", s.Min, s.Max)
	case s.Boot < 0 || s.Boot > maxBoot:
		return fmt.Errorf("scaling: boot time %v is not possible", s.Boot)
	case !validPrice(s.SpotPrice):
		return fmt.Errorf("scaling: spot price %v is not possible", s.SpotPrice)
	case len(s.ZonePrices) == 0:
		return errors.New("scaling: no zone has a price")
	}
	for zone, price := range s.ZonePrices {
		if zone == "" || !validPrice(price) {
			return fmt.Errorf("scaling: price %v of zone %q is not possible", price, zone)
		}
	}
	return nil
}

func validPrice(price float64) bool {
	return price >= 0 && !math.IsInf(price, 0)
}
