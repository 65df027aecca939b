package budget

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// fakeClock is a settable clock.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

// receive opens a hold with n bytes that have arrived; given up is recorded in evicted.
func receive(b *Budget, client Client, n int64, evicted map[string]bool, name string) *Hold {
	h, err := b.Receive(client, -1, func() { evicted[name] = true })
	So(err, ShouldBeNil)
	So(h.Grow(n), ShouldBeNil)
	h.arrived(int(n))
	return h
}

// TestOrdinaryBodyIsGivenUp guards against ordinary bodies that are given up for those of a crowd.
func TestOrdinaryBodyIsGivenUp(t *testing.T) {
	Convey("with a bound of 100 bytes", t, func() {
		clock := &fakeClock{at: time.Unix(1000, 0)}
		b, evicted := New(100, clock.now), map[string]bool{}
		Convey("the body that has stalled goes, not the slow one that goes on", func() {
			receive(b, Client{}, 60, evicted, "stalled")
			slow := receive(b, Client{}, 10, evicted, "slow")
			clock.at = clock.at.Add(5 * time.Second)
			slow.arrived(1)
			So(slow.Grow(40), ShouldBeNil)
			So(evicted, ShouldResemble, map[string]bool{"stalled": true})
		})
		Convey("the address that holds the most bears the cost", func() {
			receive(b, Client{Address: "a"}, 20, evicted, "a1")
			receive(b, Client{Address: "a"}, 40, evicted, "a2")
			other := receive(b, Client{Address: "b"}, 35, evicted, "b")
			clock.at = clock.at.Add(100 * time.Millisecond)
			So(other.Grow(10), ShouldBeNil)
			So(evicted, ShouldResemble, map[string]bool{"a1": true})
		})
		Convey("a complete body stays, and what does not fit beside it is refused before it is read", func() {
			running := receive(b, Client{}, 70, evicted, "running")
			So(running.Finish(), ShouldBeNil)
			_, err := b.Receive(Client{}, 40, func() {})
			So(errors.Is(err, ErrFull), ShouldBeTrue)
			newcomer, err := b.Receive(Client{}, -1, func() { evicted["newcomer"] = true })
			So(err, ShouldBeNil)
			So(errors.Is(newcomer.Grow(40), ErrFull), ShouldBeTrue)
			So(evicted, ShouldNotContainKey, "running")
			running.Release()
			So(b.Counts().Held, ShouldEqual, 0)
		})
		Convey("a body of legal size above the bound is served while nothing else is held", func() {
			So(receive(b, Client{}, 90, evicted, "large").Grow(90), ShouldBeNil)
			So(evicted, ShouldBeEmpty)
		})
		Convey("a body given up is not taken for a complete one", func() {
			first := receive(b, Client{}, 60, evicted, "first")
			clock.at = clock.at.Add(time.Second)
			receive(b, Client{}, 60, evicted, "second")
			So(first.Finish(), ShouldEqual, ErrFull)
		})
	})
}

// TestStalledBodyStays guards against bodies that stay for ever, and against bodies given up although they go on.
func TestStalledBodyStays(t *testing.T) {
	Convey("a body without progress is given up, one with a byte now and then is not", t, func() {
		b, evicted := New(1000, time.Now), map[string]bool{}
		stalled, slow := receive(b, Client{}, 10, evicted, "stalled"), receive(b, Client{}, 10, evicted, "slow")
		for range stalledTicks + 1 {
			So(evicted, ShouldBeEmpty)
			slow.arrived(1)
			b.Tick()
		}
		So(evicted, ShouldResemble, map[string]bool{"stalled": true})
		So(stalled.Cause(), ShouldEqual, ErrStalled)
		So(b.Counts().Held, ShouldEqual, 10+1000/requestsDivisor)
	})
}

// TestTinyBodiesTakeAll guards against unfinished bodies of a few bytes whose requests take memory without bound, and against ordinary
// requests for which that memory stays reserved.
func TestTinyBodiesTakeAll(t *testing.T) {
	Convey("of many tiny bodies that stop, as many stay as there is room for their requests", t, func() {
		const limit = 16 << 20
		clock := &fakeClock{at: time.Unix(1000, 0)}
		b, evicted := New(limit, clock.now), map[string]bool{}
		for n := range 2000 {
			receive(b, Client{}, 10, evicted, strconv.Itoa(n))
			clock.at = clock.at.Add(10 * time.Millisecond)
		}
		So(2000-len(evicted), ShouldBeBetweenOrEqual, 500, limit/requestBytes)
		So(b.Counts().Held, ShouldBeLessThanOrEqualTo, limit)
		b = New(limit, clock.now)
		ordinary := receive(b, Client{}, 10, evicted, "ordinary")
		So(ordinary.Finish(), ShouldBeNil)
		So(b.Counts().Held, ShouldEqual, 10)
		So(b.Counts().Pinned, ShouldEqual, 10)
		ordinary.Release()
		So(b.Counts().Held, ShouldEqual, 0)
	})
}

// TestBufferChangesBody guards against bodies that differ from what was sent, and against bytes that stay reserved or are not reserved
// while they are in use.
func TestBufferChangesBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(math.MaxInt64, time.Now)
		content := bytes.Repeat([]byte("0123456789a"), rapid.IntRange(0, 20000).Draw(t, "elevenths"))
		var r io.Reader = bytes.NewReader(content)
		length := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			length = int64(len(content))
		}
		if rapid.Bool().Draw(t, "end with data") {
			r = iotest.DataErrReader(r)
		}
		h, err := b.Receive(Client{}, length, func() {})
		if err != nil {
			t.Fatal(err)
		}
		buf := NewBuffer(h, length)
		if ended, err := buf.Fill(r, int64(len(content))+1); !ended || err != nil {
			t.Fatal(ended, err)
		}
		read, readErr := io.ReadAll(buf.Reader())
		got, err := buf.Bytes()
		if readErr != nil || err != nil || !bytes.Equal(read, content) || !bytes.Equal(got, content) {
			t.Fatalf("%d bytes instead of %d: %v", len(got), len(content), err)
		}
		buf.Drop()
		if held := b.Counts().Held; held < int64(len(content)) {
			t.Fatalf("%d bytes reserved for %d in use", held, len(content))
		}
		h.Release()
		if held := b.Counts().Held; held != 0 {
			t.Fatalf("%d bytes stay reserved", held)
		}
	})
}
