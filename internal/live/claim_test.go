package live

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

// book sends one booking with an idempotency key. If it returns an error, it is unknown whether the booking ran.
func book(in instance, key, body string) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return in.callService(ctx, http.MethodPost, "/book", key, body)
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 3)
	svc := f.startService("s1", "a")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("bookings", 1)
	Convey("Concurrent calls with one key at three instances run once and get the same response", t, func() {
		var wg sync.WaitGroup
		responses := make([]response, 9)
		for i := range responses {
			wg.Add(1)
			go func() {
				defer wg.Done()
				responses[i], _ = book(f.instance(i%3), "at-once", `{"n":1} [[slow=300ms]]`)
			}()
		}
		wg.Wait()
		for _, resp := range responses {
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, responses[0].body)
		}
		So(runCounts(svc.Addr)["at-once"], ShouldEqual, 1)
	})
	Convey("A call that times out has an unknown outcome and is not run again on a retry", t, func() {
		resp, err := book(f.instance(0), "too-slow", "[[slow=6s]]")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusGatewayTimeout)
		So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		for i := range 3 {
			resp, err = book(f.instance(i), "too-slow", "[[slow=6s]]")
			So(err, ShouldBeNil)
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(runCounts(svc.Addr)["too-slow"], ShouldEqual, 1)
	})
	Convey("A call whose response is lost has an unknown outcome and is not run again on a retry", t, func() {
		for i := range 3 {
			resp, err := book(f.instance(i), "dropped", "[[drop]]")
			So(err, ShouldBeNil)
			So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(runCounts(svc.Addr)["dropped"], ShouldEqual, 1)
	})
	Convey("A call whose instance is killed while it runs is not run again on a retry at another instance", t, func() {
		victim := f.instance(2)
		go func() { _, _ = book(victim, "killed", "[[slow=2s]]") }()
		waitUntil(t, "the call runs", func() bool { return runCounts(svc.Addr)["killed"] == 1 })
		victim.Kill()
		resp, err := book(f.instance(0), "killed", "[[slow=2s]]")
		So(err, ShouldBeNil)
		So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		must(t, f.StartInstance(victim.Instance))
		waitUntil(t, "the restarted instance is ready", victim.Ready)
		resp, err = book(f.instance(1), "killed", "[[slow=2s]]")
		So(err, ShouldBeNil)
		So(resp.failure.Ran, ShouldEqual, chat.RanUnknown)
		So(runCounts(svc.Addr)["killed"], ShouldEqual, 1)
	})
	Convey("With the leader killed repeatedly, each key runs at most once, and a key reported as not run did not run", t, func() {
		const keys = 60
		type keyOutcome struct{ notRun, succeeded bool }
		var mu sync.Mutex
		outcomes := map[string]keyOutcome{}
		var wg sync.WaitGroup
		for i := range keys {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key := fmt.Sprint("k", i)
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				for try := range 8 {
					resp, err := book(f.instance((i+try)%3), key, "{}")
					mu.Lock()
					outcome := outcomes[key]
					outcome.notRun = err == nil && resp.status != http.StatusOK && resp.failure.Ran == chat.RanNo
					outcome.succeeded = outcome.succeeded || err == nil && resp.status == http.StatusOK
					outcomes[key] = outcome
					mu.Unlock()
					if outcome.succeeded {
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			}()
		}
		for range 2 {
			time.Sleep(1500 * time.Millisecond)
			leader := f.Leader()
			if leader == nil {
				continue
			}
			leader.Kill()
			time.Sleep(time.Second)
			must(t, f.StartInstance(leader))
		}
		wg.Wait()
		runs := runCounts(svc.Addr)
		succeeded := 0
		for key, outcome := range outcomes {
			So(runs[key], ShouldBeLessThanOrEqualTo, 1)
			if outcome.succeeded {
				succeeded++
				So(runs[key], ShouldEqual, 1)
			}
			if outcome.notRun && !outcome.succeeded {
				So(runs[key], ShouldEqual, 0)
			}
		}
		So(succeeded, ShouldBeGreaterThan, keys/2)
	})
}

func TestLookupResolvesUnknownOutcome(t *testing.T) {
	f := newFleet(t, 3, 3)
	svc := f.startService("s1", "a", "--lookup")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("bookings", 1)
	Convey("A lost response is recovered by looking up the key at the service", t, func() {
		resp, err := book(f.instance(0), "asked", "[[drop]]")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusOK)
		again, err := book(f.instance(1), "asked", "[[drop]]")
		So(err, ShouldBeNil)
		So(again.body, ShouldEqual, resp.body)
		So(runCounts(svc.Addr)["asked"], ShouldEqual, 1)
	})
	Convey("If the service cannot be reached, the response says that the call did not run", t, func() {
		svc.Kill()
		resp, err := book(f.instance(0), "unsent", "{}")
		So(err, ShouldBeNil)
		So(resp.status, ShouldBeGreaterThanOrEqualTo, 500)
		So(resp.failure.Ran, ShouldEqual, chat.RanNo)
	})
}
