package scale

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// rig is a holder of the duty with its log, and a platform whose answers are set by errs, one for each call; then it accepts.
type rig struct {
	mu     sync.Mutex
	now    time.Time
	holds  bool
	token  uint64
	state  State
	orders []Order
	calls  []string
	errs   []error
}

func (r *rig) Holds(time.Time) bool { return r.holds }

func (r *rig) Grant(_ context.Context, _ time.Time, name duty.Name, subject string) (duty.Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return duty.Grant{Duty: name, Subject: subject, Holder: "i", Token: max(1, r.token)}, nil
}

func (r *rig) Renew(ctx context.Context, now time.Time, name duty.Name, subject string) (duty.Grant, error) {
	r.Refuse(duty.Grant{})
	return r.Grant(ctx, now, name, subject)
}

func (r *rig) Refuse(duty.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = max(1, r.token) + 1
}

func (r *rig) OrderEndpoints(_ context.Context, _ netip.AddrPort, grant duty.Grant, o Order) (err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, fmt.Sprintf("%s %v %d token %d", o.Zone, o.Spot, o.Count, grant.Token))
	if len(r.errs) > 0 {
		err, r.errs = r.errs[0], r.errs[1:]
	}
	return err
}

func (r *rig) CommitOrder(_ context.Context, o Order) error {
	r.orders = append(r.orders, o)
	return nil
}

func (r *rig) Orders() []Order { return r.orders }

func (r *rig) Services(time.Time) []State { return []State{r.state} }

// newRig returns a service with two endpoints in one zone where at least three must be.
func newRig() *rig {
	return &rig{now: time.Unix(1000, 0), holds: true, state: State{
		Name: "m", Endpoints: []Endpoint{{Zone: "a"}, {Zone: "a"}},
		Scaling: &table.Scaling{Min: 3, Max: 5, Boot: 4 * time.Second, ZonePrices: map[string]float64{"a": 1}},
	}}
}

func (r *rig) runner(log *zap.Logger) *Runner {
	return New(Options{Keeper: r, Platform: r, Log: r, Fleet: r, Now: func() time.Time { return r.now }, Logger: log})
}

// run lets a time span pass.
func (r *rig) run(runner *Runner, span time.Duration) {
	for ; span > 0; span -= planInterval {
		runner.step(context.Background())
		runner.wg.Wait()
		r.now = r.now.Add(planInterval)
	}
}

// TestOrderIsLostOrRepeated guards against orders that are not sent again after a failure, or are sent without need or with an old token.
func TestOrderIsLostOrRepeated(t *testing.T) {
	Convey("an order is committed, then sent once", t, func() {
		r := newRig()
		r.run(r.runner(zap.NewNop()), 5*time.Second)
		So(r.orders, ShouldHaveLength, 1)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1"})
	})
	Convey("without an answer it is sent again with a larger token, as the first may be carried out later", t, func() {
		r := newRig()
		r.errs = []error{duty.ErrUnanswered, duty.ErrUnanswered}
		r.run(r.runner(zap.NewNop()), 5*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1", "a false 3 token 2", "a false 3 token 3"})
	})
	Convey("a platform that is too busy gets it again with the same token", t, func() {
		r := newRig()
		r.errs = []error{duty.ErrBusy}
		r.run(r.runner(zap.NewNop()), 5*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1", "a false 3 token 1"})
	})
	Convey("a refused order is tried with a new token, and again after some seconds", t, func() {
		r := newRig()
		r.errs = []error{duty.ErrStale, duty.ErrStale}
		runner := r.runner(zap.NewNop())
		r.run(runner, 5*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1", "a false 3 token 2"})
		r.run(runner, 5*time.Second)
		So(r.calls, ShouldHaveLength, 3)
	})
	Convey("it is sent again with a new token if its endpoints do not come for long, and less and less often", t, func() {
		r := newRig()
		runner := r.runner(zap.NewNop())
		r.run(runner, 14*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1", "a false 3 token 2"})
		r.run(runner, 30*time.Second)
		So(r.calls, ShouldHaveLength, 3)
	})
	Convey("after a call without an answer the number before it is sent again, as the call may have been carried out", t, func() {
		r := newRig()
		runner := r.runner(zap.NewNop())
		r.run(runner, 2*time.Second)
		r.state.Scaling.Min, r.errs = 4, []error{duty.ErrUnanswered}
		r.run(runner, planInterval)
		r.state.Scaling.Min, r.state.Scaling.Max = 3, 3
		r.run(runner, 2*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 1", "a false 4 token 1", "a false 3 token 2"})
	})
	Convey("after a refusal the number accepted before stays ordered, as its endpoints may still be starting", t, func() {
		r := newRig()
		runner := r.runner(zap.NewNop())
		r.state.Scaling.Min, r.state.Scaling.Max, r.state.Demand = 1, 20, steady(3)(time.Minute)
		r.run(runner, 2*time.Second)
		So(r.calls, ShouldHaveLength, 1)
		accepted := r.orders[0].Count
		So(accepted, ShouldBeGreaterThan, 4)
		r.state.Demand, r.errs = steady(6)(time.Minute), []error{duty.ErrStale, duty.ErrStale}
		r.run(runner, 2*time.Second)
		So(r.calls, ShouldHaveLength, 3)
		So(r.orders[len(r.orders)-1].Count, ShouldEqual, accepted)
	})
	Convey("the next holder starts from the committed order and sends nothing", t, func() {
		r := newRig()
		r.run(r.runner(zap.NewNop()), 2*time.Second)
		r.state.Endpoints = append(r.state.Endpoints, Endpoint{Zone: "a"})
		r.run(r.runner(zap.NewNop()), 20*time.Second)
		So(r.calls, ShouldHaveLength, 1)
		So(r.orders, ShouldHaveLength, 1)
	})
	Convey("an instance that does not hold the duty orders nothing", t, func() {
		r := newRig()
		r.holds = false
		r.run(r.runner(zap.NewNop()), 5*time.Second)
		So(r.orders, ShouldBeEmpty)
	})
}

// TestImpossibleScalingIsFollowed guards against orders from prices or bounds that make no sense, and a log line for each plan.
func TestImpossibleScalingIsFollowed(t *testing.T) {
	for name, change := range map[string]func(*table.Scaling){
		"a negative price":            func(s *table.Scaling) { s.ZonePrices["a"] = -1 },
		"a negative spot price":       func(s *table.Scaling) { s.SpotPrice = -0.1 },
		"a lower bound above the max": func(s *table.Scaling) { s.Min = 9 },
		"no zone":                     func(s *table.Scaling) { s.ZonePrices = nil },
	} {
		Convey(name, t, func() {
			r := newRig()
			change(r.state.Scaling)
			core, lines := observer.New(zap.InfoLevel)
			r.run(r.runner(zap.New(core)), 5*time.Second)
			So(r.orders, ShouldBeEmpty)
			So(lines.All(), ShouldHaveLength, 1)
		})
	}
}

// TestReclaimIsSeenTooLong guards against reclaimed endpoints that left without reporting it and bar their zone while they are registered,
// and against an order that its holder committed and could not send.
func TestReclaimIsSeenTooLong(t *testing.T) {
	Convey("a zone is usable some seconds after the last notice", t, func() {
		r := newRig()
		runner := r.runner(zap.NewNop())
		r.state.Endpoints = append(r.state.Endpoints, Endpoint{Zone: "a", Spot: true, Leaving: true, Reclaimed: true})
		began := r.now
		r.run(runner, 10*time.Second)
		So(runner.services["m"].reclaimedAt["a"], ShouldEqual, began)
	})
	Convey("the next holder sends an order again whose endpoints do not come", t, func() {
		r := newRig()
		r.orders = []Order{{Service: "m", Zone: "a", Count: 3}}
		r.run(r.runner(zap.NewNop()), 7*time.Second)
		So(r.calls, ShouldResemble, []string{"a false 3 token 2"})
	})
}
