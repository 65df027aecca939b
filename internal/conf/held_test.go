package conf

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHeldBound guards against a bound that takes effect without settings that call for it, and against one that refuses ordinary requests.
func TestHeldBound(t *testing.T) {
	Convey("the bound is set, derived from the memory, or absent", t, func() {
		for _, c := range []struct{ memory, held, want int64 }{
			{0, 0, 0}, {184 << 20, 0, 46 << 20}, {32 << 20, 0, 16 << 20}, {0, 5 << 20, 5 << 20}, {1 << 30, 5 << 20, 5 << 20},
		} {
			l := defaultLimits()
			l.MemoryLimit, l.HeldLimit = Size(c.memory), Size(c.held)
			_, err := l.check(ModeRoutes)
			So(err, ShouldBeNil)
			So(l.Held(), ShouldEqual, c.want)
		}
	})
	Convey("a bound below 1 MiB is an error", t, func() {
		l := defaultLimits()
		l.HeldLimit = 1 << 10
		key, err := l.check(ModeRoutes)
		So(key, ShouldEqual, "held")
		So(err, ShouldNotBeNil)
	})
}
