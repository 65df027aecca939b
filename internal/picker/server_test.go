package picker

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// fakeEngines holds the cache contents of engines by address.
type fakeEngines map[netip.AddrPort][]place.PromptPart

func (engines fakeEngines) CachedParts(_ context.Context, addr netip.AddrPort) ([]place.PromptPart, error) {
	return engines[addr], nil
}

// newView returns a configuration with n engines of one service.
func newView(n int) *ctrl.View {
	view := &ctrl.View{Endpoints: map[string]roster.Endpoint{}, Table: table.New(&table.Table{
		Version: 1, Services: []table.Service{{Name: "s", Engine: &table.Engine{Slots: 64, Tokens: 500_000, TokensPerEvent: 3}}},
	})}
	for i := range n {
		id := fmt.Sprint("e", i)
		view.Endpoints[id] = roster.Endpoint{ID: id, Service: "s", Zone: "a", State: roster.Ready, Addr: addr(i)}
	}
	return view
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
}

// TestNewLeaderQueriesCaches tests the loss of a leader. Its successor has placed nothing yet and receives all waiting requests
// at once; without the engines' cache contents it would have every prompt prefilled again.
func TestNewLeaderQueriesCaches(t *testing.T) {
	Convey("a new leader sends prompts to the engines that have them cached", t, func() {
		const engines, prompts, size = 6, 60, 13_000
		view, cached := newView(engines), fakeEngines{}
		for i := range prompts {
			cached[addr(i%engines)] = append(cached[addr(i%engines)], place.PromptPart{ID: uint64(i + 1), Tokens: size})
		}
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: cached, Now: time.Now, Log: zap.NewNop(),
		})
		_, err := s.Serve(context.Background(), LeaderRequest{Entry: "x", Boot: "1"})
		So(err, ShouldBeNil)
		s.wg.Wait()
		prefillTokens := 0
		for i := range prompts {
			reply, err := s.Serve(context.Background(), LeaderRequest{Entry: "x", Boot: "1", Request: &place.Request{
				AttemptID: fmt.Sprint(i), Service: "s", Zone: "a", InputTokens: size + 100, LatencyTarget: time.Second, TimeLeft: 10 * time.Second,
				Parts: []place.PromptPart{{ID: uint64(i + 1), Tokens: size}, {ID: uint64(1000 + i), Tokens: 100}},
			}})
			So(err, ShouldBeNil)
			So(reply.Found, ShouldBeTrue)
			prefillTokens += reply.Choice.PrefillTokens
		}
		So(prefillTokens, ShouldEqual, prompts*100)
	})
	Convey("an instance that is not the leader places nothing", t, func() {
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return newView(1) }, IsLeader: func() bool { return false }, Now: time.Now, Log: zap.NewNop(),
		})
		reply, err := s.Serve(context.Background(), LeaderRequest{Entry: "x", Boot: "1", Request: &place.Request{AttemptID: "1", Service: "s"}})
		So(err, ShouldBeNil)
		So(reply.IsLeader, ShouldBeFalse)
	})
}

// TestDuplicateRequest delivers requests twice, the second time after the attempt has ended. The duplicate must not create an
// attempt that never ends.
func TestDuplicateRequest(t *testing.T) {
	Convey("a duplicate request has no further effect and gets the same answer while the attempt is in progress", t, func() {
		view := newView(2)
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: fakeEngines{}, Now: time.Now, Log: zap.NewNop(),
		})
		send := func(req LeaderRequest) LeaderReply {
			req.Entry, req.Boot = "x", "1"
			reply, err := s.Serve(context.Background(), req)
			So(err, ShouldBeNil)
			return reply
		}
		first := LeaderRequest{Sequence: 1, Request: &place.Request{
			AttemptID: "r", Service: "s", Zone: "a", LatencyTarget: time.Second, TimeLeft: time.Minute,
		}}
		reply := send(first)
		So(reply.Found, ShouldBeTrue)
		So(send(first).Choice.ID, ShouldEqual, reply.Choice.ID)
		started := LeaderRequest{Sequence: 2, Events: []place.Event{{
			AttemptID: "l", EndpointID: "e0", Start: &place.Request{AttemptID: "l", Service: "s", TimeLeft: time.Minute},
		}}}
		send(started)
		So(s.balancer.HasAttempt("l"), ShouldBeTrue)
		send(LeaderRequest{Sequence: 3, Events: []place.Event{
			{AttemptID: "r", Outcome: place.Completed}, {AttemptID: "l", Outcome: place.Completed},
		}})
		send(started)
		So(send(first).Found, ShouldBeFalse)
		So(s.balancer.HasAttempt("r"), ShouldBeFalse)
		So(s.balancer.HasAttempt("l"), ShouldBeFalse)
	})
}

// TestLoadsAreSentAtIntervals sends many requests from one entry instance. Load reports must not be part of every answer.
func TestLoadsAreSentAtIntervals(t *testing.T) {
	Convey("the load from other entry instances is sent once per interval, without idle endpoints", t, func() {
		view, now := newView(100), time.Unix(1000, 0)
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: fakeEngines{},
			Now: func() time.Time { return now }, Log: zap.NewNop(),
		})
		request := func(entry, attemptID string) LeaderReply {
			req := &place.Request{AttemptID: attemptID, Service: "s", Entry: entry, Zone: "a", TimeLeft: time.Minute}
			reply, err := s.Serve(context.Background(), LeaderRequest{Entry: entry, Boot: "1", Request: req})
			So(err, ShouldBeNil)
			So(reply.Found, ShouldBeTrue)
			return reply
		}
		busy := request("other", "o").Choice.ID
		received := 0
		for i := range 40 {
			reply := request("x", fmt.Sprint(i))
			if reply.Loads != nil {
				received++
				So(reply.Loads.Endpoints, ShouldHaveLength, 1)
				So(reply.Loads.Endpoints[0].ID, ShouldEqual, busy)
			}
			now = now.Add(50 * time.Millisecond)
		}
		So(received, ShouldEqual, 2)
	})
}
