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

// TestStreamOfOlderEntryIsBoundByLeader guards against streams that an entry instance of a build without software versions has go on at
// another version although the leader knows it, or at any while it does not.
func TestStreamOfOlderEntryIsBoundByLeader(t *testing.T) {
	goOn := func(builds []string, first string, binds bool) LeaderReply {
		view := newView(len(builds))
		for i, build := range builds {
			ep := view.Endpoints[fmt.Sprint("e", i)]
			ep.Build = build
			view.Endpoints[ep.ID] = ep
		}
		s := NewServer(ServerOptions{
			View: func() *ctrl.View { return view }, IsLeader: func() bool { return true }, Engines: fakeEngines{}, Now: time.Now, Log: zap.NewNop(),
		})
		reply, err := s.Serve(context.Background(), LeaderRequest{Entry: "x", Boot: "1", Sequence: 1, BindsStreams: binds, Events: []place.Event{
			{AttemptID: "a/1", Start: &place.Request{AttemptID: "a/1", Service: "s", TimeLeft: time.Minute}, EndpointID: first},
			{AttemptID: "a/1", FirstAnswer: time.Millisecond},
			{AttemptID: "a/1", Outcome: place.ConnectionLost},
		}, Request: &place.Request{AttemptID: "a/2", Service: "s", ExcludedIDs: []string{first}, TimeLeft: time.Minute}})
		So(err, ShouldBeNil)
		return reply
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
