package router

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

const (
	// watchEvery is the time between two looks at whether the settings file has changed.
	watchEvery = 2 * time.Second
	pruneEvery = time.Second
	gaugeEvery = 2 * time.Second
	// shareCare is the part of the allowed repeats that is used, as requests that arrive at an instance may not be counted
	// where they end.
	shareCare = 0.8
)

// watch reads the settings again when the file changes or SIGHUP comes; what cannot be read leaves the old ones in force.
func (r *Router) watch(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	seen := modified(r.file)
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-t.C:
			if now := modified(r.file); now.Equal(seen) {
				continue
			}
		}
		seen = modified(r.file)
		r.reload()
	}
}

// modified returns when a file was changed last, or the zero time where that is not known.
func modified(file string) time.Time {
	st, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return st.ModTime()
}

// reload takes on the seeds of the settings file; all else holds until the next start.
func (r *Router) reload() {
	c, err := conf.Load(r.file)
	if err != nil {
		r.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	old := r.conf.Load()
	next := *old
	next.Peers.Seeds = c.Peers.Seeds
	r.conf.Store(&next)
	r.log.Info("settings reloaded", zap.Bool("seeds", !slices.Equal(old.Peers.Seeds, next.Peers.Seeds)))
}

// prune closes idle connections in time, and those to endpoints that are gone.
func (r *Router) prune(ctx context.Context) {
	pace.Every(ctx, pruneEvery, func() {
		eps := r.spread.View().Endpoints
		r.proxy.Pools().Prune(clock.Now(), func(d egress.Dest) bool {
			e, ok := eps[d.ID]
			return ok && e.StartedMs == d.Born && e.Addr == d.Addr
		})
	})
}

// share returns what this instance may repeat now.
func (r *Router) share() retry.Allowance {
	return shareOf(&r.conf.Load().Retry, len(r.spread.View().Instances), clock.Since(r.born))
}

// shareOf returns what one of so many entries may repeat: its part of the slack, as all may repeat at the same time. One that has
// started less than a window ago gets none of it, as it does not know what it repeated before.
func shareOf(c *conf.Retry, entries int, up time.Duration) retry.Allowance {
	s := retry.Allowance{Ratio: c.Ratio * shareCare, Window: c.Window.Std()}
	if up >= s.Window {
		s.Slack = c.Slack * shareCare / float64(max(1, entries))
	}
	return s
}

func (r *Router) gauges(ctx context.Context) {
	pace.Every(ctx, gaugeEvery, func() {
		v := r.spread.View()
		r.meter.Gauge("config_version", float64(v.Version))
		r.meter.Gauge("table_version", float64(v.Table.Version()))
		r.meter.Gauge("config_age_seconds", r.spread.Age(clock.Now()).Seconds())
		r.meter.Gauge("endpoints", float64(len(v.Endpoints)))
		if r.proxy != nil {
			r.meter.Gauge("requests_in_progress", float64(r.proxy.Busy()))
			dialed, reused := r.proxy.Pools().Counts()
			r.meter.Gauge("endpoint_connections_made", float64(dialed))
			r.meter.Gauge("endpoint_connections_reused", float64(reused))
		}
		in, out := r.links.Count().Bytes()
		r.meter.Gauge("peer_bytes_received", float64(in))
		r.meter.Gauge("peer_bytes_sent", float64(out))
	})
}
