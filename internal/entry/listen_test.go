package entry

import (
	"net"
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
		opt, err := conns.OptionsOf(accepted.(callerConn).TCPConn)
		So(err, ShouldBeNil)
		So(opt.KeepAlive, ShouldBeTrue)
		So(opt.GivenUpAfter(), ShouldEqual, callerAckTimeout)
		So([]time.Duration{opt.ProbeIdle, opt.ProbeInterval}, ShouldResemble, []time.Duration{keepAliveInterval, keepAliveInterval})
	})
}
