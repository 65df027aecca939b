package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// TestCrashReports guards against a request that crashes one endpoint after another as its caller repeats it, and against
// blaming requests whose connection broke for another reason.
func TestCrashReports(t *testing.T) {
	closesConn := func(receivedRequest, net.Conn) bool { return false }
	Convey("a request that crashes an endpoint is reported by its fingerprint, not by its ID", t, func() {
		h := newHarness(t, closesConn, closesConn)
		for _, e := range h.chooser.endpoints {
			e.closeAfterNext.Store(true)
		}
		So(h.send(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		So(h.send(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		first, second := <-h.crashes, <-h.crashes
		So(strings.Fields(first)[0], ShouldEqual, strings.Fields(second)[0])
		So(strings.Fields(first)[1], ShouldNotEqual, strings.Fields(second)[1])
	})
	Convey("a request that only loses its connection is not reported", t, func() {
		h := newHarness(t, closesConn)
		So(h.send(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		So(h.send(http.MethodPost, "/once/b", "x").status, ShouldEqual, http.StatusBadGateway)
		So(len(h.crashes), ShouldEqual, 0)
	})
	Convey("a quarantined request reaches no endpoint, others do, and a request that completes is cleared", t, func() {
		h := newHarness(t, echo)
		So(h.send(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusOK)
		req := &request{
			httpReq: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/once/a"}, body: []byte("x"),
			org: h.view.Table.OrganisationByKey("key"),
		}
		fingerprint := req.fingerprint()
		h.view.Crashes = map[string]ctrl.Crash{fingerprint: {Quarantined: true}}
		resp := h.send(http.MethodPost, "/once/a", "x")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.send(http.MethodPost, "/once/a", "y").status, ShouldEqual, http.StatusOK)
		So(len(h.chooser.endpoints[0].requests()), ShouldEqual, 2)
		h.view.Crashes = map[string]ctrl.Crash{fingerprint: {}}
		So(h.send(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusOK)
		So(<-h.crashes, ShouldEqual, fingerprint+" cleared")
	})
}
