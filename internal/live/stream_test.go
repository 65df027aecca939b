package live

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

func TestStreams(t *testing.T) {
	f := newFleet(t, 3, 3)
	e1 := f.startEngine("e1", "a", "--step", "5ms")
	e2 := f.startEngine("e2", "b", "--step", "5ms")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 2)
	generated := func() int { return engineStats(e1.Addr).Tokens + engineStats(e2.Addr).Tokens }
	Convey("Concurrent requests each get their own complete response, even if engine connections break or stall", t, func() {
		var wg sync.WaitGroup
		responses := make([]response, 60)
		prompts := make([]string, len(responses))
		for i := range responses {
			faultMarker := [...]string{"", "[[cut]]", "[[silent]]"}[i%3]
			prompts[i] = fmt.Sprintf("stream %d [[out=%d]]%s", i, 20+i, faultMarker)
			wg.Add(1)
			go func() {
				defer wg.Done()
				responses[i], _ = f.instance(i%3).chat(context.Background(), callerKey, "quick", "", prompts[i], i%2 == 0)
			}()
		}
		wg.Wait()
		for i, resp := range responses {
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.complete, ShouldBeTrue)
			So(resp.text, ShouldEqual, wantText(prompts[i], 20+i))
		}
		for _, e := range f.Instances[0].Cells()["m@r"].Endpoints {
			So(e.Live, ShouldBeTrue)
		}
	})
	Convey("A request resent with its ID at any instance joins the run or gets its response, and nothing is generated twice", t, func() {
		before := generated()
		var wg sync.WaitGroup
		responses := make([]response, 6)
		for i := range responses {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				responses[i], _ = f.instance(i%3).chat(context.Background(), callerKey, "quick", "same-id", "again [[out=60]]", true)
			}()
		}
		wg.Wait()
		for _, resp := range responses {
			So(resp.text, ShouldEqual, wantText("again [[out=60]]", 60))
		}
		resp, err := f.instance(2).chat(context.Background(), callerKey, "quick", "same-id", "again [[out=60]]", false)
		So(err, ShouldBeNil)
		So(resp.text, ShouldEqual, wantText("again [[out=60]]", 60))
		So(generated()-before, ShouldEqual, 60)
		before = generated()
		for i := range 3 {
			resp, err = f.instance(i).chat(context.Background(), callerKey, "quick", "ended-id", "ended [[out=30]]", true)
			So(err, ShouldBeNil)
			So(resp.text, ShouldEqual, wantText("ended [[out=30]]", 30))
		}
		So(generated()-before, ShouldEqual, 30)
		resp, err = f.instance(0).chat(context.Background(), callerKey, "quick", "same-id", "another", false)
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusUnprocessableEntity)
	})
	Convey("A caller that disconnects cancels its run, streamed or not", t, func() {
		for _, stream := range []bool{true, false} {
			before := generated()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, err := f.instance(0).chat(ctx, callerKey, "quick", "", fmt.Sprintf("hang %v [[out=4000]]", stream), stream)
			cancel()
			So(err, ShouldNotBeNil)
			waitUntil(t, "the run is canceled", func() bool {
				now := generated()
				time.Sleep(300 * time.Millisecond)
				return generated() == now
			})
			So(generated()-before, ShouldBeLessThan, 1000)
		}
	})
	Convey("After an instance is killed during a stream, the resent request resumes the run at another instance", t, func() {
		before := generated()
		victim := f.instance(1)
		go func() {
			_, _ = victim.chat(context.Background(), callerKey, "quick", "moved", "moved [[out=400]]", true)
		}()
		waitUntil(t, "the stream runs", func() bool { return generated() > before+20 })
		victim.Kill()
		resp, err := f.instance(0).chat(context.Background(), callerKey, "quick", "moved", "moved [[out=400]]", true)
		So(err, ShouldBeNil)
		So(resp.text, ShouldEqual, wantText("moved [[out=400]]", 400))
		So(generated()-before, ShouldEqual, 400)
		must(t, f.StartInstance(victim.Instance))
		waitUntil(t, "the restarted instance is ready", victim.Ready)
	})
	Convey("A planned stop interrupts no stream: it ends complete, and the process exits with 0", t, func() {
		in := f.instance(2)
		results := make(chan response, 1)
		before := generated()
		go func() {
			resp, _ := in.chat(context.Background(), callerKey, "quick", "", "stop [[out=500]]", true)
			results <- resp
		}()
		waitUntil(t, "the stream runs", func() bool { return generated() > before })
		So(in.Stop(), ShouldBeNil)
		resp := <-results
		So(resp.complete, ShouldBeTrue)
		So(resp.text, ShouldEqual, wantText("stop [[out=500]]", 500))
		must(t, f.StartInstance(in.Instance))
		waitUntil(t, "the restarted instance is ready", in.Ready)
	})
}

func TestEndpointDrainAndFailure(t *testing.T) {
	f := newFleet(t, 3, 3)
	e1 := f.startEngine("e1", "a", "--step", "5ms")
	e2 := f.startEngine("e2", "b", "--step", "5ms")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 2)
	ping := func(i int) response {
		resp, _ := f.instance(i%3).chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("ping %d [[out=3]]", i), false)
		return resp
	}
	Convey("A stream whose endpoint is killed continues at another endpoint without gaps", t, func() {
		results := make(chan response, 8)
		for i := range 8 {
			go func() {
				resp, _ := f.instance(i%3).chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("long %d [[out=300]]", i), true)
				results <- resp
			}()
		}
		waitUntil(t, "both engines run streams", func() bool { return engineStats(e1.Addr).Tokens > 100 && engineStats(e2.Addr).Tokens > 100 })
		e2.Kill()
		for range 8 {
			resp := <-results
			So(resp.complete, ShouldBeTrue)
			So(strings.Count(resp.text, " "), ShouldEqual, 300)
		}
	})
	Convey("An endpoint that is leaving gets no new requests, and its streams end complete", t, func() {
		e3 := f.startEngine("e3", "c", "--step", "5ms")
		f.waitForEndpoints("m", 2)
		results := make(chan response, 4)
		for i := range 4 {
			go func() {
				resp, _ := f.instance(i%3).chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("leave %d [[out=600]]", i), true)
				results <- resp
			}()
		}
		waitUntil(t, "the new engine runs a stream", func() bool { return engineStats(e3.Addr).Tokens > 5 })
		resp, err := http.Post(fmt.Sprintf("http://%s/fault/leave", e3.Addr), "", nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		waitUntil(t, "the scheduler sees the endpoint as leaving", func() bool {
			for _, e := range f.Instances[0].Cells()["m@r"].Endpoints {
				if e.Name == "e3" {
					return e.Leaving
				}
			}
			return false
		})
		runs := engineStats(e3.Addr).Runs
		for i := range 20 {
			So(ping(i).status, ShouldEqual, http.StatusOK)
		}
		So(engineStats(e3.Addr).Runs, ShouldEqual, runs)
		for range 4 {
			resp := <-results
			So(resp.complete, ShouldBeTrue)
			So(strings.Count(resp.text, " "), ShouldEqual, 600)
		}
	})
	Convey("When the scheduler of a cell is killed or suspended, callers see a delay but no error", t, func() {
		for _, fault := range []string{"kill", "suspend"} {
			scheduler := f.cellScheduler("m@r")
			So(scheduler.Instance, ShouldNotBeNil)
			var others []instance
			for i := range f.Instances {
				if f.Instances[i] != scheduler.Instance {
					others = append(others, f.instance(i))
				}
			}
			results := make(chan response, 6)
			for i := range 6 {
				go func() {
					resp, _ := others[i%2].chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("%s %d [[out=400]]", fault, i), true)
					results <- resp
				}()
			}
			time.Sleep(300 * time.Millisecond)
			if fault == "kill" {
				scheduler.Kill()
			} else {
				scheduler.Suspend()
			}
			for i := range 6 {
				resp, err := others[i%2].chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("after %s %d [[out=5]]", fault, i), false)
				So(err, ShouldBeNil)
				So(resp.status, ShouldEqual, http.StatusOK)
			}
			for range 6 {
				resp := <-results
				So(resp.complete, ShouldBeTrue)
				So(strings.Count(resp.text, " "), ShouldEqual, 400)
			}
			if fault == "kill" {
				must(t, f.StartInstance(scheduler.Instance))
			} else {
				scheduler.Resume()
			}
			waitUntil(t, "the scheduler's instance is ready again", scheduler.Ready)
		}
	})
}

// cellScheduler returns the instance that schedules a cell: the one that logged the highest epoch for it.
func (f *fleet) cellScheduler(cell string) instance {
	scheduler, epoch := instance{}, 0
	for i := range f.Instances {
		for _, line := range strings.Split(f.instance(i).Log(), "\n") {
			var lineEpoch int
			start := strings.Index(line, "scheduling cell\" cell="+cell+" epoch=")
			if start < 0 {
				continue
			}
			_, _ = fmt.Sscanf(line[start:], "scheduling cell\" cell="+cell+" epoch=%d", &lineEpoch)
			if lineEpoch > epoch {
				scheduler, epoch = f.instance(i), lineEpoch
			}
		}
	}
	return scheduler
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newFleet(t, 3, 3)
	for i := range 5 {
		f.startEngine(fmt.Sprint("e", i+1), "a", "--step", "10ms")
	}
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 5)
	Convey("A request that crashes its endpoint is quarantined on all instances after two crashes; other requests complete", t, func() {
		var wg sync.WaitGroup
		unaffected := make([]response, 12)
		for i := range unaffected {
			wg.Add(1)
			go func() {
				defer wg.Done()
				unaffected[i], _ = f.instance(i%3).chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("good %d [[out=150]]", i), true)
			}()
		}
		time.Sleep(200 * time.Millisecond)
		crashing := "bad [[crash]]"
		for i := range 6 {
			resp, err := f.instance(i%3).chat(context.Background(), callerKey, "quick", "", crashing, false)
			So(err, ShouldBeNil)
			So(resp.status, ShouldEqual, http.StatusUnprocessableEntity)
			So(resp.failure.Code, ShouldEqual, "quarantined")
		}
		wg.Wait()
		for i, resp := range unaffected {
			So(resp.text, ShouldEqual, wantText(fmt.Sprintf("good %d [[out=150]]", i), 150))
		}
		waitUntil(t, "the three other endpoints are live", func() bool { return f.Instances[0].LiveEndpoints("m") == 3 })
	})
	Convey("The quarantine survives a restart of all instances", t, func() {
		for _, in := range f.Instances {
			in.Kill()
		}
		for _, in := range f.Instances {
			must(t, f.StartInstance(in))
		}
		must(t, f.WaitReady())
		waitUntil(t, "three endpoints are live again", func() bool { return f.Instances[0].LiveEndpoints("m") == 3 })
		resp, err := f.instance(1).chat(context.Background(), callerKey, "quick", "", "bad [[crash]]", false)
		So(err, ShouldBeNil)
		So(resp.failure.Code, ShouldEqual, "quarantined")
		So(resp.failure.Ran, ShouldEqual, chat.RanNo)
		So(f.Instances[0].LiveEndpoints("m"), ShouldEqual, 3)
	})
}

func TestSchedulerStopWithQueuedRequests(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.startEngine("e1", "a", "--step", "10ms", "--slots", "1")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 1)
	Convey("When the scheduling instance is stopped, its queued requests are scheduled elsewhere and complete", t, func() {
		scheduler := f.cellScheduler("m@r")
		results := make(chan response, 3)
		for i := range 3 {
			go func() {
				resp, _ := scheduler.chat(context.Background(), callerKey, "quick", "", fmt.Sprintf("queued %d [[out=150]]", i), i == 0)
				results <- resp
			}()
		}
		waitUntil(t, "two requests are queued", func() bool { return f.Instances[0].Cells()["m@r"].Queued == 2 })
		So(scheduler.Stop(), ShouldBeNil)
		for range 3 {
			resp := <-results
			So(resp.failure.Code, ShouldEqual, "")
			So(strings.Count(resp.text, " "), ShouldEqual, 150)
		}
	})
}
