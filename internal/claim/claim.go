package claim

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// States of a claim.
const (
	// Open means that an attempt may send the request.
	Open State = "open"
	// Done means that the request has run; the claim keeps its answer.
	Done State = "done"
	// Void means that the request was not sent; another attempt may open the claim again.
	Void State = "void"
	// InDoubt means that the request may or may not have run; it isn't run again.
	InDoubt State = "doubt"
)

const (
	// Retention is how long a claim that is no longer open is kept after its last change.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the size of the largest answer body that a claim keeps, in bytes.
	MaxAnswerBytes = 256 << 10
	// MaxVoidedAttempts is the number of voided attempts that a claim remembers. A delayed open command of an older attempt can open the
	// claim again although that attempt has ended: then nothing runs under the key until the instance of the attempt restarts.
	MaxVoidedAttempts = 32
	// MaxKeyBytes is the maximum length of an idempotency key, in bytes.
	MaxKeyBytes = 255
)

type (
	// State is the state of a claim.
	State string

	// Answer is the service's answer. TooLarge marks one above MaxAnswerBytes, whose body isn't kept.
	Answer struct {
		Status      int    `json:"status"`
		ContentType string `json:"type"`
		Body        []byte `json:"body"`
		TooLarge    bool   `json:"large,omitempty"`
	}

	// Record is a claim. Fingerprint identifies the content of the request and Nonce the attempt that holds the claim. VoidedNonces
	// lists the attempts that were abandoned before they were sent. Holder and Boot are the name and boot ID of the attempt's
	// instance, ChangedAtMS is the time of the last change in Unix milliseconds.
	Record struct {
		State        State    `json:"state"`
		Fingerprint  string   `json:"print"`
		Nonce        string   `json:"nonce"`
		Holder       string   `json:"holder"`
		Boot         string   `json:"boot"`
		ChangedAtMS  int64    `json:"at"`
		Answer       *Answer  `json:"answer,omitempty"`
		VoidedNonces []string `json:"voided,omitempty"`
	}

	// Command moves the claim on a customer's key to the state To on behalf of the attempt Nonce.
	Command struct {
		Customer    string  `json:"customer"`
		Key         string  `json:"key"`
		To          State   `json:"to"`
		Fingerprint string  `json:"print,omitempty"`
		Nonce       string  `json:"nonce"`
		Holder      string  `json:"holder,omitempty"`
		Boot        string  `json:"boot,omitempty"`
		Answer      *Answer `json:"answer,omitempty"`
	}
)

// Check returns an error that names the first invalid field.
func (c *Command) Check() error {
	switch {
	case c.Customer == "" || c.Key == "" || len(c.Key) > MaxKeyBytes:
		return fmt.Errorf("claim: customer and a key of 1 to %d bytes are needed", MaxKeyBytes)
	case c.Nonce == "":
		return errors.New("claim: nonce is missing")
	case c.To != Open && c.To != Done && c.To != Void && c.To != InDoubt:
		return fmt.Errorf("claim: unknown state %q", c.To)
	case c.To == Done && c.Answer == nil:
		return errors.New("claim: answer is missing")
	case c.Answer != nil && len(c.Answer.Body) > MaxAnswerBytes:
		return fmt.Errorf("claim: answer is above %d bytes", MaxAnswerBytes)
	}
	return nil
}

// ID returns the key of a claim in a map of claims.
func ID(customer, key string) string {
	return customer + "\x00" + key
}

// Next returns the claim after cmd and whether cmd was allowed. old is nil if the key has no claim; nowMS is in Unix milliseconds.
func Next(old *Record, cmd Command, nowMS int64) (Record, bool) {
	next := Record{State: cmd.To, Fingerprint: cmd.Fingerprint, Nonce: cmd.Nonce, Holder: cmd.Holder, Boot: cmd.Boot, ChangedAtMS: nowMS}
	if old == nil {
		return next, cmd.To == Open || cmd.To == Void
	}
	if old.Nonce != cmd.Nonce {
		return old.nextForOtherAttempt(next, cmd)
	}
	updated := *old
	updated.ChangedAtMS = nowMS
	switch {
	case cmd.To == old.State:
		return *old, true
	case cmd.To == Done && (old.State == Open || old.State == InDoubt):
		updated.State, updated.Answer = Done, cmd.Answer
	case cmd.To == Void && (old.State == Open || old.State == InDoubt):
		updated.State = Void
	case cmd.To == InDoubt && old.State == Open:
		updated.State = InDoubt
	default:
		return *old, false
	}
	return updated, true
}

// nextForOtherAttempt returns the claim after the command of an attempt that doesn't hold it, and whether the command was allowed.
func (r *Record) nextForOtherAttempt(next Record, cmd Command) (Record, bool) {
	switch {
	case cmd.To == Void && !slices.Contains(r.VoidedNonces, cmd.Nonce):
		updated := *r
		updated.VoidedNonces = appendVoided(r.VoidedNonces, cmd.Nonce)
		return updated, true
	case cmd.To == Void:
		return *r, true
	case r.State != Void || cmd.To != Open || !r.matches(cmd.Fingerprint) || slices.Contains(r.VoidedNonces, cmd.Nonce):
		return *r, false
	}
	next.VoidedNonces = appendVoided(r.VoidedNonces, r.Nonce)
	return next, true
}

// appendVoided returns a copy of the list with an attempt appended and the oldest beyond MaxVoidedAttempts dropped.
func appendVoided(attempts []string, nonce string) []string {
	updated := append(slices.Clone(attempts), nonce)
	return updated[max(0, len(updated)-MaxVoidedAttempts):]
}

// matches reports whether the claim is for a request with the fingerprint. A claim without a fingerprint matches every request.
func (r *Record) matches(fingerprint string) bool {
	return r.Fingerprint == "" || r.Fingerprint == fingerprint
}

// Matches reports whether the claim is for a request with the fingerprint, or has no fingerprint itself.
func (r *Record) Matches(fingerprint string) bool {
	return r.matches(fingerprint)
}

// Expired reports whether the retention of a claim has passed at a time in Unix milliseconds.
func (r *Record) Expired(nowMS int64) bool {
	return nowMS-r.ChangedAtMS > Retention.Milliseconds()
}
