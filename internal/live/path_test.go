package live

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

func TestPathAcrossThreeInstances(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.engine("e1", "a")
	f.engine("e2", "b")
	svc := f.service("s1", "a")
	f.enter(contract("acme", callKey))
	f.serving("m", 2)
	f.serving("bookings", 1)
	Convey("A request that enters at any instance gets its whole answer", t, func() {
		for i := range f.Instances {
			in := f.at(i)
			prompt := fmt.Sprintf("question %d [[out=40]]", i)
			for _, stream := range []bool{true, false} {
				s, err := in.chat(context.Background(), callKey, "quick", "", prompt, stream)
				So(err, ShouldBeNil)
				So(s.status, ShouldEqual, http.StatusOK)
				So(s.done, ShouldBeTrue)
				So(s.text, ShouldEqual, want(prompt, 40))
				So(s.finish, ShouldEqual, "stop")
			}
		}
	})
	Convey("A call of a service runs once for a key, and a repeat elsewhere gets the same bytes", t, func() {
		first, err := f.at(0).call(context.Background(), http.MethodPost, "/book", "k1", `{"visit":1}`)
		So(err, ShouldBeNil)
		So(first.status, ShouldEqual, http.StatusOK)
		again, err := f.at(2).call(context.Background(), http.MethodPost, "/book", "k1", `{"visit":1}`)
		So(err, ShouldBeNil)
		So(again.raw, ShouldEqual, first.raw)
		other, err := f.at(1).call(context.Background(), http.MethodPost, "/book", "k1", `{"visit":2}`)
		So(err, ShouldBeNil)
		So(other.status, ShouldEqual, http.StatusUnprocessableEntity)
		So(ran(svc.Addr)["k1"], ShouldEqual, 1)
	})
	Convey("Each refusal says why and that the request did not run", t, func() {
		s, err := f.at(1).chat(context.Background(), "wrong", "quick", "", "x", false)
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusUnauthorized)
		So(s.fail.Ran, ShouldEqual, chat.RanNo)
		s, err = f.at(1).chat(context.Background(), callKey, "nosuch", "", "x", false)
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusBadRequest)
		s, err = f.at(1).call(context.Background(), http.MethodPost, "/book", "", "{}")
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusBadRequest)
		So(s.fail.Code, ShouldEqual, "idempotency_key_required")
	})
}
