package answer

import (
	"mime"
	"net/http"
	"strings"
)

// Framings of a response.
const (
	FramedByLength     Framing = "length"
	FramedByChunks     Framing = "chunks"
	FramedByConnection Framing = "connection"
)

// Media types whose bodies show whether they are whole.
const (
	eventStreamType = "text/event-stream"
	jsonType        = "application/json"
	jsonSuffix      = "+json"
)

// Framing is how a response shows where its body ends.
type Framing string

// FramingOf returns the framing of a response. A body that ends with its connection looks the same whether the endpoint
// finished it or broke off, unless the connection is reset.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0, resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByConnection
}

// IsJSON reports whether a response declares its body as a JSON document.
func IsJSON(header http.Header) bool {
	name := mediaType(header)
	return name == jsonType || strings.HasSuffix(name, jsonSuffix)
}

// mediaType returns the media type of a body without its parameters, in lower case, or "".
func mediaType(header http.Header) string {
	name, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}
