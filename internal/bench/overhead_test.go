package bench

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCutStreamIsMeasured guards against streams that broke off and count as answered in a measurement.
func TestCutStreamIsMeasured(t *testing.T) {
	for text, complete := range map[string]bool{"data: {}\n\ndata: [DONE]\n\n": true, "data: {}\n\n": false, "": false} {
		Convey("the stream "+text, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }))
			defer server.Close()
			_, err := streamOnce(netip.MustParseAddrPort(server.Listener.Addr().String()), 1)
			So(err == nil, ShouldEqual, complete)
		})
	}
}
