package claim

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// States of a claim.
const (
	Open  State = "open"
	Done  State = "done"
	Void  State = "void"
	Doubt State = "doubt"
)

const (
	// Retention is how long an ended claim is kept after its last change.
	Retention = 24 * time.Hour
	// MaxAnswer is the largest answer that a claim keeps, in bytes.
	MaxAnswer = 256 << 10
	// MaxVoided is the most voided attempts that a claim remembers; a late open of an older one may take the key again,
	// which no attempt then holds: nothing runs under it until its instance restarts.
	MaxVoided = 32
	// MaxKey is the longest idempotency key, in bytes.
	MaxKey = 255
)

type (
	// State is how far a claim has come.
	State string

	// Answer is what the service answered.
	Answer struct {
		Status int    `json:"status"`
		Type   string `json:"type"`
		Body   []byte `json:"body"`
		Large  bool   `json:"large,omitempty"`
	}

	// Record is one claim; Nonce names the attempt that holds it, Voided those that were given up before they were sent.
	Record struct {
		State  State    `json:"state"`
		Print  string   `json:"print"`
		Nonce  string   `json:"nonce"`
		Holder string   `json:"holder"`
		Boot   string   `json:"boot"`
		At     int64    `json:"at"`
		Answer *Answer  `json:"answer,omitempty"`
		Voided []string `json:"voided,omitempty"`
	}

	// Cmd moves the claim of a customer's key to a state, for one attempt.
	Cmd struct {
		Customer string  `json:"customer"`
		Key      string  `json:"key"`
		To       State   `json:"to"`
		Print    string  `json:"print,omitempty"`
		Nonce    string  `json:"nonce"`
		Holder   string  `json:"holder,omitempty"`
		Boot     string  `json:"boot,omitempty"`
		Answer   *Answer `json:"answer,omitempty"`
	}
)

// Check returns an error that names the first field that is out of bounds.
func (c *Cmd) Check() error {
	switch {
	case c.Customer == "" || c.Key == "" || len(c.Key) > MaxKey:
		return fmt.Errorf("claim: customer and a key of 1 to %d bytes are needed", MaxKey)
	case c.Nonce == "":
		return errors.New("claim: nonce is missing")
	case c.To != Open && c.To != Done && c.To != Void && c.To != Doubt:
		return fmt.Errorf("claim: unknown state %q", c.To)
	case c.To == Done && c.Answer == nil:
		return errors.New("claim: answer is missing")
	case c.Answer != nil && len(c.Answer.Body) > MaxAnswer:
		return fmt.Errorf("claim: answer is above %d bytes", MaxAnswer)
	}
	return nil
}

// ID returns the name under which a customer's key is kept.
func ID(customer, key string) string {
	return customer + "\x00" + key
}

// Next returns the claim that follows cmd, and whether cmd was allowed; old is nil where no claim is kept.
func Next(old *Record, cmd Cmd, at int64) (Record, bool) {
	next := Record{State: cmd.To, Print: cmd.Print, Nonce: cmd.Nonce, Holder: cmd.Holder, Boot: cmd.Boot, At: at}
	if old == nil {
		return next, cmd.To == Open || cmd.To == Void
	}
	if old.Nonce != cmd.Nonce {
		return old.other(next, cmd)
	}
	keep := *old
	keep.At = at
	switch {
	case cmd.To == old.State:
		return *old, true
	case cmd.To == Done && (old.State == Open || old.State == Doubt):
		keep.State, keep.Answer = Done, cmd.Answer
	case cmd.To == Void && (old.State == Open || old.State == Doubt):
		keep.State = Void
	case cmd.To == Doubt && old.State == Open:
		keep.State = Doubt
	default:
		return *old, false
	}
	return keep, true
}

// other returns the claim that follows the command of an attempt that does not hold it.
func (r *Record) other(next Record, cmd Cmd) (Record, bool) {
	switch {
	case cmd.To == Void && !slices.Contains(r.Voided, cmd.Nonce):
		keep := *r
		keep.Voided = voided(r.Voided, cmd.Nonce)
		return keep, true
	case cmd.To == Void:
		return *r, true
	case r.State != Void || cmd.To != Open || !r.matches(cmd.Print) || slices.Contains(r.Voided, cmd.Nonce):
		return *r, false
	}
	next.Voided = voided(r.Voided, r.Nonce)
	return next, true
}

// voided adds an attempt to a copy of the list and drops the oldest beyond the bound.
func voided(list []string, nonce string) []string {
	out := append(slices.Clone(list), nonce)
	return out[max(0, len(out)-MaxVoided):]
}

// matches reports whether a request with the print may use the claim's key.
func (r *Record) matches(print string) bool {
	return r.Print == "" || r.Print == print
}

// Same reports whether a request with the print is the one that the claim was made for.
func (r *Record) Same(print string) bool {
	return r.matches(print)
}

// Expired reports whether an ended claim may be forgotten at a time in milliseconds.
func (r *Record) Expired(at int64) bool {
	return at-r.At > Retention.Milliseconds()
}
