package proxy

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/place"
)

type (
	// RequestInfo holds the decoded header fields of a caller's request.
	RequestInfo struct {
		// ID identifies this request; a caller that retries uses a new one.
		ID string
		// Deadline is how long the caller waits, or 0 if unknown.
		Deadline time.Duration
		// Key is the caller's API key.
		Key string
		// InputTokens and OutputTokens are the numbers of prompt and generated tokens.
		InputTokens  int
		OutputTokens int
		Parts        []place.PromptPart
		// Resumes is the ID of the caller's request that brought the first event of the stream that this one continues, and
		// LastEventID the last event that the caller has; both may be empty.
		Resumes     string
		LastEventID string
	}

	// ForwardInfo holds the header fields that the router sets on a forwarded request.
	ForwardInfo struct {
		// Endpoint is the ID of the intended endpoint.
		Endpoint string
		// Organisation is the name of the caller's organisation, or empty on public routes.
		Organisation string
		// Deadline is the time left until the request's deadline.
		Deadline time.Duration
		Priority int
		// Engine is set if the endpoint is a model engine.
		Engine bool
		// LastEventID is the last event that the caller already has, or empty for a complete response.
		LastEventID string
		// FetchFrom is an engine whose cache holds leading parts of the prompt, from which the endpoint may fetch them; it
		// may be invalid.
		FetchFrom netip.AddrPort
	}

	// ResponseInfo holds the decoded header fields of a response.
	ResponseInfo struct {
		// ID is that of the request to which the response belongs, or empty.
		ID string
		// Signed means that an endpoint produced the response.
		Signed bool
		// NotRun means that the endpoint has not run the request.
		NotRun bool
		// Misdirected means that the request reached a different endpoint than intended.
		Misdirected bool
		// Leaving means that the endpoint takes no new requests.
		Leaving bool
		// Pause is how long the endpoint wants no requests of this instance, or 0.
		Pause time.Duration
		// Limit is the rate of requests that the endpoint takes.
		Limit RateLimit
		// Brittle tells how many requests the endpoint bears to turn away.
		Brittle Brittleness
		// IdleTimeout is how long the endpoint keeps an idle connection, or 0 if unknown.
		IdleTimeout time.Duration
	}

	// RateLimit is a rate of requests that an endpoint takes from all instances together. Named is unset if it names none, Malformed set
	// if PerSecond is not known. Text is what the endpoint sent.
	RateLimit struct {
		Named     bool
		Malformed bool
		PerSecond float64
		Text      string
	}

	// Brittleness is the number of requests that an endpoint can turn away in a second without falling over. Named is unset if it names
	// none, Malformed set if the number is not known. Text is what the endpoint sent.
	Brittleness struct {
		Named     bool
		Malformed bool
		Refusals  int
		Text      string
	}

	// Dialect translates between the headers of a protocol and their meaning.
	Dialect interface {
		// DecodeRequest decodes the header of a request. An error means that the request is invalid.
		DecodeRequest(h http.Header) (RequestInfo, error)
		// EncodeRequest turns h, a copy of the request's header, into the header sent to the endpoint.
		EncodeRequest(h http.Header, info ForwardInfo)
		// StartTarget returns the request target at which model engines tell their start time.
		StartTarget() string
		// DecodeStart decodes an engine's answer at that target. told is unset if it has no start time, which is in Unix milliseconds.
		DecodeStart(body []byte) (startedAtMS int64, told bool, err error)
		// DecodeResponse decodes the status and header of an endpoint's response.
		DecodeResponse(status int, h http.Header) ResponseInfo
	}
)

// belongsTo reports whether a response is one to the request with the given ID. A refusal may lack the ID, but then belongs to the request
// only if it is the first response on its connection: on others it may follow the response to an earlier request.
func (info *ResponseInfo) belongsTo(requestID string, first bool) bool {
	return info.ID == requestID || first && info.isUnnamedRefusal()
}

// isUnnamedRefusal reports whether a response says that a request has not run and does not tell which.
func (info *ResponseInfo) isUnnamedRefusal() bool {
	return info.ID == "" && (info.NotRun || info.Misdirected)
}
