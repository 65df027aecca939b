package place

import (
	"errors"
	"net/netip"
	"time"
)

// Outcomes of an attempt.
const (
	// Done means that the endpoint answered completely.
	Done Outcome = iota + 1
	// Left means that the caller disconnected or its deadline passed before the endpoint answered.
	Left
	// Declined means that the endpoint answered that it did not run the request.
	Declined
	// Failed means that the endpoint answered with an error or with an invalid answer.
	Failed
	// Broken means that the connection was lost during the request.
	Broken
	// Unreached means that no connection could be established.
	Unreached
	// Misled means that another endpoint answered at the address.
	Misled
	// Silent means that the endpoint did not answer in time.
	Silent
)

// maxParts is the maximum number of prompt parts in a request.
const maxParts = 64

type (
	// Outcome is the way in which an attempt ended.
	Outcome uint8

	// Part is one segment of a prompt, identified by a hash. Requests with the same leading parts share an engine's cache.
	Part struct {
		ID     uint64 `json:"i"`
		Tokens int    `json:"t"`
	}

	// Request holds what a placement depends on. Run is the ID of the attempt; Entry is the entry instance that has the request.
	// Bytes is the size of the body, Input and Output are in tokens. Avoid lists the IDs of endpoints that must not be chosen.
	// Target is the latency objective; Left is the time until the caller's deadline.
	Request struct {
		Run      string        `json:"run"`
		Service  string        `json:"service"`
		Entry    string        `json:"entry"`
		Zone     string        `json:"zone"`
		Priority int           `json:"priority"`
		Bytes    int           `json:"bytes,omitempty"`
		Input    int           `json:"input,omitempty"`
		Output   int           `json:"output,omitempty"`
		Parts    []Part        `json:"parts,omitempty"`
		Avoid    []string      `json:"avoid,omitempty"`
		Target   time.Duration `json:"target"`
		Left     time.Duration `json:"left"`
	}

	// Choice is the endpoint chosen for a request. Born is the start time of the endpoint. Need is the estimated number of prompt
	// tokens to prefill, Moved the number of tokens to fetch from the engine Source. Expected is the expected time to the first
	// answer, Running the number of requests in progress at the endpoint, and Others the number of other endpoints that can take
	// the request. Age is the age of the load information about other entry instances.
	Choice struct {
		ID       string         `json:"id"`
		Addr     netip.AddrPort `json:"addr"`
		Born     int64          `json:"born"`
		Zone     string         `json:"zone"`
		Need     int            `json:"need,omitempty"`
		Moved    int            `json:"moved,omitempty"`
		Source   netip.AddrPort `json:"source"`
		Expected time.Duration  `json:"expected"`
		Running  int            `json:"running"`
		Others   int            `json:"others"`
		Age      time.Duration  `json:"age,omitempty"`
	}

	// Event reports progress of an attempt: Start and the endpoint ID At if the entry instance chose the endpoint, First, the time
	// to the first answer, or End, its outcome.
	Event struct {
		Run   string        `json:"run"`
		Start *Request      `json:"start,omitempty"`
		At    string        `json:"at,omitempty"`
		First time.Duration `json:"first,omitempty"`
		End   Outcome       `json:"end,omitempty"`
	}

	// Loads is the load of a service's endpoints; idle endpoints are omitted.
	Loads struct {
		Service string    `json:"s"`
		Busy    []Summary `json:"e"`
	}

	// Summary is the load of an endpoint as seen by the leader: the number of requests in progress, the estimated time to prefill
	// their prompts, and the failure count times 10.
	Summary struct {
		ID      string        `json:"i"`
		Running int           `json:"r"`
		Backlog time.Duration `json:"b,omitempty"`
		Trouble int           `json:"t,omitempty"`
	}
)

// Check validates a request.
func (r *Request) Check() error {
	switch {
	case r.Run == "" || r.Service == "":
		return errors.New("placement request: attempt ID or service is missing")
	case r.Input < 0 || r.Output < 0:
		return errors.New("placement request: negative number of tokens")
	case len(r.Parts) > maxParts:
		return errors.New("placement request: too many prompt parts")
	}
	return nil
}
