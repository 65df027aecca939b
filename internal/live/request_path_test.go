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

func TestRequestPathAcrossThreeInstances(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.startEngine("e1", "a")
	f.startEngine("e2", "b")
	svc := f.startService("s1", "a")
	f.putContract(contract("acme", callerKey))
	f.waitForEndpoints("m", 2)
	f.waitForEndpoints("bookings", 1)
	Convey("A request at any instance gets its complete response", t, func() {
		for i := range f.Instances {
			in := f.instance(i)
			prompt := fmt.Sprintf("question %d [[out=40]]", i)
			for _, stream := range []bool{true, false} {
				resp, err := in.chat(context.Background(), callerKey, "quick", "", prompt, stream)
				So(err, ShouldBeNil)
				So(resp.status, ShouldEqual, http.StatusOK)
				So(resp.complete, ShouldBeTrue)
				So(resp.text, ShouldEqual, wantText(prompt, 40))
				So(resp.finishReason, ShouldEqual, "stop")
			}
		}
	})
	Convey("A service call runs once for a key, and a retry at another instance gets the same bytes", t, func() {
		first, err := f.instance(0).callService(context.Background(), http.MethodPost, "/book", "k1", `{"visit":1}`)
		So(err, ShouldBeNil)
		So(first.status, ShouldEqual, http.StatusOK)
		again, err := f.instance(2).callService(context.Background(), http.MethodPost, "/book", "k1", `{"visit":1}`)
		So(err, ShouldBeNil)
		So(again.body, ShouldEqual, first.body)
		other, err := f.instance(1).callService(context.Background(), http.MethodPost, "/book", "k1", `{"visit":2}`)
		So(err, ShouldBeNil)
		So(other.status, ShouldEqual, http.StatusUnprocessableEntity)
		So(runCounts(svc.Addr)["k1"], ShouldEqual, 1)
	})
	Convey("Models are listed without services, and neither can be reached through the other's path", t, func() {
		req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/models", f.Instances[0].Callers), nil)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := send(req)
		So(err, ShouldBeNil)
		So(resp.body, ShouldEqual, `{"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"greengagewheel"}]}`)
		req, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/services/m/book", f.Instances[0].Callers), strings.NewReader("{}"))
		req.Header.Set("Authorization", "Bearer "+callerKey)
		req.Header.Set("Idempotency-Key", "no-service")
		resp, err = send(req)
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusNotFound)
		req, _ = http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/v1/chat/completions", f.Instances[0].Callers),
			strings.NewReader(`{"model":"bookings","messages":[{"role":"user","content":"x"}]}`))
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err = send(req)
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusNotFound)
	})
	Convey("Each refusal gives its reason and says that the request did not run", t, func() {
		resp, err := f.instance(1).chat(context.Background(), "wrong", "quick", "", "x", false)
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusUnauthorized)
		So(resp.failure.Ran, ShouldEqual, chat.RanNo)
		resp, err = f.instance(1).chat(context.Background(), callerKey, "nosuch", "", "x", false)
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusBadRequest)
		resp, err = f.instance(1).callService(context.Background(), http.MethodPost, "/book", "", "{}")
		So(err, ShouldBeNil)
		So(resp.status, ShouldEqual, http.StatusBadRequest)
		So(resp.failure.Code, ShouldEqual, "idempotency_key_required")
	})
}
