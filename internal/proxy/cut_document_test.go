package proxy

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCutDocumentLooksComplete guards against a buffered answer that was cut with its connection and reaches its caller with a
// length.
func TestCutDocumentLooksComplete(t *testing.T) {
	closeAfter := func(contentType, body string) responder {
		return func(req receivedRequest, c net.Conn) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nSigned: y\r\nContent-Type: %s\r\n\r\n%s",
				req.Header.Get("Id"), contentType, body)
			return false
		}
	}
	cut := map[string]responder{
		"a JSON document": closeAfter("application/json", `{"status":"don`),
		"a problem":       closeAfter("application/problem+json; charset=utf-8", ""),
		"an event stream": closeAfter("text/event-stream", eventRange(1, 3)+event(4)[:9]),
	}
	for name, respond := range cut {
		Convey("after "+name+" that was cut, a repeatable request is served by another endpoint", t, func() {
			resp := newHarness(t, respond, echo).send(http.MethodGet, "/repeat/", "")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, "echo ")
		})
		Convey("after "+name+" that was cut, a request that may run only once is not retried and not reported as not run", t, func() {
			h := newHarness(t, respond, echo)
			So(h.send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusBadGateway)
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		})
	}
	Convey("a whole document or another body that ends with its connection is forwarded", t, func() {
		for _, body := range []string{`{"status":"done"}`, `"x"`, " [1, 2]\n"} {
			resp := newHarness(t, closeAfter("application/json", body)).send(http.MethodPost, "/once/", "x")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(resp.body, ShouldEqual, body)
		}
		resp := newHarness(t, closeAfter("text/plain", "{")).send(http.MethodPost, "/once/", "x")
		So(resp.body, ShouldEqual, "{")
	})
	Convey("an answer without a body has none to be cut", t, func() {
		noBody := func(status int) responder {
			return func(req receivedRequest, c net.Conn) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\nSigned: y\r\nContent-Type: application/json\r\n\r\n", status, req.Header.Get("Id"))
				return true
			}
		}
		So(newHarness(t, noBody(http.StatusOK)).send(http.MethodHead, "/repeat/", "").status, ShouldEqual, http.StatusOK)
		So(newHarness(t, noBody(http.StatusNoContent)).send(http.MethodPost, "/once/", "x").status, ShouldEqual, http.StatusNoContent)
	})
}
