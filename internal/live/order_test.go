package live

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/order"
)

func orderState(addr netip.AddrPort) order.State {
	var state order.State
	resp, err := http.Get(fmt.Sprintf("http://%s/v1/orders", addr))
	if err != nil {
		return state
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&state)
	return state
}

func TestOrdersWithAndWithoutFencing(t *testing.T) {
	f := newFleet(t, 3, 3)
	strict := f.startEngine("strict", "a", "--fences")
	loose := f.startEngine("loose", "b")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 2)
	submitOrder := func(i int, endpoint, id, value string) {
		cmd := ctrl.Order{ID: id, Endpoint: endpoint, Kind: order.Version, Value: value}
		waitUntil(t, "the order is accepted", func() bool {
			status, err := f.Instances[i].CallOperatorAPI(http.MethodPost, "/v1/orders", cmd, nil)
			return err == nil && status == http.StatusOK
		})
	}
	Convey("The last of several concurrent orders takes effect, even if the leader is killed meanwhile", t, func() {
		for n := range 6 {
			for _, name := range []string{"strict", "loose"} {
				submitOrder(n%3, name, fmt.Sprint(name, n), fmt.Sprint("v", n))
			}
		}
		leader := f.Leader()
		leader.Kill()
		for i := range f.Instances {
			if f.Instances[i] != leader {
				submitOrder(i, "strict", "strict-last", "last")
				submitOrder(i, "loose", "loose-last", "last")
				break
			}
		}
		for _, addr := range []netip.AddrPort{strict.Addr, loose.Addr} {
			waitUntil(t, "the newest order is carried out", func() bool { return orderState(addr).Values[order.Version] == "last" })
		}
		must(t, f.StartInstance(leader))
	})
	Convey("A stale order is refused by an engine that checks fences and corrected afterwards on one that does not", t, func() {
		for _, addr := range []netip.AddrPort{strict.Addr, loose.Addr} {
			staleOrder, _ := json.Marshal(order.Order{Fence: 1, Kind: order.Version, Value: "stale"})
			resp, err := http.Post(fmt.Sprintf("http://%s/v1/orders", addr), "application/json", bytes.NewReader(staleOrder))
			So(err, ShouldBeNil)
			_ = resp.Body.Close()
			So(resp.StatusCode == http.StatusConflict, ShouldEqual, addr == strict.Addr)
			waitUntil(t, "the newest order is in force again", func() bool { return orderState(addr).Values[order.Version] == "last" })
		}
		So(engineStats(strict.Addr).AppliedOrders, ShouldBeLessThanOrEqualTo, 8)
	})
}

func TestSpendingCeilingHolds(t *testing.T) {
	f := newFleet(t, 3, 3)
	eng := f.startEngine("e1", "a", "--step", "2ms", "--slots", "32")
	c := contract("acme", callerKey)
	c.Classes[0].Price = 1000
	c.Ceiling = 60_000
	f.putContract(c)
	f.waitForEndpoints("m", 1)
	sendRequests := func(n int) (served, refused int) {
		responses := make(chan response, n)
		for i := range n {
			go func() {
				resp, _ := f.instance(i%3).chatMaxTokens(callerKey, fmt.Sprintf("spend %d [[out=500]]", i), 500)
				responses <- resp
			}()
		}
		for range n {
			switch resp := <-responses; {
			case resp.complete:
				served++
			case resp.failure.Code == "ceiling":
				refused++
			}
		}
		return
	}
	Convey("The ceiling holds under concurrent requests at all instances and after the scheduler is killed", t, func() {
		served, _ := sendRequests(30)
		So(served, ShouldBeGreaterThan, 0)
		scheduler := f.cellScheduler("m@r")
		scheduler.Kill()
		must(t, f.StartInstance(scheduler.Instance))
		waitUntil(t, "the restarted scheduler is ready", scheduler.Ready)
		waitUntil(t, "the endpoint is live again", func() bool { return f.Instances[0].LiveEndpoints("m") == 1 })
		_, refused := sendRequests(200)
		So(refused, ShouldBeGreaterThan, 0)
		So(engineStats(eng.Addr).Tokens, ShouldBeLessThanOrEqualTo, 60_000)
		state, err := f.Instances[0].State()
		So(err, ShouldBeNil)
		So(state.Spending["acme"].Allocated, ShouldBeLessThanOrEqualTo, 60_000)
	})
}

// TestCeilingOverspentWhileEntryIsSuspended guards against a second use of the money that runs of a suspended entry have reserved.
func TestCeilingOverspentWhileEntryIsSuspended(t *testing.T) {
	const ceiling = 1100
	f := newFleet(t, 3, 3)
	eng := f.startEngine("e1", "a", "--step", "20ms", "--slots", "32")
	c := contract("acme", callerKey)
	c.Classes[0].Price = 1000
	c.Ceiling = ceiling
	f.putContract(c)
	f.waitForEndpoints("m", 1)
	Convey("The ceiling holds while an entry with runs in progress is suspended", t, func() {
		var others []instance
		for i := range f.Instances {
			if f.Instances[i].Name != f.cellScheduler("m@r").Name {
				others = append(others, f.instance(i))
			}
		}
		suspended, entry := others[0], others[1]
		var wg sync.WaitGroup
		send := func(through instance, i int) {
			wg.Go(func() { _, _ = through.chatMaxTokens(callerKey, fmt.Sprintf("spend %d [[out=500]]", i), 500) })
		}
		send(suspended, 1)
		send(suspended, 2)
		waitUntil(t, "both requests run", func() bool { return engineStats(eng.Addr).Runs == 2 })
		suspended.Suspend()
		time.Sleep(7 * time.Second)
		for i := range 10 {
			send(entry, 3+i)
		}
		time.Sleep(2 * time.Second)
		suspended.Resume()
		wg.Wait()
		So(engineStats(eng.Addr).Tokens, ShouldBeLessThanOrEqualTo, ceiling)
	})
}
