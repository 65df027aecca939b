package egress

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/conns"
)

// TestSilentEndpointIsGivenUp guards against connections that are given up while a sound endpoint is silent for a second or so, or that
// are kept for long after it went dark.
func TestSilentEndpointIsGivenUp(t *testing.T) {
	const silence = 2 * time.Second
	Convey("a connection outlives a silence of two seconds, and is given up after five", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = l.Close() }()
		conn, err := New(NewDialer()).Dial(context.Background(), Dest{ID: "e", Addr: netip.MustParseAddrPort(l.Addr().String())})
		So(err, ShouldBeNil)
		defer func() { _ = conn.Close() }()
		opt, err := conns.OptionsOf(conn.TCPConn)
		So(err, ShouldBeNil)
		So(opt.KeepAlive, ShouldBeTrue)
		So(opt.GivenUpAfter()-opt.ProbeIdle, ShouldBeGreaterThan, silence)
		So(opt.GivenUpAfter(), ShouldBeLessThanOrEqualTo, 5*time.Second)
		So(opt.UserTimeout, ShouldEqual, userTimeout)
	})
}
