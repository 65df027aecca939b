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
	// Waiting means that the request is queued.
	Waiting DecisionKind = iota
	// Granted means that the request may run on the target endpoint.
	Granted
	// Refused means that the request will not run; the code is the reason.
	Refused
	// Redirected means that another entry handles the request or keeps its answer.
	Redirected
)

// Reasons for a refusal.
const (
	// OverContract means that the customer exceeds a limit of its contract.
	OverContract RefusalCode = "over_contract"
	// Overloaded means that demand exceeds the capacity of the cell.
	Overloaded RefusalCode = "overloaded"
	// QueueTimeout means that the request was queued for as long as its class allows.
	QueueTimeout RefusalCode = "late"
	// CeilingReached means that the spending ceiling of the customer is reached.
	CeilingReached RefusalCode = "ceiling"
	// NoEndpoint means that no endpoint serves the model at present.
	NoEndpoint RefusalCode = "no_endpoint"
)

// Queueing policies.
const (
	// ByContract serves by guaranteed share, then by tier and share.
	ByContract Policy = "contract"
	// FIFO serves in the order of arrival and ignores the contracts. It is a baseline for comparisons.
	FIFO Policy = "fifo"
)

const (
	// MaxPrefixBlocks is the largest number of prefix block hashes in one request.
	MaxPrefixBlocks = 32
	// maxExcluded is the largest number of endpoints that one request may exclude.
	maxExcluded = 16
)

type (
	// DecisionKind is the kind of a decision.
	DecisionKind uint8

	// Policy selects the order in which queued requests are served.
	Policy string

	// RefusalCode is the reason for a refusal.
	RefusalCode string

	// Terms holds the contract terms of a class in the scheduler's units. A RequestRate, TokenRate or MaxRunning of 0 means
	// "no limit".
	Terms struct {
		// Tier is the service tier; 1 is the highest.
		Tier int
		// Share is the guaranteed share of the cell's capacity, as a fraction of 1.
		Share float64
		// MaxQueueTime is the longest time in the queue.
		MaxQueueTime time.Duration
		// RequestRate limits the requests per second, and RequestBurst is the largest burst in requests.
		RequestRate  float64
		RequestBurst float64
		// TokenRate limits input and output tokens per second.
		TokenRate float64
		// MaxRunning limits the concurrent requests.
		MaxRunning int
		// Price is the price of 1,000 tokens, in micro-euros.
		Price int64
		// HasCeiling is set if the customer has a spending ceiling.
		HasCeiling bool
	}

	// Request is a request for a grant; the prompt itself stays at the entry.
	Request struct {
		ID string `json:"id"`
		// Entry is the boot ID of the entry.
		Entry     string         `json:"entry"`
		EntryAddr netip.AddrPort `json:"addr"`
		Customer  string         `json:"customer"`
		Class     string         `json:"class"`
		Zone      string         `json:"zone"`
		// InputTokens is the length of the prompt, and MaxOutputTokens the largest possible length of the output.
		InputTokens     int `json:"input"`
		MaxOutputTokens int `json:"bound"`
		// PrefixBlocks holds hashes of the prompt's prefix blocks.
		PrefixBlocks []uint64 `json:"blocks,omitempty"`
		// ExcludedBoots holds the boot IDs of endpoints that must not be chosen.
		ExcludedBoots []string `json:"avoid,omitempty"`
		// Bound requires an endpoint of the software version Build, which is empty for those that tell none.
		Bound bool   `json:"tied,omitempty"`
		Build string `json:"build,omitempty"`
		// Exclusive requires an endpoint that runs nothing else.
		Exclusive bool `json:"solo,omitempty"`
		// Attempt is 0 for the first attempt at the request and grows with each retry.
		Attempt int `json:"attempt,omitempty"`
		// Waited is the time since the request arrived at its entry.
		Waited time.Duration `json:"waited,omitempty"`
		// TakeOver moves the request from another entry to this one.
		TakeOver bool `json:"steal,omitempty"`
		// IDFromCaller is set if the caller chose the ID; it may then send the request again.
		IDFromCaller bool `json:"named,omitempty"`
	}

	// Target is the endpoint of a grant. Lookup is set if the endpoint can be asked for the outcome of an earlier call.
	Target struct {
		Name   string         `json:"name"`
		Boot   string         `json:"boot"`
		Addr   netip.AddrPort `json:"addr"`
		Zone   string         `json:"zone"`
		Kind   endpt.Kind     `json:"kind"`
		Lookup bool           `json:"lookup,omitempty"`
		// Build is the version of the endpoint's software.
		Build string `json:"build,omitempty"`
	}

	// Decision is the scheduler's decision on a request of the entry Requester. Target is set for a grant, Code and RetryAfter
	// for a refusal, and EntryAddr for a redirect. QueueTime is the time from arrival to grant. MayHaveRun is set if an earlier
	// transmission of the request may have run.
	Decision struct {
		ID         string         `json:"id"`
		Requester  string         `json:"asker"`
		Attempt    int            `json:"attempt"`
		Kind       DecisionKind   `json:"verb"`
		Epoch      uint64         `json:"epoch"`
		Target     Target         `json:"target"`
		Code       RefusalCode    `json:"code,omitempty"`
		RetryAfter time.Duration  `json:"retry,omitempty"`
		EntryAddr  netip.AddrPort `json:"entry"`
		QueueTime  time.Duration  `json:"queued,omitempty"`
		MayHaveRun bool           `json:"before,omitempty"`
	}

	// Completion reports the end of a run. Unsent is set if the request was not sent to the endpoint, or used nothing there; MayHaveRun
	// if the endpoint may have begun it nevertheless. TokenInterval is the mean time between tokens.
	Completion struct {
		ID             string        `json:"id"`
		Attempt        int           `json:"attempt"`
		EndpointFailed bool          `json:"broken,omitempty"`
		Unsent         bool          `json:"unsent,omitempty"`
		MayHaveRun     bool          `json:"begun,omitempty"`
		FirstTokenTime time.Duration `json:"first,omitempty"`
		TokenInterval  time.Duration `json:"gap,omitempty"`
		OutputTokens   int           `json:"tokens,omitempty"`
	}

	// RunReport is one run in an entry's report. TokenInterval is the mean time between tokens so far, and RunningFor the time
	// since the grant.
	RunReport struct {
		Request       Request       `json:"ask"`
		Target        Target        `json:"target"`
		TokenInterval time.Duration `json:"gap,omitempty"`
		RunningFor    time.Duration `json:"since"`
	}

	// EntryReport lists all runs of an entry in a cell.
	EntryReport struct {
		Entry string      `json:"entry"`
		Runs  []RunReport `json:"runs,omitempty"`
	}

	// Options configures a scheduler.
	Options struct {
		// MaxQueued is the largest number of queued requests.
		MaxQueued int
		// TokenIntervalTarget is the target for the mean time between tokens, to which the endpoints' limits are adapted.
		TokenIntervalTarget time.Duration
		// SettleTime is how long a new scheduler waits for reports of running requests before it grants.
		SettleTime     time.Duration
		Policy         Policy
		EndpointChoice route.Policy
		// Seed seeds the random choice of endpoints.
		Seed uint64
		// SharedEndpoints is set if other schedulers use the endpoints too; the load that the endpoints report then counts.
		SharedEndpoints bool
	}
)

// Check returns an error that names the first missing or invalid field.
func (r *Request) Check() error {
	switch {
	case r.ID == "" || r.Entry == "" || !r.EntryAddr.IsValid():
		return errors.New("ask: ID, entry or address is missing")
	case r.Customer == "" || r.Class == "":
		return errors.New("ask: customer or class is missing")
	case r.InputTokens < 0 || r.MaxOutputTokens < 0 || r.Attempt < 0:
		return errors.New("ask: negative size")
	case len(r.PrefixBlocks) > MaxPrefixBlocks:
		return fmt.Errorf("ask: more than %d prefix blocks", MaxPrefixBlocks)
	case len(r.ExcludedBoots) > maxExcluded:
		return fmt.Errorf("ask: more than %d endpoints to avoid", maxExcluded)
	}
	return nil
}
