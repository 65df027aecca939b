package proxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStartPatience plays a loss of all instances: each caller's last try comes while the instances start, which are ready after
// 900 ms. Without patience each of these is refused for good.
func TestStartPatience(t *testing.T) {
	born := time.Unix(100, 0)
	ready := born.Add(900 * time.Millisecond)
	Convey("callers whose time allows it are served by an instance that starts, others are told at once when theirs is over", t, func() {
		served, late := 0, 0
		for after := time.Duration(0); after < 900*time.Millisecond; after += 10 * time.Millisecond {
			arrived := born.Add(after)
			until := startPatience(born, arrived, 6*time.Second)
			So(until.Sub(arrived), ShouldBeLessThanOrEqualTo, 2*time.Second)
			if until.Before(ready) {
				late++
			} else {
				served++
			}
		}
		So(served, ShouldEqual, 90)
		So(late, ShouldEqual, 0)
		So(startPatience(born, born, 1500*time.Millisecond), ShouldEqual, born.Add(500*time.Millisecond))
	})
	Convey("an instance that started long ago lets nobody wait", t, func() {
		now := born.Add(time.Minute)
		So(startPatience(born, now, time.Second), ShouldHappenBefore, now)
		So(startPatience(born, now, 0), ShouldHappenBefore, now)
	})
}
