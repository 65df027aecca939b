package live

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/rig"
)

// TestRunGoesOnAtAnotherBuild guards against a run whose tokens come from engines of two software versions.
func TestRunGoesOnAtAnotherBuild(t *testing.T) {
	const prompt, tokens = "build [[out=300]]", 300
	play := func(builds ...string) response {
		f := newFleet(t, 3, 3)
		engines := map[string]rig.Standin{}
		for i, build := range builds {
			name := "e" + string(rune('1'+i))
			engines[name] = f.startEngine(name, "a", "--build", build)
		}
		f.putContract(contract("acme", callerKey))
		f.waitForEndpoints("m", len(builds))
		results := make(chan response, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			resp, _ := f.instance(0).chat(ctx, callerKey, "quick", "", prompt, true)
			results <- resp
		}()
		busy := ""
		waitUntil(t, "an engine runs it", func() bool {
			for _, in := range f.Instances {
				for _, e := range in.Cells()["m@r"].Endpoints {
					if e.Running > 0 {
						busy = e.Name
						return true
					}
				}
			}
			return false
		})
		time.Sleep(500 * time.Millisecond)
		engines[busy].Kill()
		return <-results
	}
	Convey("a run whose engine goes down goes on at one of the same version, also where none is told", t, func() {
		for _, builds := range [][]string{{"v1", "v1"}, {"", ""}} {
			resp := play(builds...)
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.complete, ShouldBeTrue)
			So(resp.text, ShouldEqual, wantText(prompt, tokens))
		}
	})
	Convey("it ends, and says so, if what is left has another one", t, func() {
		resp := play("v1", "v2")
		So(resp.complete, ShouldBeFalse)
	})
}
