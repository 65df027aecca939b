package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// rejoinSpread is the time over which instances that start again register. After a loss of power all of them do, and each
	// registration is a commit whose outcome goes to all, while the leader has the requests of all waiting callers to place.
	rejoinSpread = 6 * time.Second
	// configWait is how long an instance waits for a proven configuration, which tells whether it is registered, before it registers.
	configWait         = 2 * time.Second
	configPollInterval = 50 * time.Millisecond
)

// delayRegistration waits until this instance should register.
func (r *Router) delayRegistration(ctx context.Context) {
	for !r.distributor.ConfigCurrent(clock.Now()) && clock.Since(r.startedAt) < configWait {
		if !pace.Sleep(ctx, configPollInterval) {
			return
		}
	}
	pace.Sleep(ctx, registrationDelay(r.self, r.distributor.View().Instances, rand.Float64()))
}

// registrationDelay returns how long an instance waits before it registers, by random from 0 to 1. One that is not registered yet at its
// address does not wait, as others need to know it; for one that starts again, only the boot ID changes.
func registrationDelay(self ctrl.Instance, registered map[string]ctrl.Instance, random float64) time.Duration {
	known := registered[self.Name]
	if known.Addr != self.Addr || known.Zone != self.Zone || known.Region != self.Region {
		return 0
	}
	return time.Duration(random * float64(rejoinSpread))
}
