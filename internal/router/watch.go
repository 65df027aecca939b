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
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/retry"
)

const (
	// settingsPollInterval is the interval between two checks whether the settings file has changed.
	settingsPollInterval = 2 * time.Second
	pruneInterval        = time.Second
	gaugeInterval        = 2 * time.Second
	// allowanceMargin is the fraction of the settings' Ratio and Slack that is used. The margin covers requests that arrive at one
	// instance but may not be counted where they end.
	allowanceMargin = 0.8
)

// watch reloads the settings when the file changes or on SIGHUP. If they cannot be read, the current ones stay in force.
func (r *Router) watch(ctx context.Context) {
	sighup := make(chan os.Signal, 1)
	signal.Notify(sighup, syscall.SIGHUP)
	defer signal.Stop(sighup)
	loadedModTime := modTime(r.settingsFile)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		case <-ticker.C:
			if newModTime := modTime(r.settingsFile); newModTime.Equal(loadedModTime) {
				continue
			}
		}
		loadedModTime = modTime(r.settingsFile)
		r.reload()
	}
}

// modTime returns the modification time of a file, or the zero time if it is not known.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the seeds from the settings file. All other settings take effect at the next start.
func (r *Router) reload() {
	c, err := conf.Load(r.settingsFile)
	if err != nil {
		r.log.Error("settings not reloaded", zap.Error(err))
		return
	}
	current := r.conf.Load()
	next := *current
	next.Peers.Seeds = c.Peers.Seeds
	r.conf.Store(&next)
	r.log.Info("settings reloaded", zap.Bool("seeds", !slices.Equal(current.Peers.Seeds, next.Peers.Seeds)))
}

// prune regularly removes what the proxy holds of endpoints that no longer exist.
func (r *Router) prune(ctx context.Context) {
	pace.Every(ctx, pruneInterval, func() { r.proxy.Prune(clock.Now()) })
}

// currentRetryAllowance returns the retries that the settings allow this instance at present.
func (r *Router) currentRetryAllowance() retry.Allowance {
	return retryAllowance(&r.conf.Load().Retry, len(r.distributor.View().Instances), clock.Since(r.startedAt))
}

// retryAllowance returns one instance's share of the retries that the settings allow. The slack is divided
// among all instances, as all of them may retry at the same time. An instance that started less than a window ago gets no
// slack, as it does not know how much it retried before.
func retryAllowance(c *conf.Retry, instances int, uptime time.Duration) retry.Allowance {
	allowance := retry.Allowance{Ratio: c.Ratio * allowanceMargin, Window: c.Window.Std()}
	if uptime >= allowance.Window {
		allowance.Slack = c.Slack * allowanceMargin / float64(max(1, instances))
	}
	return allowance
}

// gaugeOf returns 1 for true and 0 for false.
func gaugeOf(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// updateGauges regularly exports gauges until ctx ends.
func (r *Router) updateGauges(ctx context.Context) {
	pace.Every(ctx, gaugeInterval, func() {
		view := r.distributor.View()
		r.meter.SetGauge("config_version", float64(view.Version))
		r.meter.SetGauge("table_version", float64(view.Table.Version()))
		r.meter.SetGauge("keys_required", gaugeOf(view.Table.RequiresKey()))
		r.meter.SetGauge("keys_known", float64(view.Table.NumKeys()))
		r.meter.SetGauge("config_age_seconds", r.distributor.ProofAge(clock.Now()).Seconds())
		r.meter.SetGauge("endpoints", float64(len(view.Endpoints)))
		r.meter.SetGauge("prompt_parts_suspected", float64(len(view.Parts)))
		r.meter.SetGauge("stream_origins", float64(r.origins.Len()))
		held := r.budget.Counts()
		r.meter.SetGauge("clients_held_bytes", float64(held.Held))
		r.meter.SetGauge("clients_held_running_bytes", float64(held.Pinned))
		r.meter.SetGauge("clients_bodies_given_up", float64(held.Evicted))
		r.meter.SetGauge("clients_bodies_stalled", float64(held.Stalls))
		r.meter.SetGauge("clients_refused_for_memory", float64(held.Refused))
		if r.callerConns != nil {
			r.meter.SetGauge("clients_unfinished_headers_closed", float64(r.callerConns.closedNew()))
		}
		if r.proxy != nil {
			r.meter.SetGauge("requests_in_progress", float64(r.proxy.RequestsInProgress()))
			dialed, reused := r.proxy.Pools().ConnectionCounts()
			crashes, refused, heldParts := r.proxy.CrashCounts()
			r.meter.SetGauge("endpoint_crashes_seen", float64(crashes))
			r.meter.SetGauge("prompt_parts_held", float64(heldParts))
			r.meter.SetGauge("endpoints_limited", float64(r.picker.LimitedEndpoints()))
			r.meter.SetGauge("endpoints_brittle", float64(r.picker.BrittleEndpoints()))
			r.meter.SetGauge("requests_refused_for_parts", float64(refused))
			r.meter.SetGauge("streams_of_unknown_origin", float64(r.proxy.OriginsUnknown()))
			r.meter.SetGauge("responses_skipped", float64(r.proxy.ResponsesSkipped()))
			r.meter.SetGauge("engine_starts_asked", float64(r.proxy.StartsAsked()))
			r.meter.SetGauge("requests_sent_by_others", float64(r.proxy.DetoursMade()))
			r.meter.SetGauge("endpoints_reached", gaugeOf(r.proxy.ReachesEndpoints()))
			r.meter.SetGauge("endpoint_connections_made", float64(dialed))
			r.meter.SetGauge("endpoint_connections_reused", float64(reused))
		}
		r.updateUsageGauges()
		received, sent := r.links.ByteCounter().Bytes()
		r.meter.SetGauge("peer_bytes_received", float64(received))
		r.meter.SetGauge("peer_bytes_sent", float64(sent))
	})
}
