package detour

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/answer"
)

// TestBodyLooksWhole guards against a body that is taken for whole though the endpoint or the way broke off.
func TestBodyLooksWhole(t *testing.T) {
	write := func(whole bool) []byte {
		var b bytes.Buffer
		So(WriteChunk(&b, []byte("some ")), ShouldBeNil)
		So(WriteChunk(&b, []byte("text")), ShouldBeNil)
		So(WriteEnd(&b, whole), ShouldBeNil)
		return b.Bytes()
	}
	Convey("a whole body ends, one that the endpoint broke off does not", t, func() {
		got, err := io.ReadAll(&bodyReader{from: bytes.NewReader(write(true))})
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "some text")
		got, err = io.ReadAll(&bodyReader{from: bytes.NewReader(write(false))})
		So(errors.Is(err, ErrBrokenOff), ShouldBeTrue)
		So(errors.Is(err, ErrWay), ShouldBeFalse)
		So(string(got), ShouldEqual, "some text")
	})
	Convey("wherever the way breaks, the body is not whole", t, func() {
		data := write(true)
		for end := range len(data) {
			_, err := io.ReadAll(&bodyReader{from: bytes.NewReader(data[:end])})
			So(errors.Is(err, ErrWay), ShouldBeTrue)
		}
	})
	Convey("a chunk or frame that is too large is an error", t, func() {
		_, err := io.ReadAll(&bodyReader{from: strings.NewReader("\x00\x01\x00\x01rest")})
		So(err, ShouldEqual, errFrameTooLarge)
		So(ReadFrame(strings.NewReader("\x7f\x00\x00\x00"), &Receipt{}), ShouldEqual, errFrameTooLarge)
		So(WriteFrame(io.Discard, strings.Repeat("x", maxFrameBytes+1)), ShouldEqual, errFrameTooLarge)
	})
}

// TestFrame guards against orders and answers that are taken though they are not valid.
func TestFrame(t *testing.T) {
	order := Order{
		RequestID: "r", EndpointID: "e", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Method: "POST", Target: "/", Left: time.Second,
		Header: http.Header{"A": {"b", "c"}},
	}
	Convey("what is written is read", t, func() {
		var b bytes.Buffer
		So(WriteFrame(&b, &order), ShouldBeNil)
		var got Order
		So(ReadFrame(&b, &got), ShouldBeNil)
		So(got, ShouldResemble, order)
	})
	Convey("what lacks a field, or has an unknown value, is refused", t, func() {
		read := func(written, value any) error {
			var b bytes.Buffer
			So(WriteFrame(&b, written), ShouldBeNil)
			return ReadFrame(&b, value)
		}
		late := order
		late.Left = 0
		So(read(&late, &Order{}), ShouldNotBeNil)
		So(read(&Receipt{}, &Receipt{}), ShouldNotBeNil)
		So(read(&Receipt{Result: Reached + 1}, &Receipt{}), ShouldNotBeNil)
		So(read(&Head{Status: 100}, &Head{}), ShouldNotBeNil)
		So(read(&Head{Broken: "x"}, &Head{}), ShouldBeNil)
	})
	Convey("a response keeps the framing that the endpoint gave it", t, func() {
		for framing, length := range map[answer.Framing]int64{
			answer.FramedByLength: 5, answer.FramedByChunks: -1, answer.FramedByConnection: -1,
		} {
			head := Head{Status: 200, Framing: framing, Length: length}
			So(answer.FramingOf(head.Response(io.NopCloser(strings.NewReader("")))), ShouldEqual, framing)
		}
	})
}

// TestChooser guards against a load that falls on few instances, or on those that cannot take it.
func TestChooser(t *testing.T) {
	now := time.Unix(1000, 0)
	addr := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 1) }
	instances := []Instance{{"a", addr(1)}, {"a", addr(2)}, {"b", addr(3)}, {"b", addr(4)}}
	Convey("those of the zone are chosen alike, the others if none of these is left", t, func() {
		c := NewChooser()
		chosen := map[netip.AddrPort]int{}
		for i := range 100 {
			got, ok := c.Choose(now, instances, "a", float64(i)/100)
			So(ok, ShouldBeTrue)
			chosen[got]++
		}
		So(chosen, ShouldResemble, map[netip.AddrPort]int{addr(1): 50, addr(2): 50})
		c.Avoid(now, addr(1))
		c.Avoid(now, addr(2))
		got, _ := c.Choose(now, instances, "a", 0.999)
		So(got, ShouldEqual, addr(4))
		c.Avoid(now, addr(3))
		c.Avoid(now, addr(4))
		_, ok := c.Choose(now, instances, "a", 0)
		So(ok, ShouldBeFalse)
	})
	Convey("an instance is avoided for some time only", t, func() {
		c := NewChooser()
		c.Avoid(now, addr(1))
		_, ok := c.Choose(now.Add(avoidTime-1), instances[:1], "a", 1)
		So(ok, ShouldBeFalse)
		_, ok = c.Choose(now.Add(avoidTime), instances[:1], "a", 1)
		So(ok, ShouldBeTrue)
	})
}
