package usage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// sum returns the number of requests in a message.
func sum(msg *Message) (total int) {
	for _, c := range msg.Counts {
		total += c.Number
	}
	return total
}

// TestCounterAndItsLeaders guards against counts that are sent for ever, or never again after a receiver has lost them.
func TestCounterAndItsLeaders(t *testing.T) {
	leader, next := addrOf(0), addrOf(1)
	setUp := func() (*time.Time, *Counter) {
		now := time.Unix(1_764_980_000, 0)
		clock := func() time.Time { return now }
		return &now, NewCounter(minRetention, clock, clock)
	}
	Convey("counts are sent until they are acknowledged, and all of them to a new leader", t, func() {
		now, c := setUp()
		c.Count("a")
		c.Count("a")
		first := c.Message(leader)
		So(sum(first), ShouldEqual, 2)
		*now = now.Add(50 * time.Millisecond)
		So(c.Due(leader), ShouldBeTrue)
		So(sum(c.Message(leader)), ShouldEqual, 2)
		c.Acknowledge(leader, first, &Ack{Through: first.Through})
		c.Count("b")
		So(sum(c.Message(leader)), ShouldBeLessThanOrEqualTo, 3)
		last := c.Message(leader)
		*now = now.Add(50 * time.Millisecond)
		c.Acknowledge(leader, last, &Ack{Through: last.Through})
		last = c.Message(leader)
		c.Acknowledge(leader, last, &Ack{Through: last.Through})
		So(c.Due(leader), ShouldBeFalse)
		So(sum(c.Message(leader)), ShouldEqual, 0)
		So(c.Due(next), ShouldBeTrue)
		So(sum(c.Message(next)), ShouldEqual, 3)
	})
	Convey("a leader that has lost its counts gets all of them", t, func() {
		now, c := setUp()
		c.Count("a")
		*now = now.Add(50 * time.Millisecond)
		msg := c.Message(leader)
		c.Acknowledge(leader, msg, &Ack{Through: msg.Through})
		*now = now.Add(50 * time.Millisecond)
		restarted := NewCollector(minRetention, func() time.Time { return *now })
		msg = c.Message(leader)
		So(sum(msg), ShouldEqual, 0)
		ack := restarted.Receive(*now, "e", "boot", msg)
		c.Acknowledge(leader, msg, &ack)
		msg = c.Message(leader)
		So(sum(msg), ShouldEqual, 1)
		So(restarted.Receive(*now, "e", "boot", msg).Through, ShouldEqual, msg.Through)
	})
	Convey("a leader of a build without usage gets nothing for a while", t, func() {
		now, c := setUp()
		c.Count("a")
		c.Acknowledge(leader, c.Message(leader), nil)
		So(c.Message(leader), ShouldBeNil)
		So(c.Due(leader), ShouldBeFalse)
		*now = now.Add(unsupportedFor)
		So(sum(c.Message(leader)), ShouldEqual, 1)
	})
	Convey("more counts than a message holds arrive with several", t, func() {
		now, c := setUp()
		for i := range 3 * maxCounts {
			c.Count(fmt.Sprint("organisation", i%100))
			if i%100 == 99 {
				*now = now.Add(bucketLength)
			}
		}
		collector := NewCollector(minRetention, func() time.Time { return *now })
		for range 10 {
			msg := c.Message(leader)
			So(msg.Check(), ShouldBeNil)
			ack := collector.Receive(*now, "e", "boot", msg)
			c.Acknowledge(leader, msg, &ack)
		}
		counts, _, _ := collector.window(*now, now.Add(-minRetention), now.Add(time.Second))
		total := 0
		for _, number := range counts {
			total += number
		}
		So(total, ShouldEqual, 3*maxCounts)
		So(sum(c.Message(leader)), ShouldBeLessThan, 100)
	})
	Convey("without a leader, counts are kept for the retention only", t, func() {
		now, c := setUp()
		c.Count("old")
		*now = now.Add(minRetention + time.Second)
		c.Count("new")
		So(sum(c.Message(leader)), ShouldEqual, 1)
		So(c.numbers, ShouldHaveLength, 1)
	})
}
