package entry

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/conns"
)

// TestSilentCaller writes to a caller that reads nothing until the write fails. It guards against connections that stay open forever
// because the caller keeps them open without reading.
func TestSilentCaller(t *testing.T) {
	Convey("the connection of a caller that reads nothing is closed after the acknowledgement timeout", t, func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := listener{Listener: tcp, ackTimeout: time.Second}
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		accepted, err := l.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = accepted.Close() }()
		var writeErr error
		for block := make([]byte, 64<<10); writeErr == nil; {
			_, writeErr = accepted.Write(block)
		}
		So(writeErr.Error(), ShouldContainSubstring, "timed out")
	})
}

// TestSilentCallerOptions guards against callers' connections that are given up at another time than docs/design/connections.md tells.
func TestSilentCallerOptions(t *testing.T) {
	Convey("the connection of a silent caller is given up after the acknowledgement timeout", t, func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := Listener(tcp)
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		accepted, err := l.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = accepted.Close() }()
		opt, err := conns.OptionsOf(accepted.(*callerConn).TCPConn)
		So(err, ShouldBeNil)
		So(opt.KeepAlive, ShouldBeTrue)
		So(opt.GivenUpAfter(), ShouldEqual, callerAckTimeout)
		So([]time.Duration{opt.ProbeIdle, opt.ProbeInterval}, ShouldResemble, []time.Duration{keepAliveInterval, keepAliveInterval})
	})
}

// TestRefusalIsLostWhileCallerSends guards against a response that a caller never gets, as its connection is reset while it still sends
// and pauses at the moment in which the connection is closed.
func TestRefusalIsLostWhileCallerSends(t *testing.T) {
	Convey("a caller that goes on sending after a pause gets the response", t, func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := Listener(tcp)
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		accepted, err := l.Accept()
		So(err, ShouldBeNil)
		block := make([]byte, 4<<10)
		_, err = caller.Write(block)
		So(err, ShouldBeNil)
		_, err = io.ReadFull(accepted, make([]byte, len(block)))
		So(err, ShouldBeNil)
		_, err = accepted.Write([]byte("too large"))
		So(err, ShouldBeNil)
		began := time.Now()
		So(accepted.Close(), ShouldBeNil)
		So(time.Since(began), ShouldBeLessThan, 100*time.Millisecond)
		for range 5 {
			time.Sleep(20 * time.Millisecond)
			_, err = caller.Write(block)
			So(err, ShouldBeNil)
		}
		got, err := io.ReadAll(caller)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "too large")
	})
}

// TestResetLooksLikeAnEnd guards against a connection that is to be reset, as its answer is not whole, and ends as if it were.
func TestResetLooksLikeAnEnd(t *testing.T) {
	Convey("a connection with a linger time of 0 is reset, though the caller has sent something just now", t, func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := Listener(tcp)
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		accepted, err := l.Accept()
		So(err, ShouldBeNil)
		_, err = caller.Write([]byte("request"))
		So(err, ShouldBeNil)
		_, err = accepted.Read(make([]byte, 7))
		So(err, ShouldBeNil)
		linger, ok := accepted.(interface{ SetLinger(seconds int) error })
		So(ok, ShouldBeTrue)
		So(linger.SetLinger(0), ShouldBeNil)
		So(accepted.Close(), ShouldBeNil)
		_, err = caller.Read(make([]byte, 1))
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}
