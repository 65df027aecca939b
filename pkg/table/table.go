package table

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kinds of route.
const (
	// Repeat routes carry requests that may run more than once.
	Repeat Kind = "repeat"
	// Once routes carry requests that may run at most once.
	Once Kind = "once"
	// Stream routes carry requests that are answered by a stream of events.
	Stream Kind = "stream"
)

var (
	// ErrSplit tells that a route's weights add up to nothing.
	ErrSplit = errors.New("the weights add up to 0")
	// ErrTimeout tells that a route has no timeout.
	ErrTimeout = errors.New("the timeout is 0")
)

type (
	// Kind tells what of a route's requests may be repeated.
	Kind string

	// Share is a service's part of a route's requests.
	Share struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Route sends the requests of a host and path prefix to services. A request is given to at most Attempts endpoints and
	// waits for Timeout at most; it is on time if its answer (its first event on streams) comes within Target, with no pause
	// between events above Gap. Priority 0 is the highest.
	Route struct {
		Name     string        `json:"name"`
		Host     string        `json:"host"`
		Prefix   string        `json:"prefix"`
		Kind     Kind          `json:"kind"`
		Timeout  time.Duration `json:"timeout"`
		Target   time.Duration `json:"target"`
		Gap      time.Duration `json:"gap,omitempty"`
		Priority int           `json:"priority"`
		Split    []Share       `json:"split"`
		Attempts int           `json:"attempts"`
		Public   bool          `json:"public,omitempty"`
		Affinity bool          `json:"affinity,omitempty"`
		Resume   bool          `json:"resume,omitempty"`
	}

	// Engine is what is common to the model engines of a service: Slots requests run at once and share a cache of Tokens
	// tokens; an event of a stream holds Stride tokens.
	Engine struct {
		Slots  int `json:"slots"`
		Tokens int `json:"tokens"`
		Stride int `json:"stride"`
	}

	// Service is a set of equal endpoints, each of which takes at most Conns connections from all instances together.
	Service struct {
		Name   string  `json:"name"`
		Health string  `json:"health,omitempty"`
		Conns  int     `json:"conns,omitempty"`
		Engine *Engine `json:"engine,omitempty"`
	}

	// Organisation is a customer with the hashes of its keys.
	Organisation struct {
		Name     string   `json:"name"`
		Keys     []string `json:"keys"`
		Priority int      `json:"priority"`
	}

	// Limits bounds what callers may send, in bytes, and how long they may take or stay idle.
	Limits struct {
		Header int           `json:"header"`
		Body   int           `json:"body"`
		Head   time.Duration `json:"head"`
		Idle   time.Duration `json:"idle"`
	}

	// Table is a whole routing table under the version of its operator.
	Table struct {
		Version       uint64         `json:"version"`
		Routes        []Route        `json:"routes"`
		Services      []Service      `json:"services"`
		Organisations []Organisation `json:"organisations"`
		Limits        Limits         `json:"limits"`
	}
)

// Check returns an error that names the first part of the table that breaks a rule.
func (t *Table) Check() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" {
			return errors.New("a service has no name")
		}
		services[s.Name] = true
	}
	places := map[string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			return fmt.Errorf("route %q: host and prefix are those of route %q", r.Name, other)
		}
		places[place] = r.Name
	}
	return t.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("the host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Kind != Repeat && r.Kind != Once && r.Kind != Stream:
		return fmt.Errorf("unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return ErrTimeout
	}
	sum := 0
	for _, s := range r.Split {
		if !services[s.Service] {
			return fmt.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", s.Service)
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return ErrSplit
	}
	return nil
}

func (t *Table) checkKeys() error {
	owner := map[string]string{}
	for _, o := range t.Organisations {
		if o.Name == "" {
			return errors.New("an organisation has no name")
		}
		for _, k := range o.Keys {
			if other, ok := owner[k]; ok && other != o.Name {
				return fmt.Errorf("organisations %q and %q share a key", other, o.Name)
			}
			owner[k] = o.Name
		}
	}
	return nil
}
