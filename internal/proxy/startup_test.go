package proxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStartupWaitUntil simulates the loss of all instances: each caller's last retry arrives while the instances start,
// which takes 900 ms. Without the wait, all of these requests would fail for good.
func TestStartupWaitUntil(t *testing.T) {
	startedAt := time.Unix(100, 0)
	ready := startedAt.Add(900 * time.Millisecond)
	Convey("a starting instance serves callers whose deadline allows the wait and rejects others early", t, func() {
		served, refused := 0, 0
		for offset := time.Duration(0); offset < 900*time.Millisecond; offset += 10 * time.Millisecond {
			arrivedAt := startedAt.Add(offset)
			waitUntil := startupWaitUntil(startedAt, arrivedAt, 6*time.Second)
			So(waitUntil.Sub(arrivedAt), ShouldBeLessThanOrEqualTo, 2*time.Second)
			if waitUntil.Before(ready) {
				refused++
			} else {
				served++
			}
		}
		So(served, ShouldEqual, 90)
		So(refused, ShouldEqual, 0)
		So(startupWaitUntil(startedAt, startedAt, 1500*time.Millisecond), ShouldEqual, startedAt.Add(500*time.Millisecond))
	})
	Convey("an instance that started long ago does not delay requests", t, func() {
		now := startedAt.Add(time.Minute)
		So(startupWaitUntil(startedAt, now, time.Second), ShouldHappenBefore, now)
		So(startupWaitUntil(startedAt, now, 0), ShouldHappenBefore, now)
	})
}
