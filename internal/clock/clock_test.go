package clock

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClock(t *testing.T) {
	Convey("readings never go back and carry no steady-clock part that skips a suspension", t, func() {
		a := Now()
		b := Now()
		So(b.Before(a), ShouldBeFalse)
		So(a, ShouldEqual, a.Round(0))
		So(Since(a), ShouldBeLessThan, time.Hour)
	})
}
