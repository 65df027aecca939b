package picker

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/peer"
	"github.com/greengagewheel/greengagewheel/internal/place"
)

// TestFirstPlacementsMissNewLeader guards against entry instances that choose alone, without the engines' caches, for half a second after
// each change of leader, as their first requests came before the connection was made.
func TestFirstPlacementsMissNewLeader(t *testing.T) {
	var delay atomic.Int64
	view := newView(4)
	ask := func(_ context.Context, req LeaderRequest) (LeaderReply, error) {
		if req.Request == nil {
			return LeaderReply{IsLeader: true}, nil
		}
		time.Sleep(time.Duration(delay.Load()))
		return LeaderReply{IsLeader: true, Found: true, Choice: place.Choice{ID: "e1", Addr: addr(1)}}, nil
	}
	newPicker := func() (p *Picker, pick func(target time.Duration) (byLeader bool, took time.Duration)) {
		leader := startLeader(t, ask)
		p = New(Options{
			Self: ctrl.Instance{Name: "entry-0"}, Links: peer.NewLinks(testSecret, netip.Addr{}), View: func() *ctrl.View { return view },
			Leader: func() netip.AddrPort { return leader }, Now: time.Now, Log: zap.NewNop(),
		})
		n := 0
		return p, func(target time.Duration) (bool, time.Duration) {
			n++
			began := time.Now()
			_, byLeader, err := p.Pick(context.Background(), place.Request{
				AttemptID: fmt.Sprint(n, "/1"), Service: "s", LatencyTarget: target, TimeLeft: time.Minute,
			})
			So(err, ShouldBeNil)
			return byLeader, time.Since(began)
		}
	}
	Convey("a leader that answers its first requests late is waited for, and once it has answered no longer", t, func() {
		_, pick := newPicker()
		delay.Store(int64(2 * answerTimeout))
		byLeader, _ := pick(2 * time.Second)
		So(byLeader, ShouldBeTrue)
		byLeader, took := pick(2 * time.Second)
		So(byLeader, ShouldBeFalse)
		So(took, ShouldBeLessThan, 2*answerTimeout)
	})
	Convey("one that does not answer holds up the first requests only, and urgent ones for a part of their objective", t, func() {
		_, pick := newPicker()
		delay.Store(int64(time.Second))
		const target = 300 * time.Millisecond
		for range maxMisses {
			byLeader, took := pick(target)
			So(byLeader, ShouldBeFalse)
			So(took, ShouldBeLessThan, target/newLeaderWaitDivisor+answerTimeout)
		}
		_, took := pick(2 * time.Second)
		So(took, ShouldBeLessThan, answerTimeout)
	})
}

// TestNewLeaderIsNotToldSpeeds guards against a new leader that takes slow engines for ordinary ones, as entry instances keep to themselves
// what the earlier leader told them.
func TestNewLeaderIsNotToldSpeeds(t *testing.T) {
	Convey("the first message to a new leader holds the speeds that the earlier one reported", t, func() {
		view, leader := newView(4), addr(1)
		p := New(Options{
			Self: ctrl.Instance{Name: "entry-0"}, View: func() *ctrl.View { return view }, Leader: func() netip.AddrPort { return leader },
			Now: time.Now, Log: zap.NewNop(),
		})
		p.syncBalancer()
		speeds := []place.Speed{{EndpointID: "e0", Percent: 180}, {EndpointID: "e1", Percent: 82}}
		p.recordChoice(place.Request{AttemptID: "a/1", Service: "s"}, LeaderReply{Loads: &place.ServiceLoad{Service: "s", Speeds: speeds}})
		_, _, _ = p.takeEvents(true)
		leader = addr(2)
		_, events, ok := p.takeEvents(true)
		So(ok, ShouldBeTrue)
		var told []place.Speed
		for _, e := range events {
			if e.Speed != nil {
				told = append(told, *e.Speed)
			}
		}
		So(told, ShouldResemble, speeds)
	})
}
