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
	e1 := f.engine("e1", "a", "--step", "5ms")
	e2 := f.engine("e2", "b", "--step", "5ms")
	f.enter(contract("acme", callKey))
	f.serving("m", 2)
	generated := func() int { return stats(e1.Addr).Tokens + stats(e2.Addr).Tokens }
	Convey("Many streams at once each get their own whole answer, with connections that break and go silent", t, func() {
		var wg sync.WaitGroup
		got := make([]said, 60)
		prompts := make([]string, len(got))
		for i := range got {
			mark := [...]string{"", "[[cut]]", "[[silent]]"}[i%3]
			prompts[i] = fmt.Sprintf("stream %d [[out=%d]]%s", i, 20+i, mark)
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i], _ = f.at(i%3).chat(context.Background(), callKey, "quick", "", prompts[i], i%2 == 0)
			}()
		}
		wg.Wait()
		for i, s := range got {
			So(s.status, ShouldEqual, http.StatusOK)
			So(s.done, ShouldBeTrue)
			So(s.text, ShouldEqual, want(prompts[i], 20+i))
		}
		for _, e := range f.Instances[0].Cells()["m@r"].Endpoints {
			So(e.Live, ShouldBeTrue)
		}
	})
	Convey("A request sent again with its ID, at any instance, joins the run or gets its answer: nothing is generated twice", t, func() {
		before := generated()
		var wg sync.WaitGroup
		got := make([]said, 6)
		for i := range got {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				got[i], _ = f.at(i%3).chat(context.Background(), callKey, "quick", "same-id", "again [[out=60]]", true)
			}()
		}
		wg.Wait()
		for _, s := range got {
			So(s.text, ShouldEqual, want("again [[out=60]]", 60))
		}
		s, err := f.at(2).chat(context.Background(), callKey, "quick", "same-id", "again [[out=60]]", false)
		So(err, ShouldBeNil)
		So(s.text, ShouldEqual, want("again [[out=60]]", 60))
		So(generated()-before, ShouldEqual, 60)
		before = generated()
		for i := range 3 {
			s, err = f.at(i).chat(context.Background(), callKey, "quick", "ended-id", "ended [[out=30]]", true)
			So(err, ShouldBeNil)
			So(s.text, ShouldEqual, want("ended [[out=30]]", 30))
		}
		So(generated()-before, ShouldEqual, 30)
		s, err = f.at(0).chat(context.Background(), callKey, "quick", "same-id", "another", false)
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusUnprocessableEntity)
	})
	Convey("A caller that hangs up cancels its run, streaming or not", t, func() {
		for _, stream := range []bool{true, false} {
			before := generated()
			ctx, hangUp := context.WithTimeout(context.Background(), 300*time.Millisecond)
			_, err := f.at(0).chat(ctx, callKey, "quick", "", fmt.Sprintf("hang %v [[out=4000]]", stream), stream)
			hangUp()
			So(err, ShouldNotBeNil)
			until(t, "the run is canceled", func() bool {
				now := generated()
				time.Sleep(300 * time.Millisecond)
				return generated() == now
			})
			So(generated()-before, ShouldBeLessThan, 1000)
		}
	})
	Convey("After its instance is killed amid a stream, the resent request resumes the run elsewhere", t, func() {
		before := generated()
		victim := f.at(1)
		go func() {
			_, _ = victim.chat(context.Background(), callKey, "quick", "moved", "moved [[out=400]]", true)
		}()
		until(t, "it runs", func() bool { return generated() > before+20 })
		victim.Kill()
		s, err := f.at(0).chat(context.Background(), callKey, "quick", "moved", "moved [[out=400]]", true)
		So(err, ShouldBeNil)
		So(s.text, ShouldEqual, want("moved [[out=400]]", 400))
		So(generated()-before, ShouldEqual, 400)
		must(t, f.StartInstance(victim.Instance))
		until(t, "it is back", victim.Ready)
	})
	Convey("A planned stop cuts no stream: it ends whole, and the process exits with 0", t, func() {
		in := f.at(2)
		res := make(chan said, 1)
		before := generated()
		go func() {
			s, _ := in.chat(context.Background(), callKey, "quick", "", "stop [[out=500]]", true)
			res <- s
		}()
		until(t, "it runs", func() bool { return generated() > before })
		So(in.Stop(), ShouldBeNil)
		s := <-res
		So(s.done, ShouldBeTrue)
		So(s.text, ShouldEqual, want("stop [[out=500]]", 500))
		must(t, f.StartInstance(in.Instance))
		until(t, "it is back", in.Ready)
	})
}

func TestEndpointsThatLeaveOrDie(t *testing.T) {
	f := newFleet(t, 3, 3)
	e1 := f.engine("e1", "a", "--step", "5ms")
	e2 := f.engine("e2", "b", "--step", "5ms")
	f.enter(contract("acme", callKey))
	f.serving("m", 2)
	ping := func(i int) said {
		s, _ := f.at(i%3).chat(context.Background(), callKey, "quick", "", fmt.Sprintf("ping %d [[out=3]]", i), false)
		return s
	}
	Convey("A stream whose endpoint is killed goes on at another, whole", t, func() {
		done := make(chan said, 8)
		for i := range 8 {
			go func() {
				s, _ := f.at(i%3).chat(context.Background(), callKey, "quick", "", fmt.Sprintf("long %d [[out=300]]", i), true)
				done <- s
			}()
		}
		until(t, "both run", func() bool { return stats(e1.Addr).Tokens > 100 && stats(e2.Addr).Tokens > 100 })
		e2.Kill()
		for range 8 {
			s := <-done
			So(s.done, ShouldBeTrue)
			So(strings.Count(s.text, " "), ShouldEqual, 300)
		}
	})
	Convey("An endpoint that is leaving gets no new work, and its stream ends whole", t, func() {
		e3 := f.engine("e3", "c", "--step", "5ms")
		f.serving("m", 2)
		done := make(chan said, 4)
		for i := range 4 {
			go func() {
				s, _ := f.at(i%3).chat(context.Background(), callKey, "quick", "", fmt.Sprintf("leave %d [[out=600]]", i), true)
				done <- s
			}()
		}
		until(t, "it runs there", func() bool { return stats(e3.Addr).Tokens > 5 })
		resp, err := http.Post(fmt.Sprintf("http://%s/fault/leave", e3.Addr), "", nil)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		until(t, "the scheduler knows", func() bool {
			for _, e := range f.Instances[0].Cells()["m@r"].Endpoints {
				if e.Name == "e3" {
					return e.Leaving
				}
			}
			return false
		})
		runs := stats(e3.Addr).Runs
		for i := range 20 {
			So(ping(i).status, ShouldEqual, http.StatusOK)
		}
		So(stats(e3.Addr).Runs, ShouldEqual, runs)
		for range 4 {
			s := <-done
			So(s.done, ShouldBeTrue)
			So(strings.Count(s.text, " "), ShouldEqual, 600)
		}
	})
	Convey("When a cell's scheduler is killed or frozen, callers see a delay and no error", t, func() {
		for _, harm := range []string{"kill", "freeze"} {
			holder := f.holder("m@r")
			So(holder.Instance, ShouldNotBeNil)
			var others []inst
			for i := range f.Instances {
				if f.Instances[i] != holder.Instance {
					others = append(others, f.at(i))
				}
			}
			res := make(chan said, 6)
			for i := range 6 {
				go func() {
					s, _ := others[i%2].chat(context.Background(), callKey, "quick", "", fmt.Sprintf("%s %d [[out=400]]", harm, i), true)
					res <- s
				}()
			}
			time.Sleep(300 * time.Millisecond)
			if harm == "kill" {
				holder.Kill()
			} else {
				holder.Suspend()
			}
			for i := range 6 {
				s, err := others[i%2].chat(context.Background(), callKey, "quick", "", fmt.Sprintf("after %s %d [[out=5]]", harm, i), false)
				So(err, ShouldBeNil)
				So(s.status, ShouldEqual, http.StatusOK)
			}
			for range 6 {
				s := <-res
				So(s.done, ShouldBeTrue)
				So(strings.Count(s.text, " "), ShouldEqual, 400)
			}
			if harm == "kill" {
				must(t, f.StartInstance(holder.Instance))
			} else {
				holder.Resume()
			}
			until(t, "it is back", holder.Ready)
		}
	})
}

// holder returns the instance that schedules a cell, by the newest epoch in the logs.
func (f *fleet) holder(cell string) inst {
	best, epoch := inst{}, 0
	for i := range f.Instances {
		for _, line := range strings.Split(f.at(i).Log(), "\n") {
			var e int
			at := strings.Index(line, "scheduling cell\" cell="+cell+" epoch=")
			if at < 0 {
				continue
			}
			_, _ = fmt.Sscanf(line[at:], "scheduling cell\" cell="+cell+" epoch=%d", &e)
			if e > epoch {
				best, epoch = f.at(i), e
			}
		}
	}
	return best
}

func TestPoison(t *testing.T) {
	f := newFleet(t, 3, 3)
	for i := range 5 {
		f.engine(fmt.Sprint("e", i+1), "a", "--step", "10ms")
	}
	f.enter(contract("acme", callKey))
	f.serving("m", 5)
	Convey("A request that crashes its endpoints is stopped after two, everywhere; innocents beside it get their answers", t, func() {
		var wg sync.WaitGroup
		good := make([]said, 12)
		for i := range good {
			wg.Add(1)
			go func() {
				defer wg.Done()
				good[i], _ = f.at(i%3).chat(context.Background(), callKey, "quick", "", fmt.Sprintf("good %d [[out=150]]", i), true)
			}()
		}
		time.Sleep(200 * time.Millisecond)
		bad := "bad [[crash]]"
		for i := range 6 {
			s, err := f.at(i%3).chat(context.Background(), callKey, "quick", "", bad, false)
			So(err, ShouldBeNil)
			So(s.status, ShouldEqual, http.StatusUnprocessableEntity)
			So(s.fail.Code, ShouldEqual, "quarantined")
		}
		wg.Wait()
		for i, s := range good {
			So(s.text, ShouldEqual, want(fmt.Sprintf("good %d [[out=150]]", i), 150))
		}
		until(t, "three endpoints are live", func() bool { return f.Instances[0].LiveEndpoints("m") == 3 })
	})
	Convey("The quarantine outlasts a restart of all instances", t, func() {
		for _, in := range f.Instances {
			in.Kill()
		}
		for _, in := range f.Instances {
			must(t, f.StartInstance(in))
		}
		must(t, f.WaitReady())
		until(t, "endpoints are back", func() bool { return f.Instances[0].LiveEndpoints("m") == 3 })
		s, err := f.at(1).chat(context.Background(), callKey, "quick", "", "bad [[crash]]", false)
		So(err, ShouldBeNil)
		So(s.fail.Code, ShouldEqual, "quarantined")
		So(s.fail.Ran, ShouldEqual, chat.RanNo)
		So(f.Instances[0].LiveEndpoints("m"), ShouldEqual, 3)
	})
}

func TestStopOfASchedulerWithAQueue(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.engine("e1", "a", "--step", "10ms", "--slots", "1")
	f.enter(contract("acme", callKey))
	f.serving("m", 1)
	Convey("When the instance that schedules is stopped, what waits at it is scheduled elsewhere and answered whole", t, func() {
		holder := f.holder("m@r")
		res := make(chan said, 3)
		for i := range 3 {
			go func() {
				s, _ := holder.chat(context.Background(), callKey, "quick", "", fmt.Sprintf("queued %d [[out=150]]", i), i == 0)
				res <- s
			}()
		}
		until(t, "two wait", func() bool { return f.Instances[0].Cells()["m@r"].Queued == 2 })
		So(holder.Stop(), ShouldBeNil)
		for range 3 {
			s := <-res
			So(s.fail.Code, ShouldEqual, "")
			So(strings.Count(s.text, " "), ShouldEqual, 150)
		}
	})
}
