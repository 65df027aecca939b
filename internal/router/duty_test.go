package router

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/conf"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/duty"
	"github.com/greengagewheel/greengagewheel/internal/group"
	"github.com/greengagewheel/greengagewheel/internal/meter"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/quorum"
	"github.com/greengagewheel/greengagewheel/internal/repl"
	"github.com/greengagewheel/greengagewheel/internal/usage"
)

// dutyMeter is shared, as a process can have one meter only.
var dutyMeter = meter.New()

// dutyWire is a wire of which only the calls of duties are used.
type dutyWire struct {
	Wire
	calls Duties
}

func (w dutyWire) Duties() Duties { return w.calls }

// countedReports counts reports of usage.
type countedReports struct {
	Duties
	reports int
}

func (c *countedReports) ReportUsage(context.Context, netip.AddrPort, duty.Grant, usage.Report) error {
	c.reports++
	return nil
}

// startDutyRouter starts the only replica of a log in a data folder, with duties; stop ends it at once, as a loss of power does.
func startDutyRouter(dir string, wire Wire) (r *Router, stop func()) {
	self := ctrl.Instance{Name: "n", Boot: "n-" + dir}
	r = &Router{self: self, machine: ctrl.NewMachine(), meter: dutyMeter, log: zap.NewNop()}
	var err error
	r.group, err = group.New(group.Options{
		Name: "n", DataDir: dir, SelfAddr: netip.MustParseAddrPort("127.0.0.1:1"), Links: peer.NewLinks("", netip.Addr{}),
		FoundingMembers: []repl.Member{{Name: "n"}}, StateMachine: r.machine, Log: zap.NewNop(), RandSeed: 1,
	})
	So(err, ShouldBeNil)
	r.quorumServer = quorum.NewServer(r.group, r.machine, nil)
	c := conf.Default()
	c.Duties = &conf.Duties{Names: []duty.Name{duty.UsageReporting}, Lease: conf.Duration(time.Second), Rate: 50}
	r.conf.Store(&c)
	r.openDuties(&c, wire)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.group.Run(ctx) })
	wg.Go(func() { r.runDuties(ctx) })
	return r, func() {
		cancel()
		wg.Wait()
	}
}

// awaitGrant returns the first grant, and how long it took to get it.
func awaitGrant(r *Router) (duty.Grant, time.Duration) {
	began := clock.Now()
	for {
		g, err := r.duties.Grant(context.Background(), clock.Now(), duty.UsageReporting, "")
		if err == nil {
			return g, clock.Since(began)
		}
		if !errors.Is(err, duty.ErrNotHolder) || clock.Since(began) > 10*time.Second {
			So(err, ShouldBeNil)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestDutiesOfReplica guards against a leader that acts before the lease has passed, or with a token that a holder before it had, as after
// a loss of power between commit and call.
func TestDutiesOfReplica(t *testing.T) {
	Convey("a leader takes a duty after the lease, makes calls with it, and takes a larger token after a restart", t, func() {
		dir, calls := t.TempDir(), &countedReports{}
		r, stop := startDutyRouter(dir, dutyWire{calls: calls})
		first, took := awaitGrant(r)
		So(took, ShouldBeGreaterThan, time.Second)
		So(r.machine.Duties(), ShouldResemble, []ctrl.DutyRecord{
			{Duty: duty.UsageReporting, Holder: "n", Boot: r.self.Boot, Token: first.Token},
		})
		So(r.dutyCalls.ReportUsage(context.Background(), netip.AddrPort{}, first, usage.Report{}), ShouldBeNil)
		So(calls.reports, ShouldEqual, 1)
		stop()
		r, stop = startDutyRouter(dir, dutyWire{calls: calls})
		defer stop()
		second, took := awaitGrant(r)
		So(took, ShouldBeGreaterThan, time.Second)
		So(second.Token, ShouldBeGreaterThan, first.Token)
	})
	Convey("without duties in the settings there is no keeper", t, func() {
		r, c := &Router{group: &group.Group{}}, conf.Default()
		r.openDuties(&c, dutyWire{})
		So(r.duties, ShouldBeNil)
		So(r.dutyCalls, ShouldBeNil)
	})
}
