package proxy

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/place"
)

type (
	// RequestInfo holds the decoded header fields of a caller's request. ID identifies this request; a caller that
	// retries uses a new one. Deadline is how long the caller waits, or 0 if unknown; Key is its API key. InputTokens and
	// Output are in tokens.
	RequestInfo struct {
		ID           string
		Deadline     time.Duration
		Key          string
		InputTokens  int
		OutputTokens int
		Parts        []place.PromptPart
	}

	// ForwardInfo holds the header fields that the router sets on a forwarded request. Endpoint is the intended
	// endpoint; Organisation is empty on public routes; LastEventID is the last event the caller already has, or "" for a
	// complete response.
	ForwardInfo struct {
		Endpoint     string
		Organisation string
		Deadline     time.Duration
		Priority     int
		Engine       bool
		LastEventID  string
		// FetchFrom is an engine whose cache holds leading parts of the prompt, from which the endpoint may fetch them; it
		// may be invalid.
		FetchFrom netip.AddrPort
	}

	// ResponseInfo holds the decoded header fields of a response. ID is that of the request it belongs to, or empty.
	// Signed means that an endpoint produced it, NotRun that the endpoint has not run the request, and Misdirected that
	// the request reached a different endpoint than intended. IdleTimeout is how long the endpoint keeps an idle
	// connection, or 0 if unknown.
	ResponseInfo struct {
		ID          string
		Signed      bool
		NotRun      bool
		Misdirected bool
		IdleTimeout time.Duration
	}

	// Dialect translates between the headers of a protocol and their meaning.
	Dialect interface {
		// DecodeRequest decodes the header of a request. An error means that the request is invalid.
		DecodeRequest(h http.Header) (RequestInfo, error)
		// EncodeRequest turns h, a copy of the request's header, into the header sent to the endpoint.
		EncodeRequest(h http.Header, info ForwardInfo)
		// DecodeResponse decodes the status and header of an endpoint's response.
		DecodeResponse(status int, h http.Header) ResponseInfo
	}
)
