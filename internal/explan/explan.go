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
	// before and after are how long around a request other events of its instance and endpoints are shown.
	before = 3 * time.Second
	after  = time.Second
	// maxLine is the longest line of a log, in bytes.
	maxLine = 1 << 20
	// lineStart is the key with which each event begins; what a collector puts before it is skipped.
	lineStart = "ts="
)

// Keys of an event that are shown apart from the others.
const (
	keyTime     = "ts"
	keyLevel    = "level"
	keyMsg      = "msg"
	keyID       = "id"
	keyInstance = "instance"
	keyEndpoint = "endpoint"
)

type (
	// Field is one key and value of an event.
	Field struct {
		Key, Value string
	}

	// Event is one line of a log.
	Event struct {
		At       time.Time
		Instance string
		Level    string
		Msg      string
		ID       string
		Fields   []Field
	}

	// Report is the way of a request: its own events, and others that concern its instances and endpoints.
	Report struct {
		ID     string
		Own    []Event
		Around []Event
	}
)

// Read returns the events of a log; lines that are none are skipped.
func Read(r io.Reader) ([]Event, error) {
	var out []Event
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		_, text, found := strings.Cut(s.Text(), lineStart)
		if !found {
			continue
		}
		if e, ok := parse(lineStart + text); ok {
			out = append(out, e)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	return out, nil
}

func parse(line string) (Event, bool) {
	var e Event
	d := logfmt.NewDecoder(strings.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case keyTime:
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return e, false
				}
				e.At = at
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
	return e, d.Err() == nil && !e.At.IsZero() && e.Msg != ""
}

// field returns the value of a key, or "".
func (e *Event) field(key string) string {
	for _, f := range e.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// New finds the events of a request, and those without an ID that concern its instances and endpoints at that time.
func New(id string, all []Event) Report {
	r := Report{ID: id}
	instances, endpoints := map[string]bool{}, map[string]bool{}
	for _, e := range all {
		if e.ID != id {
			continue
		}
		r.Own = append(r.Own, e)
		instances[e.Instance] = true
		if ep := e.field(keyEndpoint); ep != "" {
			endpoints[ep] = true
		}
	}
	if len(r.Own) == 0 {
		return r
	}
	order := func(x, y Event) int { return x.At.Compare(y.At) }
	slices.SortStableFunc(r.Own, order)
	from, to := r.Own[0].At.Add(-before), r.Own[len(r.Own)-1].At.Add(after)
	for _, e := range all {
		if e.ID != "" || e.At.Before(from) || e.At.After(to) {
			continue
		}
		if instances[e.Instance] || endpoints[e.field(keyEndpoint)] {
			r.Around = append(r.Around, e)
		}
	}
	slices.SortStableFunc(r.Around, order)
	return r
}

// Print writes the report in the order of time; events of others are indented.
func (r *Report) Print(w io.Writer) error {
	if len(r.Own) == 0 {
		_, err := fmt.Fprintf(w, "no event of request %s\n", r.ID)
		return err
	}
	start := r.Own[0].At
	own, around := r.Own, r.Around
	for len(own)+len(around) > 0 {
		var e Event
		indent := ""
		if len(around) == 0 || len(own) > 0 && !around[0].At.Before(own[0].At) {
			e, own = own[0], own[1:]
		} else {
			e, around, indent = around[0], around[1:], "    "
		}
		var b strings.Builder
		for _, f := range e.Fields {
			_, _ = fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %s%s: %s%s\n", e.At.Sub(start).Seconds(), indent, e.Instance, e.Msg, b.String()); err != nil {
			return err
		}
	}
	return nil
}
