package engctl

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAnswerToEarlierOrderIsTaken guards against a late answer to one order being taken for that to the next.
func TestAnswerToEarlierOrderIsTaken(t *testing.T) {
	Convey("each order goes over a connection of its own", t, func() {
		var conns atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		e, to := New(Options{}), netip.MustParseAddrPort(server.Listener.Addr().String())
		const orders = 5
		for range orders {
			_, err := e.request(context.Background(), http.MethodPost, to, nil)
			So(err, ShouldBeNil)
		}
		So(conns.Load(), ShouldEqual, orders)
	})
}
