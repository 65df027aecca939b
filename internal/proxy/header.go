package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// single are the header fields that concern one connection only.
var single = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of a header without the fields that concern one connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for f := range strings.SplitSeq(v, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(f)))
		}
	}
	for _, f := range single {
		delete(out, f)
	}
	delete(out, "Content-Length")
	delete(out, "Host")
	return out
}
