package picker

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/place"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const testSecret = "secret"

// startLeader serves placements by ask at an address that is returned.
func startLeader(t *testing.T, ask func(context.Context, LeaderRequest) (LeaderReply, error)) netip.AddrPort {
	mux := http.NewServeMux()
	mux.Handle("/twirp/", peer.NewHandler(testSecret, peer.Handlers{Ask: peer.TypedHandler(ask)}))
	server := httptest.NewUnstartedServer(mux)
	conns.EnableHTTP2(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestLeaderOfOlderBuildIgnoresBuild guards against streams that do not go on while a replica of a build without software versions leads:
// it chooses any endpoint, and each choice of another version was withdrawn, one after the other.
func TestLeaderOfOlderBuildIgnoresBuild(t *testing.T) {
	Convey("the entry instance chooses itself if the leader's choice does not tell the version", t, func() {
		view := newView(40)
		for id, ep := range view.Endpoints {
			ep.Build = "v1"
			if id == "e7" {
				ep.Build = "v2"
			}
			view.Endpoints[id] = ep
		}
		asked := 0
		leader := startLeader(t, func(_ context.Context, req LeaderRequest) (LeaderReply, error) {
			if req.Request == nil {
				return LeaderReply{IsLeader: true}, nil
			}
			asked++
			return LeaderReply{IsLeader: true, Found: true, Choice: place.Choice{ID: "e1", Addr: addr(1)}}, nil
		})
		p := New(Options{
			Self: ctrl.Instance{Name: "entry-0"}, Links: peer.NewLinks(testSecret, netip.Addr{}), View: func() *ctrl.View { return view },
			Leader: func() netip.AddrPort { return leader }, Now: time.Now, Log: zap.NewNop(),
		})
		request := place.Request{AttemptID: "a/1", Service: "s", Build: "v2", TimeLeft: time.Minute}
		choice, byLeader, err := p.Pick(context.Background(), request)
		So(err, ShouldBeNil)
		So(byLeader, ShouldBeFalse)
		So(choice.ID, ShouldEqual, "e7")
		So(asked, ShouldBeLessThanOrEqualTo, 2)
		So(p.Running(), ShouldEqual, 1)
	})
}

// leaderOf returns the server of a leader that knows endpoints e0, e1 and so on of the given software versions.
func leaderOf(builds []string, now func() time.Time) *Server {
	view := newView(len(builds))
	for i, build := range builds {
		ep := view.Endpoints[fmt.Sprint("e", i)]
		ep.Build = build
		view.Endpoints[ep.ID] = ep
	}
	return NewServer(ServerOptions{
		View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: fakeEngines{}, Now: now, Log: zap.NewNop(),
	})
}

// goOnAfter reports events to a leader and asks for an endpoint other than the excluded ones for attempt a/2.
func goOnAfter(s *Server, events []place.Event, binds bool, excluded ...string) LeaderReply {
	reply, err := s.Serve(context.Background(), LeaderRequest{
		Entry: "x", Boot: "1", BindsStreams: binds, Events: events,
		Request: &place.Request{AttemptID: "a/2", Service: "s", ExcludedIDs: excluded, TimeLeft: time.Minute},
	})
	So(err, ShouldBeNil)
	return reply
}

// TestStreamOfOlderEntryIsBoundByLeader guards against streams that an entry instance of a build without software versions has go on at
// another version although the leader knows it, or at any while it does not.
func TestStreamOfOlderEntryIsBoundByLeader(t *testing.T) {
	goOn := func(builds []string, first string, binds bool) LeaderReply {
		s := leaderOf(builds, time.Now)
		return goOnAfter(s, []place.Event{
			{AttemptID: "a/1", Start: &place.Request{AttemptID: "a/1", Service: "s", TimeLeft: time.Minute}, EndpointID: first},
			{AttemptID: "a/1", FirstAnswer: time.Millisecond},
			{AttemptID: "a/1", Outcome: place.ConnectionLost},
		}, binds, first)
	}
	builds := []string{"v1", "v1", "v2", "v2"}
	Convey("the leader binds it", t, func() {
		for i, build := range builds {
			reply := goOn(builds, fmt.Sprint("e", i), false)
			So(reply.Found, ShouldBeTrue)
			So(reply.Choice.Build, ShouldEqual, build)
		}
	})
	Convey("it goes on nowhere while the version at which it began is not known", t, func() {
		So(goOn([]string{"", "v1", "", "v2"}, "e0", false).Found, ShouldBeFalse)
	})
	Convey("an entry instance that binds streams itself may go anywhere", t, func() {
		So(goOn([]string{"v1", "v2"}, "e0", true).Choice.Build, ShouldEqual, "v2")
	})
}

// TestStreamOfOlderEntryIsBoundByNewLeader guards against streams that an entry instance of a build without software versions has go on at
// another version because the leader was elected after they began: the entry reports them without their first answers, and not at all
// if they broke off before.
func TestStreamOfOlderEntryIsBoundByNewLeader(t *testing.T) {
	builds := []string{"v1", "v1", "v2", "v2"}
	Convey("a stream that broke off after its entry reported it keeps its version", t, func() {
		for i, build := range builds {
			first := fmt.Sprint("e", i)
			now := time.Unix(1000, 0)
			s := leaderOf(builds, func() time.Time { return now })
			_, err := s.Serve(context.Background(), LeaderRequest{Entry: "x", Boot: "1", Events: []place.Event{
				{AttemptID: "a/1", Start: &place.Request{AttemptID: "a/1", Service: "s", TimeLeft: time.Minute}, EndpointID: first},
			}})
			So(err, ShouldBeNil)
			now = now.Add(2 * time.Second)
			reply := goOnAfter(s, []place.Event{{AttemptID: "a/1", Outcome: place.ConnectionLost}}, false, first)
			So(reply.Found, ShouldBeTrue)
			So(reply.Choice.Build, ShouldEqual, build)
		}
	})
	Convey("a stream that broke off before keeps its version, also if it breaks off once more", t, func() {
		for i, build := range builds {
			now := time.Unix(1000, 0)
			first, other := fmt.Sprint("e", i), fmt.Sprint("e", i^1)
			s := leaderOf(builds, func() time.Time { return now })
			reply := goOnAfter(s, nil, false, first)
			So(reply.Found, ShouldBeTrue)
			So(reply.Choice.ID, ShouldEqual, other)
			now = now.Add(2 * time.Second)
			reply = goOnAfter(s, []place.Event{{AttemptID: "a/2", Outcome: place.ConnectionLost}}, false)
			So(reply.Found, ShouldBeTrue)
			So(reply.Choice.Build, ShouldEqual, build)
		}
	})
	Convey("it goes on nowhere if its version is not clear, for a second", t, func() {
		now := time.Unix(1000, 0)
		s := leaderOf(builds, func() time.Time { return now })
		So(goOnAfter(s, nil, false, "e0", "e2").Found, ShouldBeFalse)
		now = now.Add(time.Second)
		So(goOnAfter(s, nil, false, "e0", "e2").Found, ShouldBeTrue)
	})
	Convey("versions of other services do not matter", t, func() {
		s := leaderOf(builds, time.Now)
		view := s.opt.View()
		engine := &table.Engine{Slots: 64, Tokens: 500_000}
		view.Table = table.New(&table.Table{Services: []table.Service{{Name: "s", Engine: engine}, {Name: "another", Engine: engine}}})
		ep := view.Endpoints["e3"]
		ep.Service = "another"
		view.Endpoints["e3"] = ep
		So(goOnAfter(s, nil, false, "e0", "e3").Choice.ID, ShouldEqual, "e1")
	})
	Convey("a request that the leader placed, and no endpoint answered, may go anywhere", t, func() {
		now := time.Unix(1000, 0)
		s := leaderOf([]string{"v1", "v2"}, func() time.Time { return now })
		So(goOnAfter(s, nil, false).Found, ShouldBeTrue)
		now = now.Add(2 * time.Second)
		first := goOnAfter(s, nil, false).Choice.ID
		reply := goOnAfter(s, []place.Event{{AttemptID: "a/2", Outcome: place.ConnectionLost}}, false, first)
		So(reply.Found, ShouldBeTrue)
		So(reply.Choice.ID, ShouldNotEqual, first)
	})
	Convey("endpoints of unknown version, and entries that bind streams, are not held back", t, func() {
		So(goOnAfter(leaderOf([]string{"", ""}, time.Now), nil, false, "e0").Found, ShouldBeTrue)
		So(goOnAfter(leaderOf([]string{"v1", "v2"}, time.Now), nil, true, "e0").Found, ShouldBeTrue)
	})
}
