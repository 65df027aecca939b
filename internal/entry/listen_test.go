package entry

import (
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSilentCaller writes to a caller that takes nothing, until its connection is given up.
func TestSilentCaller(t *testing.T) {
	Convey("A caller that has taken nothing for the time allowed is given up, though its connection is open", t, func() {
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		l := listener{Listener: plain, silence: time.Second}
		defer func() { _ = l.Close() }()
		caller, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer func() { _ = caller.Close() }()
		c, err := l.Accept()
		So(err, ShouldBeNil)
		defer func() { _ = c.Close() }()
		var failed error
		for block := make([]byte, 64<<10); failed == nil; {
			_, failed = c.Write(block)
		}
		So(failed.Error(), ShouldContainSubstring, "timed out")
	})
}
