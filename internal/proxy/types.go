package proxy

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/place"
)

type (
	// Caller is what a request's header says. ID names this sending; a caller that repeats uses another one. Deadline is how
	// long the caller waits, or 0 where it does not say; Key is its API key. Input and Output are tokens.
	Caller struct {
		ID       string
		Deadline time.Duration
		Key      string
		Input    int
		Output   int
		Parts    []place.PromptPart
	}

	// Sending is what the router sets on a request to an endpoint. Endpoint is the one that shall run it; Organisation is
	// empty on public routes; After is the last event that the caller has, or "" where the answer starts anew.
	Sending struct {
		Endpoint     string
		Organisation string
		Deadline     time.Duration
		Priority     int
		Engine       bool
		After        string
		// Source is an engine that has leading parts of the prompt in its cache, which the endpoint may fetch; it may be invalid.
		Source netip.AddrPort
	}

	// Answer is what the header of an answer says. ID names the request that it belongs to, or is empty; Signed tells that an
	// endpoint made it, NotRun that the endpoint has not run the request, Misled that it is another endpoint than was meant,
	// and Keep how long the endpoint keeps an idle connection.
	Answer struct {
		ID     string
		Signed bool
		NotRun bool
		Misled bool
		Keep   time.Duration
	}

	// Dialect translates between the header of a wire and what it says.
	Dialect interface {
		// Caller decodes a request's header.
		Caller(h http.Header) (Caller, error)
		// Forward makes a copy of a request's header into the one that the endpoint gets.
		Forward(h http.Header, s Sending)
		// Answer decodes the header of an endpoint's answer.
		Answer(status int, h http.Header) Answer
	}
)
