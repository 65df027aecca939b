package router

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/picker"
	"github.com/greengagewheel/greengagewheel/internal/proxy"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

type (
	// usageLog implements usage.Log with the local replica of the log.
	usageLog struct {
		router *Router
	}

	// usageReplicas implements usage.Replicas by calls between instances.
	usageReplicas struct {
		router *Router
	}
)

// openUsage creates what counts usage on an entry instance, and what gathers and reports it on a replica, if the settings name the duty.
func (r *Router) openUsage(c *conf.Settings) {
	if !c.Duties.Has(duty.UsageReporting) {
		return
	}
	retention := usage.Retention(c.Duties.Window.Std(), c.Duties.Late.Std())
	if c.Listen.Callers.IsValid() {
		r.usageCounter = usage.NewCounter(retention, clock.Now, time.Now)
	}
	if r.group == nil {
		return
	}
	r.usageCollector = usage.NewCollector(retention, time.Now)
	r.usageRunner = usage.New(usage.Options{
		Addr: c.Duties.Address, Window: c.Duties.Window.Std(), Late: c.Duties.Late.Std(), Collector: r.usageCollector, Platform: r.dutyCalls,
		Keeper: r.duties, Log: usageLog{r}, Replicas: usageReplicas{r}, Now: clock.Now, Logger: r.log,
	})
}

// pickerUsage and proxyUsage return the counter of an entry instance, or nil if usage is not counted.
func (r *Router) pickerUsage() picker.Usage {
	if r.usageCounter == nil {
		return nil
	}
	return r.usageCounter
}

func (r *Router) proxyUsage() proxy.Usage {
	if r.usageCounter == nil {
		return nil
	}
	return r.usageCounter
}

// receiveUsage takes the usage in a request of an entry instance and returns its acknowledgement, or nil if there is none.
func (r *Router) receiveUsage(req *picker.LeaderRequest) *usage.Ack {
	if req.Usage == nil || r.usageCollector == nil {
		return nil
	}
	ack := r.usageCollector.Receive(clock.Now(), req.Entry, req.Boot, req.Usage)
	return &ack
}

// serveUsageCopy answers a message about the counts of all entry instances.
func (r *Router) serveUsageCopy(msg *usage.Copy) picker.LeaderReply {
	if r.usageCollector == nil {
		return picker.LeaderReply{}
	}
	reply := r.usageCollector.Serve(clock.Now(), msg)
	return picker.LeaderReply{UsageCopy: &reply}
}

// updateUsageGauges exports the numbers of windows of usage.
func (r *Router) updateUsageGauges() {
	if r.usageRunner == nil {
		return
	}
	stats := r.usageRunner.Stats()
	r.meter.SetGauge("usage_windows_reported", float64(stats.Reported))
	r.meter.SetGauge("usage_windows_pending", float64(stats.Pending))
	r.meter.SetGauge("usage_windows_given_up", float64(stats.GivenUp))
}

// IsLeader reports whether this instance is the leader of the log.
func (l usageLog) IsLeader() bool {
	return l.router.isLeader()
}

// UnreportedUsage returns the latest window that is fixed and the counts of those that are not acknowledged.
func (l usageLog) UnreportedUsage() (latest int64, unreported map[int64]map[string]int) {
	return l.router.machine.UnreportedUsage()
}

// FixUsage commits the usage of a window. It returns nil if the log holds the window, also with counts committed earlier.
func (l usageLog) FixUsage(ctx context.Context, fix ctrl.FixUsage) error {
	response, err := l.router.quorumServer.Propose(ctx, quorum.Proposal{Command: ctrl.Command{FixUsage: &fix}})
	switch {
	case err != nil:
		return err
	case !response.IsLeader:
		return errNoLeader
	case response.Result.Code == ctrl.Invalid:
		return fmt.Errorf("fix usage of window %d: %s", fix.Window, response.Result.Reason)
	}
	return nil
}

// Others returns the other replicas, those in other availability zones first, as machines of one zone fail together.
func (u usageReplicas) Others() []netip.AddrPort {
	zones := map[netip.AddrPort]string{}
	for _, replica := range u.router.distributor.Replicas() {
		zones[replica.Addr] = replica.Zone
	}
	others := u.router.otherReplicas()
	slices.SortStableFunc(others, func(a, b netip.AddrPort) int {
		return int(gaugeOf(zones[a] == u.router.self.Zone)) - int(gaugeOf(zones[b] == u.router.self.Zone))
	})
	return others
}

// SendCopy sends counts to another replica and returns its answer.
func (u usageReplicas) SendCopy(ctx context.Context, to netip.AddrPort, msg usage.Copy) (usage.Copy, error) {
	var reply picker.LeaderReply
	if err := u.router.links.Call(ctx, to, peer.Ask, leaderTimeout, picker.LeaderRequest{UsageCopy: &msg}, &reply); err != nil {
		return usage.Copy{}, err
	}
	if reply.UsageCopy == nil {
		return usage.Copy{}, usage.ErrNoCopy
	}
	return *reply.UsageCopy, nil
}
