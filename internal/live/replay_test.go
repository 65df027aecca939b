package live

import (
	"context"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/bench"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

// TestReplayedTraces replays a tenth of each trace against the whole system, 9 instances with 12 or 18 engines, and
// states the outcome: every answer whole and right, none run twice, whatever fails; nothing wasted where nothing fails.
func TestReplayedTraces(t *testing.T) {
	const tenths = 2
	for _, c := range []struct{ file, scenario string }{
		{"anim", "calm"}, {"anim", "crash"}, {"dvorak", "restart"},
	} {
		f, err := os.Open("../../traces/" + c.file + ".jsonl")
		must(t, err)
		tr, err := trace.Read(f)
		must(t, err)
		_ = f.Close()
		Convey(c.file+" with "+c.scenario+": every answer is whole and right", t, func() {
			rep, err := bench.Measure(context.Background(), bench.Run{Trace: tr.Sample(tenths), Scenario: c.scenario, System: "ours", Bin: binDir})
			So(err, ShouldBeNil)
			for _, k := range rep.Classes {
				So(k.Complete, ShouldEqual, k.Sent)
				So(k.Mismatched, ShouldEqual, 0)
			}
			So(rep.DuplicateRuns, ShouldEqual, 0)
			if c.scenario == "calm" {
				So(rep.Wasted, ShouldEqual, 0)
			}
		})
	}
}
