package place

import (
	"errors"
	"net/netip"
	"time"
)

// Outcomes of an attempt.
const (
	// Completed means that the endpoint answered completely.
	Completed Outcome = iota + 1
	// CallerLeft means that the caller disconnected or its deadline passed before the endpoint answered.
	CallerLeft
	// Declined means that the endpoint answered that it did not run the request.
	Declined
	// Failed means that the endpoint answered with an error or with an invalid answer.
	Failed
	// ConnectionLost means that the connection was lost during the request.
	ConnectionLost
	// ConnectFailed means that no connection could be established.
	ConnectFailed
	// WrongEndpoint means that another endpoint answered at the address.
	WrongEndpoint
	// TimedOut means that the endpoint did not answer in time.
	TimedOut
)

// maxParts is the maximum number of prompt parts in a request.
const maxParts = 64

type (
	// Outcome is the way in which an attempt ended.
	Outcome uint8

	// PromptPart is one segment of a prompt, identified by a hash. Requests with the same leading parts share an engine's cache.
	PromptPart struct {
		ID     uint64 `json:"i"`
		Tokens int    `json:"t"`
	}

	// Request holds what a placement depends on. Entry is the entry instance that has the request. BodyBytes is the size of the body;
	// InputTokens and OutputTokens are the numbers of prompt and generated tokens. Avoid lists the IDs of endpoints that must not be chosen.
	// LatencyTarget is the latency objective; TimeLeft is the time until the caller's deadline.
	Request struct {
		AttemptID     string        `json:"run"`
		Service       string        `json:"service"`
		Entry         string        `json:"entry"`
		Zone          string        `json:"zone"`
		Priority      int           `json:"priority"`
		BodyBytes     int           `json:"bytes,omitempty"`
		InputTokens   int           `json:"input,omitempty"`
		OutputTokens  int           `json:"output,omitempty"`
		Parts         []PromptPart  `json:"parts,omitempty"`
		Avoid         []string      `json:"avoid,omitempty"`
		LatencyTarget time.Duration `json:"target"`
		TimeLeft      time.Duration `json:"left"`
	}

	// Choice is the endpoint chosen for a request. StartedAtMS is the start time of the endpoint in Unix milliseconds. PrefillTokens
	// is the estimated number of prompt tokens to prefill, FetchTokens the number of tokens to fetch from the engine FetchFrom.
	// ExpectedLatency is the expected time to the first answer, Running the number of requests in progress at the endpoint, and
	// Alternatives the number of other endpoints that can take the request. LoadAge is the age of the load information about other
	// entry instances.
	Choice struct {
		ID              string         `json:"id"`
		Addr            netip.AddrPort `json:"addr"`
		StartedAtMS     int64          `json:"born"`
		Zone            string         `json:"zone"`
		PrefillTokens   int            `json:"need,omitempty"`
		FetchTokens     int            `json:"moved,omitempty"`
		FetchFrom       netip.AddrPort `json:"source"`
		ExpectedLatency time.Duration  `json:"expected"`
		Running         int            `json:"running"`
		Alternatives    int            `json:"others"`
		LoadAge         time.Duration  `json:"age,omitempty"`
	}

	// Event reports progress of an attempt: Start and EndpointID if the entry instance chose the endpoint, FirstAnswer, the time to
	// the first answer, or Outcome at its end.
	Event struct {
		AttemptID   string        `json:"run"`
		Start       *Request      `json:"start,omitempty"`
		EndpointID  string        `json:"at,omitempty"`
		FirstAnswer time.Duration `json:"first,omitempty"`
		Outcome     Outcome       `json:"end,omitempty"`
	}

	// ServiceLoad is the load of a service's endpoints; idle endpoints are omitted.
	ServiceLoad struct {
		Service   string         `json:"s"`
		Endpoints []EndpointLoad `json:"e"`
	}

	// EndpointLoad is the load of an endpoint as seen by the leader: the number of requests in progress, the estimated time to
	// prefill their prompts, and the failure count in tenths.
	EndpointLoad struct {
		ID            string        `json:"i"`
		Running       int           `json:"r"`
		Backlog       time.Duration `json:"b,omitempty"`
		FailureTenths int           `json:"t,omitempty"`
	}
)

// Check validates a request.
func (r *Request) Check() error {
	switch {
	case r.AttemptID == "" || r.Service == "":
		return errors.New("placement request: attempt ID or service is missing")
	case r.InputTokens < 0 || r.OutputTokens < 0:
		return errors.New("placement request: negative number of tokens")
	case len(r.Parts) > maxParts:
		return errors.New("placement request: too many prompt parts")
	}
	return nil
}
