package origin

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/roster"
)

// endpointsOf returns endpoints of service "m" with the given versions.
func endpointsOf(builds ...string) map[string]roster.Endpoint {
	endpoints := map[string]roster.Endpoint{"other": {ID: "other", Service: "n", Build: "w1"}}
	for _, build := range builds {
		endpoints[build] = roster.Endpoint{ID: build, Service: "m", Build: build}
	}
	return endpoints
}

// TestVersionThatHasJustLeftIsForgotten guards against taking the present version of a service for the one that began a stream, though
// another one was there a moment ago or may have been.
func TestVersionThatHasJustLeftIsForgotten(t *testing.T) {
	const horizon = 10 * time.Second
	// observe records the present endpoints each half second up to a time.
	observe := func(h *History, from, to time.Duration, current bool, builds ...string) {
		for at := from; at <= to; at += 500 * time.Millisecond {
			h.Observe(start.Add(at), endpointsOf(builds...), current)
		}
	}
	only := func(h *History, at time.Duration) string {
		build, known := h.OnlyBuild(start.Add(at), "m", horizon)
		So(known, ShouldEqual, build != "")
		return build
	}
	Convey("a version is the only one once no other was seen for the time", t, func() {
		h := NewHistory()
		observe(h, 0, 9*time.Second, true, "v1")
		So(only(h, 9*time.Second), ShouldBeEmpty)
		observe(h, 9*time.Second, 10*time.Second, true, "v1")
		So(only(h, 10*time.Second), ShouldEqual, "v1")
		observe(h, 10*time.Second, 12*time.Second, true, "v1", "v2")
		So(only(h, 12*time.Second), ShouldBeEmpty)
		observe(h, 12500*time.Millisecond, 20*time.Second, true, "v2")
		So(only(h, 20*time.Second), ShouldBeEmpty)
		observe(h, 20*time.Second, 23*time.Second, true, "v2")
		So(only(h, 23*time.Second), ShouldEqual, "v2")
	})
	Convey("what was not observed is not known", t, func() {
		h := NewHistory()
		So(only(h, time.Hour), ShouldBeEmpty)
		observe(h, 0, 20*time.Second, true, "v1")
		So(only(h, 23*time.Second), ShouldBeEmpty)
		observe(h, 23*time.Second, 30*time.Second, true, "v1")
		So(only(h, 30*time.Second), ShouldBeEmpty)
		observe(h, 30*time.Second, 40*time.Second, true, "v1")
		So(only(h, 40*time.Second), ShouldEqual, "v1")
		observe(h, 40*time.Second, 41*time.Second, false, "v1")
		So(only(h, 41*time.Second), ShouldBeEmpty)
		observe(h, 41*time.Second, 50*time.Second, true, "v1")
		So(only(h, 50*time.Second), ShouldBeEmpty)
	})
	Convey("endpoints that tell no version count as another one, and a service without endpoints has none", t, func() {
		h := NewHistory()
		observe(h, 0, 20*time.Second, true, "v1", "")
		So(only(h, 20*time.Second), ShouldBeEmpty)
		_, known := h.OnlyBuild(start.Add(20*time.Second), "none", horizon)
		So(known, ShouldBeFalse)
	})
	Convey("a horizon beyond the memory is not known", t, func() {
		h := NewHistory()
		observe(h, 0, 3*maxLife, true, "v1")
		_, known := h.OnlyBuild(start.Add(3*maxLife), "m", 2*maxLife)
		So(known, ShouldBeFalse)
	})
}

// TestStartedEntryGuessesTheVersion guards against an instance that has just started taking the only version that it sees for the one that
// began a stream.
func TestStartedEntryGuessesTheVersion(t *testing.T) {
	const horizon = 10 * time.Second
	var elapsed atomic.Int64
	now := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	n := &network{keepers: map[netip.AddrPort]*Keeper{}, cut: map[netip.AddrPort]bool{}, older: map[netip.AddrPort]bool{}}
	var endpoints sync.Map
	add := func(i int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.keepers[addr(i)] = New(Options{
			Sender: n, Now: now, Log: zap.NewNop(),
			Replicas: func() []netip.AddrPort { return []netip.AddrPort{addr(1), addr(2)} },
			Entries:  func() []netip.AddrPort { return nil },
			Endpoints: func(time.Time) (map[string]roster.Endpoint, bool) {
				present, ok := endpoints.Load(i)
				if !ok {
					present, _ = endpoints.Load(1)
				}
				return present.(map[string]roster.Endpoint), true
			},
		})
	}
	pass := func(length time.Duration, builds ...string) {
		endpoints.Store(1, endpointsOf(builds...))
		for range length / (500 * time.Millisecond) {
			for _, keeper := range n.keepers {
				keeper.observe(now())
			}
			elapsed.Add(int64(500 * time.Millisecond))
		}
	}
	only := func(i int) string {
		build, _ := n.keepers[addr(i)].OnlyBuild(context.Background(), "m", horizon)
		return build
	}
	Convey("it asks a replica that has seen the endpoints for long enough", t, func() {
		add(1)
		add(2)
		pass(12*time.Second, "v1")
		add(11)
		So(only(11), ShouldEqual, "v1")
		Convey("of which one may be of a build that does not know the question", func() {
			n.mu.Lock()
			n.older[addr(1)] = true
			n.mu.Unlock()
			So(only(11), ShouldEqual, "v1")
		})
		Convey("and does not know it if a version has just left, come, or no replica has seen enough", func() {
			pass(5*time.Second, "v1", "v2")
			So(only(11), ShouldBeEmpty)
			pass(5*time.Second, "v2")
			So(only(11), ShouldBeEmpty)
			add(12)
			So(only(12), ShouldBeEmpty)
			pass(8*time.Second, "v2")
			So(only(12), ShouldEqual, "v2")
			add(1)
			add(2)
			add(12)
			So(only(12), ShouldBeEmpty)
			pass(12*time.Second, "v2")
			add(12)
			So(only(12), ShouldEqual, "v2")
			add(12)
			endpoints.Store(12, endpointsOf("v3"))
			build, _ := n.keepers[addr(12)].OnlyBuild(context.Background(), "m", horizon)
			So(build, ShouldBeEmpty)
		})
	})
}
