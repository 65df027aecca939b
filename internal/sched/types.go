package sched

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/route"
	"github.com/greengagewheel/greengagewheel/pkg/endpt"
)

// Kinds of verdict.
const (
	Wait Verb = iota
	Granted
	Refused
	Elsewhere
)

// Codes of a refusal.
const (
	// Over: the customer is beyond its own contract.
	Over Code = "over_contract"
	// Shed: the cell is beyond its capacity.
	Shed Code = "overloaded"
	// Late: the request waited as long as its class allows.
	Late Code = "late"
	// Spent: the spending ceiling is reached.
	Spent Code = "ceiling"
	// NoEndpoint: no endpoint serves the model now.
	NoEndpoint Code = "no_endpoint"
)

// Policies of a queue.
const (
	// ByContract serves by guaranteed share, tier and spare share.
	ByContract Policy = "contract"
	// FIFO serves in the order of arrival, whatever the contracts say; it is there for comparison.
	FIFO Policy = "fifo"
)

const (
	// MaxBlocks is the largest number of prefix hashes in one ask.
	MaxBlocks = 32
	maxAvoid  = 16
)

type (
	// Verb names a verdict.
	Verb uint8

	// Policy names the order in which a queue is served.
	Policy string

	// Code names the reason of a refusal.
	Code string

	// Terms is what a contract says of a request's class, in the scheduler's units; Share is a part of 1.
	Terms struct {
		Tier     int
		Share    float64
		Patience time.Duration
		Rate     float64
		Burst    float64
		Tokens   float64
		Running  int
		Price    int64
		Capped   bool
	}

	// Ask is one request for a grant; the prompt stays at the entry. Named tells that the caller chose the ID and may send it again.
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

	// Target is the endpoint of a grant.
	Target struct {
		Name   string         `json:"name"`
		Boot   string         `json:"boot"`
		Addr   netip.AddrPort `json:"addr"`
		Zone   string         `json:"zone"`
		Kind   endpt.Kind     `json:"kind"`
		Lookup bool           `json:"lookup,omitempty"`
	}

	// Verdict answers an ask of the entry Asker; Before tells that an earlier sending of the request may have run.
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

	// Done reports the end of a granted run.
	Done struct {
		ID      string        `json:"id"`
		Attempt int           `json:"attempt"`
		Broken  bool          `json:"broken,omitempty"`
		Unsent  bool          `json:"unsent,omitempty"`
		First   time.Duration `json:"first,omitempty"`
		Gap     time.Duration `json:"gap,omitempty"`
		Tokens  int           `json:"tokens,omitempty"`
	}

	// Progress is one run that an entry holds.
	Progress struct {
		Ask    Ask           `json:"ask"`
		Target Target        `json:"target"`
		Gap    time.Duration `json:"gap,omitempty"`
		Since  time.Duration `json:"since"`
	}

	// Report is all that an entry runs in a cell.
	Report struct {
		Entry string     `json:"entry"`
		Runs  []Progress `json:"runs,omitempty"`
	}

	// Options sets a scheduler's bounds and, for comparison, a simpler policy or choice of endpoint.
	Options struct {
		Queue  int
		Gap    time.Duration
		Settle time.Duration
		Policy Policy
		Choice route.Policy
		Seed   uint64
		// Shared tells that other schedulers use the endpoints too, so that their reported load counts.
		Shared bool
	}
)

// Check returns an error that names the first field that is out of bounds.
func (a *Ask) Check() error {
	switch {
	case a.ID == "" || a.Entry == "" || !a.Addr.IsValid():
		return errors.New("ask: ID, entry or address is missing")
	case a.Customer == "" || a.Class == "":
		return errors.New("ask: customer or class is missing")
	case a.Input < 0 || a.Bound < 0 || a.Attempt < 0:
		return errors.New("ask: negative size")
	case len(a.Blocks) > MaxBlocks:
		return fmt.Errorf("ask: more than %d prefix blocks", MaxBlocks)
	case len(a.Avoid) > maxAvoid:
		return fmt.Errorf("ask: more than %d endpoints to avoid", maxAvoid)
	}
	return nil
}
