package ctrl

import (
	"net/netip"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/internal/scale"
)

// oldEndpoint is an endpoint as builds without software versions decode it.
type oldEndpoint struct {
	ID          string         `json:"id"`
	Service     string         `json:"service"`
	Addr        netip.AddrPort `json:"addr"`
	Zone        string         `json:"zone"`
	Slots       int            `json:"slots"`
	State       roster.State   `json:"state"`
	StartedAtMS int64          `json:"born"`
}

// throughOldBuild returns an announcement as it leaves a replica of a build without software versions.
func throughOldBuild(e roster.Endpoint) (out roster.Endpoint) {
	data, err := cbor.Marshal(e)
	So(err, ShouldBeNil)
	var old oldEndpoint
	So(cbor.Unmarshal(data, &old), ShouldBeNil)
	data, err = cbor.Marshal(old)
	So(err, ShouldBeNil)
	So(cbor.Unmarshal(data, &out), ShouldBeNil)
	return out
}

// announceAtLeader commits an announcement on a leader of this build, and at replicas of this build and of one without versions.
func announceAtLeader(leader, replica, oldReplica *Machine, e roster.Endpoint) {
	for _, step := range leader.AnnouncementSteps(e) {
		apply := func(m *Machine, ep roster.Endpoint) {
			data, err := cbor.Marshal(Command{Announce: &ep})
			So(err, ShouldBeNil)
			m.Apply(0, data)
		}
		apply(leader, step)
		apply(replica, step)
		apply(oldReplica, throughOldBuild(step))
	}
}

func versionOf(m *Machine) uint64 {
	_, _, version := m.Since(0)
	return version
}

// TestReplicasOfTwoBuildsNumberChangesDifferently guards against replicas that give one change different configuration versions, so that
// an instance which turns from one to the other refuses what it gets, or misses changes.
func TestReplicasOfTwoBuildsNumberChangesDifferently(t *testing.T) {
	endpoint := roster.Endpoint{
		ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 8, State: roster.Ready, StartedAtMS: 5, Build: "v1",
	}
	Convey("an announcement that tells a version for the first time counts the same at all replicas", t, func() {
		leader, replica, oldReplica := NewMachine(), NewMachine(), NewMachine()
		announceAtLeader(leader, replica, oldReplica, throughOldBuild(endpoint))
		announceAtLeader(leader, replica, oldReplica, endpoint)
		So(leader.Endpoints(), ShouldResemble, []roster.Endpoint{endpoint})
		So(oldReplica.Endpoints(), ShouldResemble, []roster.Endpoint{throughOldBuild(endpoint)})
		So(versionOf(replica), ShouldEqual, versionOf(leader))
		So(versionOf(oldReplica), ShouldEqual, versionOf(leader))
		So(leader.AnnouncementSteps(endpoint), ShouldBeEmpty)
	})
	Convey("one that came through a replica without versions does not take the version away", t, func() {
		leader, replica, oldReplica := NewMachine(), NewMachine(), NewMachine()
		announceAtLeader(leader, replica, oldReplica, endpoint)
		before := versionOf(leader)
		So(leader.AnnouncementSteps(throughOldBuild(endpoint)), ShouldBeEmpty)
		leaving := throughOldBuild(endpoint)
		leaving.State = roster.Leaving
		announceAtLeader(leader, replica, oldReplica, leaving)
		So(leader.Endpoints()[0].Build, ShouldEqual, "v1")
		So(leader.Endpoints()[0].State, ShouldEqual, roster.Leaving)
		So(versionOf(leader), ShouldEqual, before+1)
		So(versionOf(oldReplica), ShouldEqual, versionOf(leader))
	})
	Convey("a later start without a version does not inherit that of the one before", t, func() {
		leader, replica, oldReplica := NewMachine(), NewMachine(), NewMachine()
		announceAtLeader(leader, replica, oldReplica, endpoint)
		later := throughOldBuild(endpoint)
		later.StartedAtMS++
		announceAtLeader(leader, replica, oldReplica, later)
		So(leader.Endpoints()[0].Build, ShouldBeEmpty)
		So(versionOf(oldReplica), ShouldEqual, versionOf(leader))
	})
}

// TestSpotEndpointIsNumberedDifferently guards against replicas that give one change different configuration versions because an older build
// does not know which endpoints are spot ones, and against an announcement through such a replica that takes the mark away.
func TestSpotEndpointIsNumberedDifferently(t *testing.T) {
	spot := roster.Endpoint{
		ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 8, State: roster.Ready, StartedAtMS: 5, Spot: true,
	}
	Convey("all replicas count the mark and the notice alike", t, func() {
		leader, replica, oldReplica := NewMachine(), NewMachine(), NewMachine()
		leaving, later := spot, spot
		leaving.State, leaving.LeavesMS = roster.Leaving, 2400
		later.State, later.LeavesMS = roster.Leaving, 1400
		for _, e := range []roster.Endpoint{throughOldBuild(spot), spot, throughOldBuild(spot), leaving, later} {
			announceAtLeader(leader, replica, oldReplica, e)
			So(versionOf(replica), ShouldEqual, versionOf(leader))
			So(versionOf(oldReplica), ShouldEqual, versionOf(leader))
		}
		So(leader.Endpoints(), ShouldResemble, []roster.Endpoint{leaving})
	})
}

// TestScaleOrderIsForgotten guards against a new leader, or one after a restart, that orders endpoints anew.
func TestScaleOrderIsForgotten(t *testing.T) {
	Convey("the last order of each kind is in a snapshot, and changes no configuration version", t, func() {
		m := NewMachine()
		for _, o := range []ScaleOrder{
			{Service: "s", Zone: "z", Count: 3}, {Service: "s", Zone: "z", Spot: true, Count: 7}, {Service: "s", Zone: "z", Count: 2},
		} {
			data, err := cbor.Marshal(Command{ScaleOrder: &o})
			So(err, ShouldBeNil)
			So(m.Apply(1, data), ShouldResemble, Result{Code: OK})
		}
		snapshot, err := m.Snapshot()
		So(err, ShouldBeNil)
		restored := NewMachine()
		So(restored.Restore(snapshot), ShouldBeNil)
		So(restored.ScaleOrders(), ShouldHaveLength, 2)
		So(restored.ScaleOrders(), ShouldContain, scale.Order{Service: "s", Zone: "z", Count: 2})
		So(restored.ScaleOrders(), ShouldContain, scale.Order{Service: "s", Zone: "z", Spot: true, Count: 7})
		So(versionOf(restored), ShouldEqual, 0)
	})
}
