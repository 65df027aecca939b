package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLargeFailureLooksLikeRefusal guards against failures too large to be buffered that tell callers that nothing has run.
func TestLargeFailureLooksLikeRefusal(t *testing.T) {
	body := strings.Repeat("x", maxBufferedResponseBytes+1)
	for _, status := range []int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	} {
		for framing, write := range map[string]func(c net.Conn, head string){
			"length": func(c net.Conn, head string) {
				_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			},
			"chunks": func(c net.Conn, head string) {
				_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
			},
			"connection": func(c net.Conn, head string) { _, _ = fmt.Fprintf(c, "%s\r\n%s", head, body) },
		} {
			Convey(fmt.Sprintf("a large failure with status %d and the framing %s is no refusal", status, framing), t, func() {
				runs := 0
				h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
					runs++
					write(c, fmt.Sprintf("HTTP/1.1 %d X\r\nSigned: 1\r\nId: %s\r\n", status, req.Header.Get("Id")))
					return false
				})
				resp := h.send(http.MethodPost, "/once/", "x")
				if status == http.StatusMisdirectedRequest {
					// The endpoint has not run what reached it by mistake.
					So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
					return
				}
				So(resp.status, ShouldEqual, http.StatusBadGateway)
				So(runs, ShouldEqual, 1)
			})
		}
	}
}
