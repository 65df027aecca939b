package live

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/order"
)

func stateOf(a netip.AddrPort) order.State {
	var st order.State
	resp, err := http.Get(fmt.Sprintf("http://%s/v1/orders", a))
	if err != nil {
		return st
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}

func TestOrdersReachEnginesOfBothKinds(t *testing.T) {
	f := newFleet(t, 3, 3)
	strict := f.engine("strict", "a", "--fences")
	loose := f.engine("loose", "b")
	f.enter(contract("acme", callKey))
	f.serving("m", 2)
	give := func(i int, endpoint, id, value string) {
		o := ctrl.Order{ID: id, Endpoint: endpoint, Kind: order.Version, Value: value}
		until(t, "the order is accepted", func() bool {
			status, err := f.Instances[i].CallOperatorAPI(http.MethodPost, "/v1/orders", o, nil)
			return err == nil && status == http.StatusOK
		})
	}
	Convey("The last of racing orders wins, also when the leader is killed amid them", t, func() {
		for n := range 6 {
			for _, e := range []string{"strict", "loose"} {
				give(n%3, e, fmt.Sprint(e, n), fmt.Sprint("v", n))
			}
		}
		leader := f.Leader()
		leader.Kill()
		for i := range f.Instances {
			if f.Instances[i] != leader {
				give(i, "strict", "strict-last", "last")
				give(i, "loose", "loose-last", "last")
				break
			}
		}
		for _, e := range []netip.AddrPort{strict.Addr, loose.Addr} {
			until(t, "the newest order is carried out", func() bool { return stateOf(e).Values[order.Version] == "last" })
		}
		must(t, f.StartInstance(leader))
	})
	Convey("An old order that comes late is refused by an engine that checks, and put right at one that does not", t, func() {
		for _, a := range []netip.AddrPort{strict.Addr, loose.Addr} {
			late, _ := json.Marshal(order.Order{Fence: 1, Kind: order.Version, Value: "stale"})
			resp, err := http.Post(fmt.Sprintf("http://%s/v1/orders", a), "application/json", bytes.NewReader(late))
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode == http.StatusConflict, ShouldEqual, a == strict.Addr)
			until(t, "the newest order is in force again", func() bool { return stateOf(a).Values[order.Version] == "last" })
		}
		So(stats(strict.Addr).AppliedOrders, ShouldBeLessThanOrEqualTo, 8)
	})
}

func TestCeilingIsNeverPassed(t *testing.T) {
	f := newFleet(t, 3, 3)
	e := f.engine("e1", "a", "--step", "2ms", "--slots", "32")
	k := contract("acme", callKey)
	k.Classes[0].Price = 1000
	k.Ceiling = 60_000
	f.enter(k)
	f.serving("m", 1)
	spend := func(n int) (served, refused int) {
		got := make(chan said, n)
		for i := range n {
			go func() {
				s, _ := f.at(i%3).chatBound(callKey, fmt.Sprintf("spend %d [[out=500]]", i), 500)
				got <- s
			}()
		}
		for range n {
			switch s := <-got; {
			case s.done:
				served++
			case s.fail.Code == "ceiling":
				refused++
			}
		}
		return
	}
	Convey("Spent from all instances at once, and through a kill of the scheduler, the ceiling holds", t, func() {
		served, _ := spend(30)
		So(served, ShouldBeGreaterThan, 0)
		holder := f.holder("m@r")
		holder.Kill()
		must(t, f.StartInstance(holder.Instance))
		until(t, "it is back", holder.Ready)
		until(t, "the endpoint is known again", func() bool { return f.Instances[0].LiveEndpoints("m") == 1 })
		_, refused := spend(200)
		So(refused, ShouldBeGreaterThan, 0)
		So(stats(e.Addr).Tokens, ShouldBeLessThanOrEqualTo, 60_000)
		v, err := f.Instances[0].State()
		So(err, ShouldBeNil)
		So(v.Spending["acme"].Allocated, ShouldBeLessThanOrEqualTo, 60_000)
	})
}
