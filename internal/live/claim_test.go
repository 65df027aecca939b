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

// book sends one booking; an error counts as an unknown outcome.
func book(in inst, key, body string) (said, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return in.call(ctx, http.MethodPost, "/book", key, body)
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	f := newFleet(t, 3, 3)
	svc := f.service("s1", "a")
	f.enter(contract("acme", callKey))
	f.serving("bookings", 1)
	Convey("Sent at three instances at once, it runs once and each gets the same answer", t, func() {
		var wg sync.WaitGroup
		got := make([]said, 9)
		for i := range got {
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i], _ = book(f.at(i%3), "at-once", `{"n":1} [[slow=300ms]]`)
			}()
		}
		wg.Wait()
		for _, s := range got {
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.raw, ShouldEqual, got[0].raw)
		}
		So(ran(svc.Addr)["at-once"], ShouldEqual, 1)
	})
	Convey("A service slower than the time allowed leaves an unknown outcome, and no repeat runs it again", t, func() {
		s, err := book(f.at(0), "too-slow", "[[slow=6s]]")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusGatewayTimeout)
		So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		for i := range 3 {
			s, err = book(f.at(i), "too-slow", "[[slow=6s]]")
			So(err, ShouldBeNil)
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(ran(svc.Addr)["too-slow"], ShouldEqual, 1)
	})
	Convey("An answer lost on the way back leaves an unknown outcome, and no repeat runs it again", t, func() {
		for i := range 3 {
			s, err := book(f.at(i), "dropped", "[[drop]]")
			So(err, ShouldBeNil)
			So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		}
		So(ran(svc.Addr)["dropped"], ShouldEqual, 1)
	})
	Convey("When its instance is killed amid the call, repeats elsewhere do not run it again", t, func() {
		victim := f.at(2)
		go func() { _, _ = book(victim, "killed", "[[slow=2s]]") }()
		until(t, "the call runs", func() bool { return ran(svc.Addr)["killed"] == 1 })
		victim.Kill()
		s, err := book(f.at(0), "killed", "[[slow=2s]]")
		So(err, ShouldBeNil)
		So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		must(t, f.StartInstance(victim.Instance))
		until(t, "it is back", victim.Ready)
		s, err = book(f.at(1), "killed", "[[slow=2s]]")
		So(err, ShouldBeNil)
		So(s.fail.Ran, ShouldEqual, chat.RanUnknown)
		So(ran(svc.Addr)["killed"], ShouldEqual, 1)
	})
	Convey("With the leader killed again and again, each key runs once at most, and what did not run was told so", t, func() {
		const keys = 60
		type told struct{ no, yes bool }
		var mu sync.Mutex
		said := map[string]told{}
		var wg sync.WaitGroup
		for i := range keys {
			wg.Add(1)
			go func() {
				defer wg.Done()
				key := fmt.Sprint("k", i)
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				for try := range 8 {
					s, err := book(f.at((i+try)%3), key, "{}")
					mu.Lock()
					v := said[key]
					v.no = err == nil && s.status != http.StatusOK && s.fail.Ran == chat.RanNo
					v.yes = v.yes || err == nil && s.status == http.StatusOK
					said[key] = v
					mu.Unlock()
					if v.yes {
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
		runs := ran(svc.Addr)
		done := 0
		for key, v := range said {
			So(runs[key], ShouldBeLessThanOrEqualTo, 1)
			if v.yes {
				done++
				So(runs[key], ShouldEqual, 1)
			}
			if v.no && !v.yes {
				So(runs[key], ShouldEqual, 0)
			}
		}
		So(done, ShouldBeGreaterThan, keys/2)
	})
}

func TestServiceThatCanBeAskedResolvesADoubt(t *testing.T) {
	f := newFleet(t, 3, 3)
	svc := f.service("s1", "a", "--lookup")
	f.enter(contract("acme", callKey))
	f.serving("bookings", 1)
	Convey("The answer that was lost is got by asking the service for the key", t, func() {
		s, err := book(f.at(0), "asked", "[[drop]]")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusOK)
		again, err := book(f.at(1), "asked", "[[drop]]")
		So(err, ShouldBeNil)
		So(again.raw, ShouldEqual, s.raw)
		So(ran(svc.Addr)["asked"], ShouldEqual, 1)
	})
	Convey("A service that cannot be reached was sent nothing, and the caller is told so", t, func() {
		svc.Kill()
		s, err := book(f.at(0), "unsent", "{}")
		So(err, ShouldBeNil)
		So(s.status, ShouldBeGreaterThanOrEqualTo, 500)
		So(s.fail.Ran, ShouldEqual, chat.RanNo)
	})
}
