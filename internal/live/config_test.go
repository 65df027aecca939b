package live

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/admin"
	"github.com/greengagewheel/greengagewheel/internal/contr"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/rig"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// chatStatus returns the status of a chat request with the given API key, or 0 if the request failed.
func (f *fleet) chatStatus(in instance, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := in.chat(ctx, key, "quick", "", "ping [[out=2]]", false)
	if err != nil {
		return 0
	}
	return resp.status
}

func TestContractChangesOnNineInstances(t *testing.T) {
	network := newFaultyNetwork(t)
	f := newFleetWith(t, rig.Options{Instances: 9, Replicas: 3, PeerProxy: network.proxy})
	f.startEngine("e1", "a")
	f.startEngine("e2", "b")
	version := f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 2)
	Convey("With one instance partitioned and one suspended, no instance serves the old contract once the change is in force", t, func() {
		leader := f.Leader()
		So(leader, ShouldNotBeNil)
		cutOff, suspended := f.instance(7), f.instance(8)
		So(f.chatStatus(cutOff, callerKey), ShouldEqual, http.StatusOK)
		So(f.chatStatus(suspended, callerKey), ShouldEqual, http.StatusOK)
		network.isolate(cutOff.Name, true)
		suspended.Suspend()
		out, err := f.Instances[0].PutContract(admin.Change{BaseVersion: version, Author: "op", Wait: true, Contract: contract("acme", "new-key")})
		So(err, ShouldBeNil)
		So(out.Code, ShouldEqual, ctrl.OK)
		So(out.Reason, ShouldEqual, "")
		suspended.Resume()
		for i := range f.Instances {
			in := f.instance(i)
			So(f.chatStatus(in, callerKey), ShouldNotEqual, http.StatusOK)
			if in.Name != cutOff.Name && in.Name != suspended.Name {
				So(f.chatStatus(in, "new-key"), ShouldEqual, http.StatusOK)
			}
		}
		So(cutOff.Ready(), ShouldBeFalse)
		network.isolate(cutOff.Name, false)
		for _, in := range []instance{cutOff, suspended} {
			waitUntil(t, in.Name+" serves the new contract", func() bool { return f.chatStatus(in, "new-key") == http.StatusOK })
			So(f.chatStatus(in, callerKey), ShouldEqual, http.StatusUnauthorized)
		}
	})
	Convey("A partitioned leader stops being ready, changes continue without it, and none is reverted when it reconnects", t, func() {
		leader := f.Leader()
		So(leader, ShouldNotBeNil)
		var other *rig.Instance
		for _, in := range f.Instances {
			if in != leader {
				other = in
				break
			}
		}
		network.isolate(leader.Name, true)
		waitUntil(t, "the partitioned leader is not ready", func() bool { return !leader.Ready() })
		var out admin.ChangeResult
		waitUntil(t, "a change is accepted without it", func() bool {
			var err error
			out, err = other.PutContract(admin.Change{ChangeID: "c2", Author: "op", Wait: true, Contract: contract("second", "second-key")})
			return err == nil && out.Code == ctrl.OK
		})
		So(f.chatStatus(instance{leader}, "new-key"), ShouldNotEqual, http.StatusOK)
		network.isolate(leader.Name, false)
		waitUntil(t, "the former leader serves the new contract", func() bool {
			return f.chatStatus(instance{leader}, "second-key") == http.StatusOK
		})
		again, err := other.PutContract(admin.Change{ChangeID: "c2", Author: "op", Contract: contract("second", "second-key")})
		So(err, ShouldBeNil)
		So(again.Version, ShouldEqual, out.Version)
	})
}

func TestConcurrentAndResentChanges(t *testing.T) {
	f := newFleet(t, 3, 3)
	version := f.putContract(contract("acme", callerKey))
	Convey("Of concurrent changes with the same expected version exactly one is accepted; the others get its version and author", t, func() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		accepted, rejected := 0, 0
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := contract("acme", callerKey)
				c.Ceiling = int64(1000 + i)
				out, err := f.Instances[i%3].PutContract(admin.Change{BaseVersion: version, Author: fmt.Sprint("op", i), Contract: c})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && out.Code == ctrl.OK {
					accepted++
				}
				if err == nil && out.Code == ctrl.Conflict && out.Version > version && out.Author != "" {
					rejected++
				}
			}()
		}
		wg.Wait()
		So(accepted, ShouldEqual, 1)
		So(rejected, ShouldEqual, 11)
	})
	Convey("A change that is sent again gets the first result and is applied once, also after the leader is killed", t, func() {
		c := contract("resent", "resent-key")
		first, err := f.Instances[0].PutContract(admin.Change{ChangeID: "same", Author: "op", Contract: c})
		So(err, ShouldBeNil)
		leader := f.Leader()
		leader.Kill()
		var again admin.ChangeResult
		for _, in := range f.Instances {
			if in == leader {
				continue
			}
			again, err = in.PutContract(admin.Change{ChangeID: "same", Author: "op", Contract: c})
			So(err, ShouldBeNil)
			So(again.Version, ShouldEqual, first.Version)
			So(again.Code, ShouldEqual, ctrl.OK)
		}
		must(t, f.StartInstance(leader))
		waitUntil(t, "the killed leader is ready", leader.Ready)
	})
	Convey("An invalid contract is refused with the key and the reason", t, func() {
		for _, tc := range []struct {
			change func(*contr.Contract)
			reason string
		}{
			{func(c *contr.Contract) { c.Classes[0].Share = 95 }, "guaranteed shares would add up to"},
			{func(c *contr.Contract) { c.Ceiling = -1 }, "ceiling: is negative"},
			{func(c *contr.Contract) { c.Classes[0].Tier = 9 }, "classes[0].tier: unknown tier 9"},
			{func(c *contr.Contract) { c.Keys = []string{contr.HashKey(callerKey)} }, "keys: one of them is in the contract of acme"},
		} {
			c := contract("other", "other-key")
			tc.change(&c)
			out, err := f.Instances[1].PutContract(admin.Change{Author: "op", Contract: c})
			So(err, ShouldBeNil)
			So(out.Code, ShouldEqual, ctrl.Invalid)
			So(out.Reason, ShouldContainSubstring, tc.reason)
		}
	})
}

func TestRestartAndDiskLoss(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.putContract(contract("acme", callerKey))
	putChange := func(in *rig.Instance, i int) admin.ChangeResult {
		c := contract(fmt.Sprint("c", i), fmt.Sprint("key-", i))
		c.Classes = c.Classes[:1]
		c.Classes[0].Share = 0
		var out admin.ChangeResult
		waitUntil(t, "a change is accepted", func() bool {
			var err error
			out, err = in.PutContract(admin.Change{ChangeID: fmt.Sprint("change", i), Author: "op", Contract: c})
			return err == nil && out.Code == ctrl.OK
		})
		return out
	}
	hasContract := func(in *rig.Instance, i int) bool {
		status, err := in.CallOperatorAPI(http.MethodGet, fmt.Sprint("/v1/contracts/c", i), nil, nil)
		return err == nil && status == http.StatusOK
	}
	const changes = 300
	for i := range changes {
		putChange(f.Instances[i%3], i)
	}
	Convey("After all instances are killed and restarted, all changes are still present", t, func() {
		for _, in := range f.Instances {
			in.Kill()
		}
		for _, in := range f.Instances {
			must(t, f.StartInstance(in))
		}
		must(t, f.WaitReady())
		for i := range changes {
			So(hasContract(f.Instances[i%3], i), ShouldBeTrue)
		}
	})
	Convey("An instance that lost its disk rejoins, and the cluster tolerates the loss of another right afterwards", t, func() {
		lost, next := f.Instances[1], f.Instances[2]
		f.loseDisk(lost, func() { putChange(f.Instances[0], changes) })
		putChange(f.Instances[0], changes+1)
		next.Kill()
		So(os.RemoveAll(next.DataDir), ShouldBeNil)
		putChange(f.Instances[0], changes+2)
		for _, i := range []int{0, changes / 2, changes, changes + 1, changes + 2} {
			So(hasContract(f.Instances[0], i), ShouldBeTrue)
		}
		must(t, f.StartInstance(next))
		must(t, f.WaitReady())
	})
}

// loseDisk kills a replica, removes its data folder, calls whileDown, restarts the replica and waits until it votes again
// under a new member ID.
func (f *fleet) loseDisk(lost *rig.Instance, whileDown func()) {
	f.t.Helper()
	var other *rig.Instance
	for _, in := range f.Instances {
		if in != lost {
			other = in
		}
	}
	before, err := other.State()
	must(f.t, err)
	oldMember, _ := before.Status.Conf.FindByName(lost.Name)
	voters := before.Status.Conf.NumVoters()
	lost.Kill()
	must(f.t, os.RemoveAll(lost.DataDir))
	whileDown()
	must(f.t, f.StartInstance(lost))
	waitUntil(f.t, "the replica votes under a new member ID", func() bool {
		state, err := other.State()
		member, ok := state.Status.Conf.FindByName(lost.Name)
		return err == nil && ok && member.ID != oldMember.ID && member.Voter && state.Status.Conf.NumVoters() == voters
	})
}

func TestServingWithoutQuorum(t *testing.T) {
	f := newFleetWith(t, rig.Options{Instances: 5, Replicas: 3, ExtraSettings: "[fresh]\nlost = \"serve\"\n"})
	f.startEngine("e1", "a")
	svc := f.startService("s1", "a")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 1)
	f.waitForEndpoints("bookings", 1)
	Convey("With fresh.lost = serve, generations continue without a quorum; non-repeatable calls are refused and not run", t, func() {
		schedulers := map[string]bool{f.cellScheduler("m@r").Name: true, f.cellScheduler("bookings@r").Name: true}
		killed := 0
		for _, in := range f.Instances[:3] {
			if !schedulers[in.Name] && killed < 2 {
				in.Kill()
				killed++
			}
		}
		So(killed, ShouldEqual, 2)
		time.Sleep(5 * time.Second)
		for i := range f.Instances {
			if in := f.instance(i); !in.Exited() {
				So(f.chatStatus(in, callerKey), ShouldEqual, http.StatusOK)
			}
		}
		resp, err := book(f.instance(4), "no-quorum", "{}")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		So(resp.header.Get("Retry-After"), ShouldNotEqual, "")
		So(runCounts(svc.Addr)["no-quorum"], ShouldEqual, 0)
	})
}
