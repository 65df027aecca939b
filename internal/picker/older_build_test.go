package picker

import (
	"context"
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
