package explan

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const testLog = `noise
 3.1 n1 ts=2026-01-01T00:00:05Z level=info msg="endpoint chosen" instance=n1 id=r1 endpoint=e1 need=5
ts=2026-01-01T00:00:01Z level=info msg="long before" instance=n1
ts=2026-01-01T00:00:04Z level=warn msg="configuration not proven current" instance=n1 age=6s
ts=2026-01-01T00:00:04.5Z level=warn msg="endpoint lost" instance=n9 endpoint=e1
ts=2026-01-01T00:00:04.6Z level=warn msg="endpoint lost" instance=n9 endpoint=e7
ts=2026-01-01T00:00:04.7Z level=info msg="request ended" instance=n1 id=r2 status=200
ts=2026-01-01T00:00:05.25Z level=info msg="request ended" instance=n1 id=r1 status=502 outcome="the endpoint broke off"
ts=broken
`

func TestReport(t *testing.T) {
	Convey("the events of a request are printed in order of time, with those of its instance and endpoints around it", t, func() {
		events, err := Read(strings.NewReader(testLog))
		So(err, ShouldBeNil)
		report := NewReport("r1", events)
		var out strings.Builder
		So(report.Print(&out), ShouldBeNil)
		So(out.String(), ShouldEqual, `   -1.000s     n1: configuration not proven current age=6s
   -0.500s     n9: endpoint lost endpoint=e1
   +0.000s n1: endpoint chosen endpoint=e1 need=5
   +0.250s n1: request ended status=502 outcome=the endpoint broke off
`)
	})
	Convey("a request without events is reported as such", t, func() {
		report := NewReport("r9", nil)
		var out strings.Builder
		So(report.Print(&out), ShouldBeNil)
		So(out.String(), ShouldEqual, "no events found for request r9\n")
	})
}
