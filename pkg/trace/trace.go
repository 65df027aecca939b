package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Kinds of recorded requests.
const (
	Chat    Kind = "chat"
	Service Kind = "service"
)

const (
	maxLineBytes = 1 << 20
	maxTokens    = 32768
)

type (
	// Kind is the kind of a recorded request: a generation or a call of a plain service.
	Kind string

	// Millis is a time in milliseconds.
	Millis int64

	// Class holds the targets of one class of a customer: First for the time to the first token, Gap for the time between tokens,
	// with 0 for no target. Share, in percent, and Patience, the longest wait, are values of its contract.
	Class struct {
		Customer string  `json:"customer"`
		Class    string  `json:"class"`
		Tier     int     `json:"tier"`
		First    Millis  `json:"first"`
		Gap      Millis  `json:"gap"`
		Share    float64 `json:"share,omitempty"`
		Patience Millis  `json:"patience,omitempty"`
	}

	// Head is the first line of a trace.
	Head struct {
		Name    string  `json:"name"`
		Model   string  `json:"model"`
		Service string  `json:"service,omitempty"`
		Classes []Class `json:"classes"`
	}

	// Record is one request: its time from the start of the trace (At), its customer and class, and its size in tokens (Input,
	// Output). Requests with the same Group share the start of their prompts, Key is an idempotency key, and Mark is put into the
	// prompt as an instruction to the simulated engine.
	Record struct {
		At       Millis `json:"at"`
		Kind     Kind   `json:"kind"`
		Customer string `json:"customer"`
		Class    string `json:"class"`
		Input    int    `json:"input"`
		Output   int    `json:"output,omitempty"`
		Group    int    `json:"group,omitempty"`
		Key      string `json:"key,omitempty"`
		Mark     string `json:"mark,omitempty"`
	}

	// Trace is a header and its requests, ordered by time.
	Trace struct {
		Head    Head
		Records []Record
	}
)

// Std returns the time as a time.Duration.
func (m Millis) Std() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// UnmarshalJSON decodes and checks a record.
func (r *Record) UnmarshalJSON(data []byte) error {
	type plain Record
	if err := json.Unmarshal(data, (*plain)(r)); err != nil {
		return err
	}
	return r.Check()
}

// Check returns an error that names the first invalid field.
func (r *Record) Check() error {
	switch {
	case r.At < 0:
		return errors.New("record: at is negative")
	case r.Kind != Chat && r.Kind != Service:
		return fmt.Errorf("record: unknown kind %q", r.Kind)
	case r.Customer == "" || r.Class == "":
		return errors.New("record: customer or class is missing")
	case r.Input < 0 || r.Input > maxTokens || r.Output < 0 || r.Output > maxTokens:
		return fmt.Errorf("record: sizes must be 0 to %d tokens", maxTokens)
	}
	return nil
}

// Read reads a complete trace; its errors name the line.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for line := 1; scanner.Scan(); line++ {
		if line == 1 {
			if err := json.Unmarshal(scanner.Bytes(), &t.Head); err != nil {
				return nil, fmt.Errorf("trace: line 1: %w", err)
			}
			continue
		}
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", line, err)
		}
		if n := len(t.Records); n > 0 && record.At < t.Records[n-1].At {
			return nil, fmt.Errorf("trace: line %d: at is before the previous line", line)
		}
		t.Records = append(t.Records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if t.Head.Name == "" {
		return nil, errors.New("trace: the first line has no name")
	}
	return t, nil
}

// Thin returns the trace with the given number of tenths of its requests, spread evenly.
func (t *Trace) Thin(tenths int) *Trace {
	thinned := &Trace{Head: t.Head}
	for i, record := range t.Records {
		if i*7%10 < tenths {
			thinned.Records = append(thinned.Records, record)
		}
	}
	return thinned
}

// Write writes a complete trace.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(t.Head); err != nil {
		return err
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return nil
}
