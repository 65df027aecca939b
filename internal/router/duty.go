package router

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/pace"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/scale"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

// dutyObserveInterval is the interval between two observations of the leadership. It adds to the time that a new leader waits before
// it acts.
const dutyObserveInterval = 100 * time.Millisecond

type (
	// Duties makes the calls to the platform that are duties of one instance.
	Duties interface {
		ReportUsage(ctx context.Context, addr netip.AddrPort, grant duty.Grant, report usage.Report) error
		OrderEndpoints(ctx context.Context, addr netip.AddrPort, grant duty.Grant, order scale.Order) error
	}

	// logLeadership implements duty.Leadership and duty.Taker with the local replica of the log.
	logLeadership struct {
		router *Router
	}

	// keptDuties implements Duties; it makes each call only while the keeper allows it.
	keptDuties struct {
		keeper *duty.Keeper
		wire   Duties
	}
)

// openDuties creates the keeper of duties on a replica whose settings name duties.
func (r *Router) openDuties(c *conf.Settings, wire Wire) {
	if c.Duties == nil || r.group == nil {
		return
	}
	leadership := logLeadership{r}
	r.duties = duty.New(duty.Options{
		Holder: r.self.Name, Lease: c.Duties.Lease.Std(), Rate: c.Duties.Rate, Leadership: leadership, Taker: leadership,
		Counter: r.meter, Now: clock.Now, Log: r.log,
	})
	r.dutyCalls = keptDuties{keeper: r.duties, wire: wire.Duties()}
}

// runDuties observes the leadership and exports whether this instance holds the duties, until ctx ends.
func (r *Router) runDuties(ctx context.Context) {
	names := r.conf.Load().Duties.Names
	pace.Every(ctx, dutyObserveInterval, func() {
		holds := gaugeOf(r.duties.Holds(clock.Now()))
		for _, name := range names {
			r.meter.SetDutyHolder(string(name), holds)
		}
	})
}

// Term returns the term that this instance leads, or 0.
func (l logLeadership) Term() uint64 {
	status := l.router.group.Status()
	if status.Role != repl.Leader.String() {
		return 0
	}
	return status.Term
}

// Confirm returns a time at which a quorum confirmed that this instance leads.
func (l logLeadership) Confirm(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	return l.router.group.Confirm(ctx)
}

// TakeDuty commits that this instance takes a duty.
func (l logLeadership) TakeDuty(ctx context.Context, name duty.Name, subject string) (index uint64, previous string, err error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	self := l.router.self
	cmd := ctrl.Command{TakeDuty: &ctrl.TakeDuty{Duty: name, Subject: subject, Holder: self.Name, Boot: self.Boot}}
	response, err := l.router.quorumServer.Propose(ctx, quorum.Proposal{Command: cmd})
	switch {
	case err != nil:
		return 0, "", err
	case !response.IsLeader:
		return 0, "", errNoLeader
	case response.Result.Code != ctrl.OK:
		return 0, "", fmt.Errorf("%s: %s", response.Result.Code, response.Result.Reason)
	}
	return response.Result.Fence, response.Result.Holder.Name, nil
}

// ReportUsage reports the usage of a window.
func (d keptDuties) ReportUsage(ctx context.Context, addr netip.AddrPort, grant duty.Grant, report usage.Report) error {
	return d.keeper.Do(ctx, grant, func(ctx context.Context) error { return d.wire.ReportUsage(ctx, addr, grant, report) })
}

// OrderEndpoints orders a number of endpoints.
func (d keptDuties) OrderEndpoints(ctx context.Context, addr netip.AddrPort, grant duty.Grant, order scale.Order) error {
	return d.keeper.Do(ctx, grant, func(ctx context.Context) error { return d.wire.OrderEndpoints(ctx, addr, grant, order) })
}
