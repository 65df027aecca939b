package place

import (
	"errors"
	"net/netip"
	"time"
)

// Outcomes of a run.
const (
	// Done: the endpoint answered whole.
	Done Outcome = iota + 1
	// Left: the caller left or its time was over before the endpoint had answered.
	Left
	// Declined: the endpoint said that it has not run the request.
	Declined
	// Failed: the endpoint answered with a failure, or with what is no answer.
	Failed
	// Broken: the connection was lost under the request.
	Broken
	// Unreached: no connection could be made.
	Unreached
	// Misled: another endpoint has the address.
	Misled
	// Silent: the endpoint did not answer in time.
	Silent
)

const maxParts = 64

type (
	// Outcome tells how a run ended.
	Outcome uint8

	// Part is one leading part of a prompt that requests may share.
	Part struct {
		ID     uint64 `json:"i"`
		Tokens int    `json:"t"`
	}

	// Request is what a placement depends on. Run names the attempt at one endpoint; Bytes is the
	// size of its body, Input and Output are tokens. Left is the time until its caller leaves.
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

	// Choice is the endpoint for a request, with the prompt tokens that it must likely read, those that it can fetch from the
	// engine Source, the expected time to its first answer, the number of requests that run there, and that of other endpoints
	// that could take the request. Age is that of what the board was told of the requests of others.
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

	// Event tells a board what became of a run: Start where an entry chose for itself, First at the first answer, or End.
	Event struct {
		Run   string        `json:"run"`
		Start *Request      `json:"start,omitempty"`
		At    string        `json:"at,omitempty"`
		First time.Duration `json:"first,omitempty"`
		End   Outcome       `json:"end,omitempty"`
	}

	// Loads holds how loaded the endpoints of a service are; those that are left out are idle.
	Loads struct {
		Service string    `json:"s"`
		Busy    []Summary `json:"e"`
	}

	// Summary is how loaded an endpoint is, for boards that see only a part of its requests.
	Summary struct {
		ID      string        `json:"i"`
		Running int           `json:"r"`
		Backlog time.Duration `json:"b,omitempty"`
		Trouble int           `json:"t,omitempty"`
	}
)

// Check returns an error for a request that cannot be placed.
func (q *Request) Check() error {
	switch {
	case q.Run == "" || q.Service == "":
		return errors.New("request: run or service is missing")
	case q.Input < 0 || q.Output < 0:
		return errors.New("request: negative size")
	case len(q.Parts) > maxParts:
		return errors.New("request: too many parts")
	}
	return nil
}
