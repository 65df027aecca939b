package trace

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Kinds of recorded request.
const (
	Chat    Kind = "chat"
	Service Kind = "service"
)

const (
	maxLine   = 1 << 20
	maxTokens = 32768
)

type (
	// Kind tells a generation from a call of a plain service.
	Kind string

	// Millis is a time in milliseconds.
	Millis int64

	// Class is the targets of one customer's class, and what its contract says: Share in percent, Patience in milliseconds.
	// First and Gap of 0 mean that there is no target.
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

	// Record is one request: when it comes, whose it is and how large it is (in tokens).
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

	// Trace is a head and its requests in the order of their times.
	Trace struct {
		Head    Head
		Records []Record
	}
)

// Std returns the time as the standard library's type.
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

// Check returns an error that names the first field that is out of bounds.
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

// Read reads a whole trace; an error names the line.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for line := 1; sc.Scan(); line++ {
		if line == 1 {
			if err := json.Unmarshal(sc.Bytes(), &t.Head); err != nil {
				return nil, fmt.Errorf("trace: line 1: %w", err)
			}
			continue
		}
		var rec Record
		if err := json.Unmarshal(sc.Bytes(), &rec); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", line, err)
		}
		if n := len(t.Records); n > 0 && rec.At < t.Records[n-1].At {
			return nil, fmt.Errorf("trace: line %d: at goes back", line)
		}
		t.Records = append(t.Records, rec)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if t.Head.Name == "" {
		return nil, errors.New("trace: the head is missing")
	}
	return t, nil
}

// Thin returns the trace with only the given part, in tenths, of its requests, spread evenly.
func (t *Trace) Thin(tenths int) *Trace {
	out := &Trace{Head: t.Head}
	for i, r := range t.Records {
		if i*7%10 < tenths {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// Write writes a whole trace.
func (t *Trace) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	if err := e.Encode(t.Head); err != nil {
		return err
	}
	for i := range t.Records {
		if err := e.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return nil
}
