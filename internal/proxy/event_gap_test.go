package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEventsBeforeGapAreLost guards against a resumed stream that lacks the events which came together with a gap in the IDs.
func TestEventsBeforeGapAreLost(t *testing.T) {
	Convey("a resumable stream with a gap continues after the last event before the gap", t, func() {
		withGap := func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			writeChunk(c, eventRange(1, 8)+eventRange(13, 20))
			_, _ = fmt.Fprint(c, "0\r\n\r\n")
			return true
		}
		h := newHarness(t, withGap, streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(h.chooser.endpoints[1].requests()[0].Header.Get("After"), ShouldEqual, "8")
	})
}
