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

// status is what a caller with the key gets from an instance.
func (f *fleet) status(in inst, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s, err := in.chat(ctx, key, "quick", "", "ping [[out=2]]", false)
	if err != nil {
		return 0
	}
	return s.status
}

func TestChangesInForceOnNineInstances(t *testing.T) {
	w := newWeb(t)
	f := newFleetWith(t, rig.Options{Instances: 9, Replicas: 3, PeerProxy: w.proxy})
	f.engine("e1", "a")
	f.engine("e2", "b")
	v := f.enter(contract("acme", callKey))
	f.serving("m", 2)
	Convey("With an instance cut off and one frozen, no instance that admits serves under the old contract", t, func() {
		leader := f.Leader()
		So(leader, ShouldNotBeNil)
		cut, frozen := f.at(7), f.at(8)
		So(f.status(cut, callKey), ShouldEqual, http.StatusOK)
		So(f.status(frozen, callKey), ShouldEqual, http.StatusOK)
		w.isolate(cut.Name, true)
		frozen.Suspend()
		out, err := f.Instances[0].PutContract(admin.Change{BaseVersion: v, Author: "op", Wait: true, Contract: contract("acme", "new-key")})
		So(err, ShouldBeNil)
		So(out.Code, ShouldEqual, ctrl.OK)
		So(out.Reason, ShouldEqual, "")
		frozen.Resume()
		for i := range f.Instances {
			in := f.at(i)
			So(f.status(in, callKey), ShouldNotEqual, http.StatusOK)
			if in.Name != cut.Name && in.Name != frozen.Name {
				So(f.status(in, "new-key"), ShouldEqual, http.StatusOK)
			}
		}
		So(cut.Ready(), ShouldBeFalse)
		w.isolate(cut.Name, false)
		for _, in := range []inst{cut, frozen} {
			until(t, in.Name+" serves under the new contract", func() bool { return f.status(in, "new-key") == http.StatusOK })
			So(f.status(in, callKey), ShouldEqual, http.StatusUnauthorized)
		}
	})
	Convey("A former leader behind a cut lapses, changes go on, and nothing reverts once it is back", t, func() {
		leader := f.Leader()
		So(leader, ShouldNotBeNil)
		var other *rig.Instance
		for _, in := range f.Instances {
			if in != leader {
				other = in
				break
			}
		}
		w.isolate(leader.Name, true)
		until(t, "the cut leader is not ready", func() bool { return !leader.Ready() })
		var out admin.ChangeResult
		until(t, "a change is accepted without it", func() bool {
			var err error
			out, err = other.PutContract(admin.Change{ChangeID: "c2", Author: "op", Wait: true, Contract: contract("second", "second-key")})
			return err == nil && out.Code == ctrl.OK
		})
		So(f.status(inst{leader}, "new-key"), ShouldNotEqual, http.StatusOK)
		w.isolate(leader.Name, false)
		until(t, "the former leader serves the new contract", func() bool { return f.status(inst{leader}, "second-key") == http.StatusOK })
		again, err := other.PutContract(admin.Change{ChangeID: "c2", Author: "op", Contract: contract("second", "second-key")})
		So(err, ShouldBeNil)
		So(again.Version, ShouldEqual, out.Version)
	})
}

func TestRacingOperatorsAndResentChanges(t *testing.T) {
	f := newFleet(t, 3, 3)
	v := f.enter(contract("acme", callKey))
	Convey("Of operators with equal versions exactly one wins; the others learn the version and the author", t, func() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		won, lost := 0, 0
		for i := range 12 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				k := contract("acme", callKey)
				k.Ceiling = int64(1000 + i)
				out, err := f.Instances[i%3].PutContract(admin.Change{BaseVersion: v, Author: fmt.Sprint("op", i), Contract: k})
				mu.Lock()
				defer mu.Unlock()
				if err == nil && out.Code == ctrl.OK {
					won++
				}
				if err == nil && out.Code == ctrl.Conflict && out.Version > v && out.Author != "" {
					lost++
				}
			}()
		}
		wg.Wait()
		So(won, ShouldEqual, 1)
		So(lost, ShouldEqual, 11)
	})
	Convey("A change that is sent again gets the first answer and is applied once, also after the leader is killed", t, func() {
		k := contract("resent", "resent-key")
		first, err := f.Instances[0].PutContract(admin.Change{ChangeID: "same", Author: "op", Contract: k})
		So(err, ShouldBeNil)
		leader := f.Leader()
		leader.Kill()
		var again admin.ChangeResult
		for _, in := range f.Instances {
			if in == leader {
				continue
			}
			again, err = in.PutContract(admin.Change{ChangeID: "same", Author: "op", Contract: k})
			So(err, ShouldBeNil)
			So(again.Version, ShouldEqual, first.Version)
			So(again.Code, ShouldEqual, ctrl.OK)
		}
		must(t, f.StartInstance(leader))
		until(t, "the killed leader is ready", leader.Ready)
	})
	Convey("What breaks the rules of contracts is refused with its key and reason", t, func() {
		for _, c := range []struct {
			change func(*contr.Contract)
			reason string
		}{
			{func(k *contr.Contract) { k.Classes[0].Share = 95 }, "guaranteed shares would add up to"},
			{func(k *contr.Contract) { k.Ceiling = -1 }, "ceiling: is negative"},
			{func(k *contr.Contract) { k.Classes[0].Tier = 9 }, "classes[0].tier: unknown tier 9"},
			{func(k *contr.Contract) { k.Keys = []string{contr.HashKey(callKey)} }, "keys: one of them is in the contract of acme"},
		} {
			k := contract("other", "other-key")
			c.change(&k)
			out, err := f.Instances[1].PutContract(admin.Change{Author: "op", Contract: k})
			So(err, ShouldBeNil)
			So(out.Code, ShouldEqual, ctrl.Invalid)
			So(out.Reason, ShouldContainSubstring, c.reason)
		}
	})
}

func TestRestartLostDiskAndLossAfterRepair(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.enter(contract("acme", callKey))
	put := func(in *rig.Instance, i int) admin.ChangeResult {
		k := contract(fmt.Sprint("c", i), fmt.Sprint("key-", i))
		k.Classes = k.Classes[:1]
		k.Classes[0].Share = 0
		var out admin.ChangeResult
		until(t, "a change is accepted", func() bool {
			var err error
			out, err = in.PutContract(admin.Change{ChangeID: fmt.Sprint("change", i), Author: "op", Contract: k})
			return err == nil && out.Code == ctrl.OK
		})
		return out
	}
	has := func(in *rig.Instance, i int) bool {
		status, err := in.CallOperatorAPI(http.MethodGet, fmt.Sprint("/v1/contracts/c", i), nil, nil)
		return err == nil && status == http.StatusOK
	}
	const changes = 300
	for i := range changes {
		put(f.Instances[i%3], i)
	}
	Convey("After all instances are killed and started again, hundreds of changes are there", t, func() {
		for _, in := range f.Instances {
			in.Kill()
		}
		for _, in := range f.Instances {
			must(t, f.StartInstance(in))
		}
		must(t, f.WaitReady())
		for i := range changes {
			So(has(f.Instances[i%3], i), ShouldBeTrue)
		}
	})
	Convey("An instance that lost its disk joins anew, and another may be lost right after the repair", t, func() {
		lost, next := f.Instances[1], f.Instances[2]
		f.loseDisk(lost, func() { put(f.Instances[0], changes) })
		put(f.Instances[0], changes+1)
		next.Kill()
		So(os.RemoveAll(next.DataDir), ShouldBeNil)
		put(f.Instances[0], changes+2)
		for _, i := range []int{0, changes / 2, changes, changes + 1, changes + 2} {
			So(has(f.Instances[0], i), ShouldBeTrue)
		}
		must(t, f.StartInstance(next))
		must(t, f.WaitReady())
	})
}

// loseDisk kills a replica, empties its data folder, lets amid happen and waits until the new folder has a vote.
func (f *fleet) loseDisk(lost *rig.Instance, amid func()) {
	f.t.Helper()
	var other *rig.Instance
	for _, in := range f.Instances {
		if in != lost {
			other = in
		}
	}
	before, err := other.State()
	must(f.t, err)
	old, _ := before.Status.Conf.FindByName(lost.Name)
	voters := before.Status.Conf.NumVoters()
	lost.Kill()
	must(f.t, os.RemoveAll(lost.DataDir))
	amid()
	must(f.t, f.StartInstance(lost))
	until(f.t, "the new folder has a vote", func() bool {
		v, err := other.State()
		m, ok := v.Status.Conf.FindByName(lost.Name)
		return err == nil && ok && m.ID != old.ID && m.Voter && v.Status.Conf.NumVoters() == voters
	})
}

func TestServingOnWithoutAQuorum(t *testing.T) {
	f := newFleetWith(t, rig.Options{Instances: 5, Replicas: 3, ExtraSettings: "[fresh]\nlost = \"serve\"\n"})
	f.engine("e1", "a")
	svc := f.service("s1", "a")
	f.enter(contract("acme", callKey))
	f.serving("m", 1)
	f.serving("bookings", 1)
	Convey("Where the settings say so, generations go on without a quorum; what may not be repeated is refused unrun", t, func() {
		holders := map[string]bool{f.holder("m@r").Name: true, f.holder("bookings@r").Name: true}
		killed := 0
		for _, in := range f.Instances[:3] {
			if !holders[in.Name] && killed < 2 {
				in.Kill()
				killed++
			}
		}
		So(killed, ShouldEqual, 2)
		time.Sleep(5 * time.Second)
		for i := range f.Instances {
			if in := f.at(i); !in.Exited() {
				So(f.status(in, callKey), ShouldEqual, http.StatusOK)
			}
		}
		s, err := book(f.at(4), "no-quorum", "{}")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusServiceUnavailable)
		So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		So(s.header.Get("Retry-After"), ShouldNotEqual, "")
		So(ran(svc.Addr)["no-quorum"], ShouldEqual, 0)
	})
}
