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

// Framing is how a response shows where its body ends.
type Framing string

// FramingOf returns the framing of a response. A body that ends with its connection looks the same whether the endpoint
// finished it or broke off, unless the connection is reset.
func FramingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByConnection
}

// IsJSON reports whether a response declares its body as a JSON document.
func IsJSON(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}
