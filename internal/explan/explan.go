package explan

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// contextBefore is how long before a request other events of its instances and endpoints are shown.
	contextBefore = 3 * time.Second
	// contextAfter is how long after a request such events are shown.
	contextAfter = time.Second
	// maxLineBytes is the longest line of a log, in bytes.
	maxLineBytes = 1 << 20
	// eventStart is the start of each event; a prefix that a log collector adds to the line is skipped.
	eventStart = "ts="
)

// Keys of an event that the package reads by name.
const (
	keyTime     = "ts"
	keyLevel    = "level"
	keyMsg      = "msg"
	keyID       = "id"
	keyInstance = "instance"
	keyEndpoint = "endpoint"
)

type (
	// Field is a key and its value in an event.
	Field struct {
		Key, Value string
	}

	// Event is one line of a log. Fields holds the keys that have no field of their own.
	Event struct {
		Time     time.Time
		Instance string
		Level    string
		Msg      string
		ID       string
		Fields   []Field
	}

	// Report holds the events of a request, and other events of its instances and endpoints around that time.
	Report struct {
		ID            string
		RequestEvents []Event
		ContextEvents []Event
	}
)

// Read returns the events of a log and skips lines that hold none. It returns an error if r cannot be read or a line is longer
// than 1 MiB.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), eventStart)
		if !found {
			continue
		}
		if e, ok := parseEvent(eventStart + text); ok {
			events = append(events, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return events, nil
}

// parseEvent parses a line and reports whether it is an event, which has a time and a message.
func parseEvent(line string) (Event, bool) {
	var e Event
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			switch key {
			case keyTime:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return e, false
				}
				e.Time = at
			case keyInstance:
				e.Instance = value
			case keyLevel:
				e.Level = value
			case keyMsg:
				e.Msg = value
			case keyID:
				e.ID = value
			default:
				e.Fields = append(e.Fields, Field{key, value})
			}
		}
	}
	return e, decoder.Err() == nil && !e.Time.IsZero() && e.Msg != ""
}

// value returns the value of a key in Fields, or the empty string.
func (e *Event) value(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// NewReport returns the events of a request, and the events without a request ID of its instances and endpoints around that time.
func NewReport(id string, all []Event) Report {
	r := Report{ID: id}
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, e := range all {
		if e.ID != id {
			continue
		}
		r.RequestEvents = append(r.RequestEvents, e)
		instances[e.Instance] = true
		if endpoint := e.value(keyEndpoint); endpoint != "" {
			endpoints[endpoint] = true
		}
	}
	if len(r.RequestEvents) == 0 {
		return r
	}
	byTime := func(x, y Event) int { return x.Time.Compare(y.Time) }
	slices.SortStableFunc(r.RequestEvents, byTime)
	from, to := r.RequestEvents[0].Time.Add(-contextBefore), r.RequestEvents[len(r.RequestEvents)-1].Time.Add(contextAfter)
	for _, e := range all {
		if e.ID != "" || e.Time.Before(from) || e.Time.After(to) {
			continue
		}
		if instances[e.Instance] || endpoints[e.value(keyEndpoint)] {
			r.ContextEvents = append(r.ContextEvents, e)
		}
	}
	slices.SortStableFunc(r.ContextEvents, byTime)
	return r
}

// Print writes the report in order of time, relative to the first event of the request; events that carry no request ID are
// indented.
func (r *Report) Print(w io.Writer) error {
	if len(r.RequestEvents) == 0 {
		_, err := fmt.Fprintf(w, "no events found for request %s\n", r.ID)
		return err
	}
	start := r.RequestEvents[0].Time
	requestEvents, contextEvents := r.RequestEvents, r.ContextEvents
	for len(requestEvents)+len(contextEvents) > 0 {
		var e Event
		indent := ""
		if len(contextEvents) == 0 || len(requestEvents) > 0 && !contextEvents[0].Time.Before(requestEvents[0].Time) {
			e, requestEvents = requestEvents[0], requestEvents[1:]
		} else {
			e, contextEvents, indent = contextEvents[0], contextEvents[1:], "    "
		}
		var fields strings.Builder
		for _, f := range e.Fields {
			_, _ = fmt.Fprintf(&fields, " %s=%s", f.Key, f.Value)
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %s%s: %s%s\n", e.Time.Sub(start).Seconds(), indent, e.Instance, e.Msg, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
