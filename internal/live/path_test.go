package live

import (
	"context"
	"fmt"
	"net/http"
	"strings"
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
	Convey("The models are listed without the services, and neither is reached by the other's path", t, func() {
		q, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/models", f.Instances[0].Callers), nil)
		q.Header.Set("Authorization", "Bearer "+callKey)
		s, err := ask(q)
		So(err, ShouldBeNil)
		So(s.raw, ShouldEqual, `{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"greengagewheel"}]}`)
		q, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/services/m/book", f.Instances[0].Callers), strings.NewReader("{}"))
		q.Header.Set("Authorization", "Bearer "+callKey)
		q.Header.Set("Idempotency-Key", "no-service")
		s, err = ask(q)
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusNotFound)
		q, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", f.Instances[0].Callers),
			strings.NewReader(`{"model":"bookings","messages":[{"role":"user","content":"x"}]}`))
		q.Header.Set("Authorization", "Bearer "+callKey)
		s, err = ask(q)
		So(err, ShouldBeNil)
		So(s.status, ShouldEqual, http.StatusNotFound)
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
