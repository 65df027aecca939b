package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of h without hop-by-hop fields, Content-Length and Host.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for field := range strings.SplitSeq(value, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(field)))
		}
	}
	for _, field := range hopByHopFields {
		delete(out, field)
	}
	delete(out, "Content-Length")
	delete(out, "Host")
	return out
}
