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
	// Withdrawn means that nothing was sent to the endpoint.
	Withdrawn
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

	// Request holds what a placement depends on.
	Request struct {
		AttemptID string `json:"run"`
		Service   string `json:"service"`
		// Entry is the name of the entry instance that has the request, Zone its availability zone.
		Entry    string `json:"entry"`
		Zone     string `json:"zone"`
		Priority int    `json:"priority"`
		// BodyBytes is the size of the request body.
		BodyBytes int `json:"bytes,omitempty"`
		// InputTokens is the number of prompt tokens, OutputTokens that of generated ones.
		InputTokens  int          `json:"input,omitempty"`
		OutputTokens int          `json:"output,omitempty"`
		Parts        []PromptPart `json:"parts,omitempty"`
		// ExcludedIDs lists the IDs of endpoints that must not be chosen.
		ExcludedIDs []string `json:"avoid,omitempty"`
		// Build is the only software version that may be chosen, or empty.
		Build string `json:"build,omitempty"`
		// LatencyTarget is the latency objective.
		LatencyTarget time.Duration `json:"target"`
		// GapTarget is the largest time between the events of a stream that is on time, or 0 if there is none or it is unknown.
		GapTarget time.Duration `json:"gap,omitempty"`
		// TimeLeft is the time until the caller's deadline.
		TimeLeft time.Duration `json:"left"`
	}

	// Choice is the endpoint chosen for a request.
	Choice struct {
		ID   string         `json:"id"`
		Addr netip.AddrPort `json:"addr"`
		// StartedAtMS is the start time of the endpoint in Unix milliseconds.
		StartedAtMS int64 `json:"born"`
		// Build is the version of the endpoint's software, or empty if it is not known.
		Build string `json:"build,omitempty"`
		Zone  string `json:"zone"`
		// PrefillTokens is the estimated number of prompt tokens to prefill.
		PrefillTokens int `json:"need,omitempty"`
		// FetchTokens is the number of tokens to fetch from the cache of the engine FetchFrom.
		FetchTokens int            `json:"moved,omitempty"`
		FetchFrom   netip.AddrPort `json:"source"`
		// ExpectedLatency is the expected time to the first answer.
		ExpectedLatency time.Duration `json:"expected"`
		// Running is the number of requests in progress at the endpoint.
		Running int `json:"running"`
		// Alternatives is the number of other endpoints that can take the request.
		Alternatives int `json:"others"`
		// LoadAge is the age of the load information about other entry instances.
		LoadAge time.Duration `json:"age,omitempty"`
	}

	// Event reports progress of an attempt, or the limit, brittleness or speed of an endpoint.
	Event struct {
		AttemptID string `json:"run,omitempty"`
		// Limit reports what an endpoint said of its limit; no other field is set then.
		Limit *Limit `json:"limit,omitempty"`
		// Brittle reports what an endpoint said of its brittleness; no other field is set then.
		Brittle *Brittle `json:"brittle,omitempty"`
		// Speed reports the speed of an engine that an earlier leader learned; no other field is set then.
		Speed *Speed `json:"speed,omitempty"`
		// Start and EndpointID report an attempt for which the entry instance chose the endpoint.
		Start      *Request `json:"start,omitempty"`
		EndpointID string   `json:"at,omitempty"`
		// FirstAnswer is the time from the start to the first answer, or 0.
		FirstAnswer time.Duration `json:"first,omitempty"`
		// LongestPause is the longest time between two events of a stream that has ended, or 0.
		LongestPause time.Duration `json:"pause,omitempty"`
		// Outcome is set at the end of the attempt.
		Outcome Outcome `json:"end,omitempty"`
	}

	// ServiceLoad is the load of a service's endpoints; idle endpoints are omitted.
	ServiceLoad struct {
		Service   string         `json:"s"`
		Endpoints []EndpointLoad `json:"e"`
		// Limits holds the limits that endpoints name.
		Limits []Limit `json:"l,omitempty"`
		// Brittles holds the brittle endpoints.
		Brittles []Brittle `json:"f,omitempty"`
		// Speeds holds the known speeds of the engines, if they differ.
		Speeds []Speed `json:"v,omitempty"`
	}

	// EndpointLoad is the load of an endpoint as seen by the leader.
	EndpointLoad struct {
		ID string `json:"i"`
		// Running is the number of requests in progress.
		Running int `json:"r"`
		// Backlog is the estimated time to prefill their prompts.
		Backlog time.Duration `json:"b,omitempty"`
		// FailureTenths is the failure count, in tenths of a failure.
		FailureTenths int `json:"t,omitempty"`
	}
)

// Check validates a request.
func (r *Request) Check() error {
	switch {
	case r.AttemptID == "" || r.Service == "":
		return errors.New("request: run or service is missing")
	case r.InputTokens < 0 || r.OutputTokens < 0:
		return errors.New("request: negative size")
	case len(r.Parts) > maxParts:
		return errors.New("request: too many parts")
	}
	return nil
}
