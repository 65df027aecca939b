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
	// Chat is a chat completion.
	Chat Kind = "chat"
	// Service is a call of a plain service.
	Service Kind = "service"
)

const (
	maxLineBytes = 1 << 20
	// maxTokens is the largest size of a prompt or an output.
	maxTokens = 32768
)

type (
	// Kind is the kind of a recorded request: a generation or a call of a plain service.
	Kind string

	// Millis is a time in milliseconds.
	Millis int64

	// Class holds the targets of one class of a customer, and two values of its contract.
	Class struct {
		Customer string `json:"customer"`
		Class    string `json:"class"`
		Tier     int    `json:"tier"`
		// First is the target for the time to the first token; 0 means that there is none.
		First Millis `json:"first"`
		// Gap is the target for the time between tokens; 0 means that there is none.
		Gap Millis `json:"gap"`
		// Share is the guaranteed share of capacity, in percent.
		Share float64 `json:"share,omitempty"`
		// MaxWait is the longest time in the queue.
		MaxWait Millis `json:"patience,omitempty"`
	}

	// Header is the first line of a trace.
	Header struct {
		Name    string  `json:"name"`
		Model   string  `json:"model"`
		Service string  `json:"service,omitempty"`
		Classes []Class `json:"classes"`
	}

	// Record is one request.
	Record struct {
		// Arrival is the time from the start of the trace.
		Arrival  Millis `json:"at"`
		Kind     Kind   `json:"kind"`
		Customer string `json:"customer"`
		Class    string `json:"class"`
		// InputTokens and OutputTokens are the sizes of the prompt and the output, in tokens.
		InputTokens  int `json:"input"`
		OutputTokens int `json:"output,omitempty"`
		// PromptGroup is the same for requests whose prompts start with the same text.
		PromptGroup    int    `json:"group,omitempty"`
		IdempotencyKey string `json:"key,omitempty"`
		// Marker is put into the prompt as an instruction to the simulated engine.
		Marker string `json:"mark,omitempty"`
	}

	// Trace is a header and its requests, ordered by time.
	Trace struct {
		Header  Header
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
	case r.Arrival < 0:
		return errors.New("record: at is negative")
	case r.Kind != Chat && r.Kind != Service:
		return fmt.Errorf("record: unknown kind %q", r.Kind)
	case r.Customer == "" || r.Class == "":
		return errors.New("record: customer or class is missing")
	case r.InputTokens < 0 || r.InputTokens > maxTokens || r.OutputTokens < 0 || r.OutputTokens > maxTokens:
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
			if err := json.Unmarshal(scanner.Bytes(), &t.Header); err != nil {
				return nil, fmt.Errorf("trace: line 1: %w", err)
			}
			continue
		}
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", line, err)
		}
		if n := len(t.Records); n > 0 && record.Arrival < t.Records[n-1].Arrival {
			return nil, fmt.Errorf("trace: line %d: at is before the previous line", line)
		}
		t.Records = append(t.Records, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	if t.Header.Name == "" {
		return nil, errors.New("trace: the first line has no name")
	}
	return t, nil
}

// Sample returns the trace with the given number of tenths of its requests, spread evenly.
func (t *Trace) Sample(tenths int) *Trace {
	thinned := &Trace{Header: t.Header}
	for i, record := range t.Records {
		// 7 and 10 have no common factor, so i*7%10 takes each value from 0 to 9 once in ten consecutive records.
		if i*7%10 < tenths {
			thinned.Records = append(thinned.Records, record)
		}
	}
	return thinned
}

// Write writes a complete trace.
func (t *Trace) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	if err := encoder.Encode(t.Header); err != nil {
		return err
	}
	for i := range t.Records {
		if err := encoder.Encode(&t.Records[i]); err != nil {
			return err
		}
	}
	return nil
}
