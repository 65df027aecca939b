package sched

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/route"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// Kinds of decision.
const (
	// Wait means that the request is queued.
	Wait Verb = iota
	// Granted means that the request may run on the target endpoint.
	Granted
	// Refused means that the request will not run; the code tells why.
	Refused
	// Elsewhere means that another entry handles the request or keeps its answer.
	Elsewhere
)

// Reasons for a refusal.
const (
	// Over means that the customer exceeds a limit of its contract.
	Over Code = "over_contract"
	// Shed means that demand exceeds the capacity of the cell.
	Shed Code = "overloaded"
	// Late means that the request was queued for as long as its class allows.
	Late Code = "late"
	// Spent means that the spending ceiling of the customer is reached.
	Spent Code = "ceiling"
	// NoEndpoint means that no endpoint serves the model at present.
	NoEndpoint Code = "no_endpoint"
)

// Queueing policies.
const (
	// ByContract serves by guaranteed share, then by tier and share.
	ByContract Policy = "contract"
	// FIFO serves in the order of arrival and ignores the contracts. It is a baseline for comparisons.
	FIFO Policy = "fifo"
)

const (
	// MaxBlocks is the largest number of prefix block hashes in one request.
	MaxBlocks = 32
	// maxExcluded is the largest number of endpoints that one request may exclude.
	maxExcluded = 16
)

type (
	// Verb is the kind of a decision.
	Verb uint8

	// Policy selects the order in which queued requests are served.
	Policy string

	// Code is the reason for a refusal.
	Code string

	// Terms holds the contract terms of a class in the scheduler's units. Zero limits mean "no limit".
	Terms struct {
		// Tier is the service tier; 1 is the highest.
		Tier int
		// Share is the guaranteed share of the cell's capacity, as a fraction of 1.
		Share float64
		// Patience is the longest time in the queue.
		Patience time.Duration
		// Rate and Burst limit the requests: requests per second and requests.
		Rate  float64
		Burst float64
		// Tokens limits input and output tokens per second.
		Tokens float64
		// Running limits the concurrent requests.
		Running int
		// Price is the price of 1,000 tokens, in micro-euros.
		Price int64
		// Capped tells that the customer has a spending ceiling.
		Capped bool
	}

	// Ask is a request for a grant; the prompt itself stays at the entry. Input is the length of the prompt and Bound the
	// largest possible length of the output, both in tokens. Blocks holds hashes of the prompt's prefix blocks, and Avoid the
	// boot IDs of endpoints that must not be chosen. Solo requires an endpoint that runs nothing else. Waited is the time since
	// the request arrived at its entry. Steal moves the request from another entry to this one. Named tells that the caller
	// chose the ID and may send the request again.
	Ask struct {
		ID       string         `json:"id"`
		Entry    string         `json:"entry"`
		Addr     netip.AddrPort `json:"addr"`
		Customer string         `json:"customer"`
		Class    string         `json:"class"`
		Zone     string         `json:"zone"`
		Input    int            `json:"input"`
		Bound    int            `json:"bound"`
		Blocks   []uint64       `json:"blocks,omitempty"`
		Avoid    []string       `json:"avoid,omitempty"`
		Solo     bool           `json:"solo,omitempty"`
		Attempt  int            `json:"attempt,omitempty"`
		Waited   time.Duration  `json:"waited,omitempty"`
		Steal    bool           `json:"steal,omitempty"`
		Named    bool           `json:"named,omitempty"`
	}

	// Target is the endpoint of a grant. Lookup tells that the endpoint can be asked for the outcome of an earlier call.
	Target struct {
		Name   string         `json:"name"`
		Boot   string         `json:"boot"`
		Addr   netip.AddrPort `json:"addr"`
		Zone   string         `json:"zone"`
		Kind   endpt.Kind     `json:"kind"`
		Lookup bool           `json:"lookup,omitempty"`
	}

	// Verdict is the scheduler's decision on the request of the entry Asker. Target is set for a grant, Code and Retry for a
	// refusal, and Entry for a redirect. Queued is the time from arrival to grant. Before tells that an earlier transmission of
	// the request may have run.
	Verdict struct {
		ID      string         `json:"id"`
		Asker   string         `json:"asker"`
		Attempt int            `json:"attempt"`
		Verb    Verb           `json:"verb"`
		Epoch   uint64         `json:"epoch"`
		Target  Target         `json:"target"`
		Code    Code           `json:"code,omitempty"`
		Retry   time.Duration  `json:"retry,omitempty"`
		Entry   netip.AddrPort `json:"entry"`
		Queued  time.Duration  `json:"queued,omitempty"`
		Before  bool           `json:"before,omitempty"`
	}

	// Done reports the end of a run. Broken tells that the endpoint failed, Unsent that the request was not sent to it. First is
	// the time to the first token, Gap the mean time between tokens, and Tokens the length of the output.
	Done struct {
		ID      string        `json:"id"`
		Attempt int           `json:"attempt"`
		Broken  bool          `json:"broken,omitempty"`
		Unsent  bool          `json:"unsent,omitempty"`
		First   time.Duration `json:"first,omitempty"`
		Gap     time.Duration `json:"gap,omitempty"`
		Tokens  int           `json:"tokens,omitempty"`
	}

	// Progress is one run in an entry's report. Gap is the mean time between tokens so far, and Since the time since the grant.
	Progress struct {
		Ask    Ask           `json:"ask"`
		Target Target        `json:"target"`
		Gap    time.Duration `json:"gap,omitempty"`
		Since  time.Duration `json:"since"`
	}

	// Report lists all runs of an entry in a cell.
	Report struct {
		Entry string     `json:"entry"`
		Runs  []Progress `json:"runs,omitempty"`
	}

	// Options configures a scheduler.
	Options struct {
		// Queue is the largest number of queued requests.
		Queue int
		// Gap is the target for the mean time between tokens, to which the endpoints' limits are adapted.
		Gap time.Duration
		// Settle is how long a new scheduler waits for reports of running requests before it grants.
		Settle time.Duration
		Policy Policy
		Choice route.Choice
		// Seed seeds the random choice of endpoints.
		Seed uint64
		// Shared tells that other schedulers use the endpoints too, so that the load they report counts.
		Shared bool
	}
)

// Check returns an error that names the first missing or invalid field.
func (r *Ask) Check() error {
	switch {
	case r.ID == "" || r.Entry == "" || !r.Addr.IsValid():
		return errors.New("grant request: ID, entry or address is missing")
	case r.Customer == "" || r.Class == "":
		return errors.New("grant request: customer or class is missing")
	case r.Input < 0 || r.Bound < 0 || r.Attempt < 0:
		return errors.New("grant request: number of input tokens, output tokens or attempts is negative")
	case len(r.Blocks) > MaxBlocks:
		return fmt.Errorf("grant request: more than %d prefix blocks", MaxBlocks)
	case len(r.Avoid) > maxExcluded:
		return fmt.Errorf("grant request: more than %d excluded endpoints", maxExcluded)
	}
	return nil
}
