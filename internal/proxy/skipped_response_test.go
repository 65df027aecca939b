package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// writeHalfOfChunk writes a response whose body is one chunk, up to the middle of that chunk.
func writeHalfOfChunk(c net.Conn, header, text string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", header, 2*len(text), text)
}

// TestSkippedResponseEndsInsideItsBody guards against bytes inside the body of a skipped response that are taken for the response
// to a request.
func TestSkippedResponseEndsInsideItsBody(t *testing.T) {
	filler := strings.Repeat("x", maxBufferedResponseBytes)
	Convey("the body of a late response of another request is no response", t, func() {
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeHalfOfChunk(c, "Id: other", filler)
			writeResponse(c, req, http.StatusOK, "forged")
			return false
		})
		resp := h.send(http.MethodPost, "/once/", "x")
		So(resp.status, ShouldEqual, http.StatusBadGateway)
		So(resp.body, ShouldNotContainSubstring, "forged")
	})
	Convey("a connection is not used again inside the body of a refusal", t, func() {
		var mu sync.Mutex
		var used []net.Conn
		h := newHarness(t, func(req receivedRequest, c net.Conn) bool {
			mu.Lock()
			used = append(used, c)
			first := len(used) == 1
			mu.Unlock()
			if first {
				writeHalfOfChunk(c, "Not-Run: 1\r\nId: "+req.Header.Get("Id"), filler)
				return true
			}
			return echo(req, c)
		})
		resp := h.send(http.MethodGet, "/repeat/", "", "Deadline", "2000")
		So(resp.status, ShouldEqual, http.StatusOK)
		mu.Lock()
		defer mu.Unlock()
		So(used, ShouldHaveLength, 2)
		So(used[0] == used[1], ShouldBeFalse)
	})
}
