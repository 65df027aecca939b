package live

import (
	"context"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/bench"
	"github.com/greengagewheel/greengagewheel/pkg/trace"
)

// TestReplayedTraces replays a tenth of each trace against 9 instances with 12 or 18 engines: the test samples a fifth of the requests,
// and bench.MeasureRun sends half of these. Under every fault, all responses must be complete and correct and no call may run twice;
// without faults ("calm"), no generated token may be wasted.
func TestReplayedTraces(t *testing.T) {
	const tenths = 2
	for _, tc := range []struct{ file, scenario string }{
		{"anim", "calm"}, {"anim", "crash"}, {"dvorak", "restart"},
	} {
		f, err := os.Open("../../traces/" + tc.file + ".jsonl")
		must(t, err)
		replayed, err := trace.Read(f)
		must(t, err)
		_ = f.Close()
		Convey(tc.file+" with "+tc.scenario+": every response is complete and correct", t, func() {
			report, err := bench.MeasureRun(context.Background(), bench.Run{
				Trace: replayed.Sample(tenths), Scenario: tc.scenario, System: "ours", Bin: binDir,
			})
			So(err, ShouldBeNil)
			for _, class := range report.Classes {
				So(class.Complete, ShouldEqual, class.Sent)
				So(class.Mismatched, ShouldEqual, 0)
			}
			So(report.DuplicateRuns, ShouldEqual, 0)
			if tc.scenario == "calm" {
				So(report.Wasted, ShouldEqual, 0)
			}
		})
	}
}
