package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClock(t *testing.T) {
	Convey("the time never goes back and has no monotonic reading, which would stop during a suspension", t, func() {
		first := Now()
		second := Now()
		So(second.Before(first), ShouldBeFalse)
		So(first, ShouldEqual, first.Round(0))
		So(Since(first), ShouldBeLessThan, time.Hour)
	})
}
