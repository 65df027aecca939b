package live

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/engine"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// failingEngine announces an engine of model m that answers each generation with a status.
type failingEngine struct {
	addr   netip.AddrPort
	status atomic.Int64
}

// NextAnnouncement returns the engine's announcement.
func (e *failingEngine) NextAnnouncement() endpt.Announcement {
	return endpt.Announcement{Name: "e", Boot: "b", Addr: e.addr, Zone: "a", Kind: endpt.Engine, Models: []string{"m"}, Slots: 4}
}

// TestFailedRunLooksNotRun guards against a generation that an engine has begun and failed being told to its caller as not run.
func TestFailedRunLooksNotRun(t *testing.T) {
	Convey("only a refusal of an engine says that nothing ran", t, func() {
		f := newFleet(t, 3, 3)
		e := &failingEngine{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(int(e.status.Load())) }))
		defer server.Close()
		e.addr = netip.MustParseAddrPort(server.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var callers []netip.AddrPort
		for _, in := range f.Instances {
			callers = append(callers, in.Callers)
		}
		go engine.NewAnnouncer(e, callers, rig.EndpointKey).Run(ctx)
		f.putContract(contract("acme", callerKey))
		f.waitForEndpoints("m", 1)
		for status, ran := range map[int64]string{
			http.StatusBadRequest: chat.RanNo, http.StatusTooManyRequests: chat.RanNo, http.StatusServiceUnavailable: chat.RanNo,
			http.StatusInternalServerError: chat.RanUnknown, http.StatusBadGateway: chat.RanUnknown, http.StatusGatewayTimeout: chat.RanUnknown,
		} {
			e.status.Store(status)
			callCtx, done := context.WithTimeout(ctx, 20*time.Second)
			resp, err := f.instance(0).chat(callCtx, callerKey, "quick", "", "x", false)
			done()
			So(err, ShouldBeNil)
			So(resp.status, ShouldBeGreaterThanOrEqualTo, http.StatusBadRequest)
			So(resp.failure.Ran, ShouldEqual, ran)
		}
	})
}
