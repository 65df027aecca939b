package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

func TestCrash(t *testing.T) {
	closing := func(got, net.Conn) bool { return false }
	Convey("a request under which an endpoint goes down is reported by what it is, not by its ID", t, func() {
		b := newBench(t, closing, closing)
		for _, e := range b.pick.all {
			e.last.Store(true)
		}
		So(b.ask(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		So(b.ask(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		first, second := <-b.down, <-b.down
		So(strings.Fields(first)[0], ShouldEqual, strings.Fields(second)[0])
		So(strings.Fields(first)[1], ShouldNotEqual, strings.Fields(second)[1])
	})
	Convey("one that only loses connections is not", t, func() {
		b := newBench(t, closing)
		So(b.ask(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusBadGateway)
		So(b.ask(http.MethodPost, "/once/b", "x").status, ShouldEqual, http.StatusBadGateway)
		So(len(b.down), ShouldEqual, 0)
	})
	Convey("a quarantined request reaches no endpoint, others do, and what runs to its end is cleared", t, func() {
		b := newBench(t, ok)
		So(b.ask(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusOK)
		q := &request{r: &http.Request{Method: http.MethodPost, Host: "h", RequestURI: "/once/a"}, body: []byte("x"), org: b.view.Table.Owner("key")}
		print := q.fingerprint()
		b.view.Crashes = map[string]ctrl.Crash{print: {Quarantined: true}}
		s := b.ask(http.MethodPost, "/once/a", "x")
		So(s.status, ShouldEqual, http.StatusServiceUnavailable)
		So(b.ask(http.MethodPost, "/once/a", "y").status, ShouldEqual, http.StatusOK)
		So(len(b.pick.all[0].all()), ShouldEqual, 2)
		b.view.Crashes = map[string]ctrl.Crash{print: {}}
		So(b.ask(http.MethodPost, "/once/a", "x").status, ShouldEqual, http.StatusOK)
		So(<-b.down, ShouldEqual, print+" cleared")
	})
}
