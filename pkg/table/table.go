package table

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kinds of routes.
const (
	// Idempotent routes carry requests that may run more than once.
	Idempotent Kind = "repeat"
	// NonIdempotent routes carry requests that may run at most once.
	NonIdempotent Kind = "once"
	// Streaming routes carry requests whose response is a stream of events.
	Streaming Kind = "stream"
)

var (
	// ErrZeroWeights is returned if the weights of a route add up to 0.
	ErrZeroWeights = errors.New("the weights add up to 0")
	// ErrNoTimeout is returned if a route has no timeout.
	ErrNoTimeout = errors.New("the timeout is 0")
)

type (
	// Kind is the kind of a route, which decides whether its requests may be retried.
	Kind string

	// TrafficShare is the part of a route's requests that one service gets, in proportion to its weight.
	TrafficShare struct {
		Service string `json:"service"`
		Weight  int    `json:"weight"`
	}

	// Route sends the requests for a host and path prefix to services.
	Route struct {
		Name       string `json:"name"`
		Host       string `json:"host"`
		PathPrefix string `json:"prefix"`
		Kind       Kind   `json:"kind"`
		// Timeout bounds the time to the complete response.
		Timeout time.Duration `json:"timeout"`
		// LatencyTarget is the time within which a response, or the first event of a stream, is on time.
		LatencyTarget time.Duration `json:"target"`
		// GapTarget is the largest time between the events of a stream that is on time.
		GapTarget time.Duration `json:"gap,omitempty"`
		// Priority 0 is the highest.
		Priority     int            `json:"priority"`
		TrafficSplit []TrafficShare `json:"split"`
		// MaxAttempts is the largest number of endpoints to which a request is sent.
		MaxAttempts int `json:"attempts"`
		// Public is set if requests need no API key.
		Public bool `json:"public,omitempty"`
		// SessionAffinity is set if requests list the parts of their prompts.
		SessionAffinity bool `json:"affinity,omitempty"`
		// Resumable is set if a broken stream may be resumed on another endpoint.
		Resumable bool `json:"resume,omitempty"`
	}

	// Engine describes each of the model engines of a service.
	Engine struct {
		// Slots is the number of requests that an engine runs at once.
		Slots int `json:"slots"`
		// Tokens is the capacity, in tokens, that running requests and cached prompts share.
		Tokens int `json:"tokens"`
		// TokensPerEvent is the number of tokens in one event of a stream.
		TokensPerEvent int `json:"stride"`
	}

	// Service is a set of interchangeable endpoints.
	Service struct {
		Name string `json:"name"`
		// HealthPath is the path of the endpoints' health check.
		HealthPath string `json:"health,omitempty"`
		// ConnectionLimit is the largest number of connections that one endpoint accepts from all instances together.
		ConnectionLimit int `json:"conns,omitempty"`
		// Engine is set if the endpoints are model engines.
		Engine *Engine `json:"engine,omitempty"`
		// Scaling is set if the number of endpoints is to be ordered by demand. It may be invalid: a table is accepted with it.
		Scaling *Scaling `json:"scaling,omitempty"`
	}

	// Scaling bounds the number of a service's endpoints and tells their prices.
	Scaling struct {
		// Min and Max bound the number of endpoints in each availability zone, of both kinds together.
		Min int `json:"min"`
		Max int `json:"max"`
		// Boot is the time from an order until new endpoints serve.
		Boot time.Duration `json:"boot"`
		// SpotPrice is the price of a spot endpoint as a part of that of a standard one, or 0 if there are none.
		SpotPrice float64 `json:"spot,omitempty"`
		// ZonePrices holds the price of an endpoint by availability zone.
		ZonePrices map[string]float64 `json:"zones"`
	}

	// Organisation is a customer with the hashes of its API keys.
	Organisation struct {
		Name      string   `json:"name"`
		KeyHashes []string `json:"keys"`
		Priority  int      `json:"priority"`
	}

	// Limits holds the limits on callers' requests.
	Limits struct {
		MaxHeaderBytes int `json:"header"`
		MaxBodyBytes   int `json:"body"`
		// HeaderTimeout bounds the time in which a caller sends the header.
		HeaderTimeout time.Duration `json:"head"`
		// IdleTimeout is how long a connection may be idle.
		IdleTimeout time.Duration `json:"idle"`
	}

	// Table is a complete routing table. Version is the version that its operator gave it.
	Table struct {
		Version       uint64         `json:"version"`
		Routes        []Route        `json:"routes"`
		Services      []Service      `json:"services"`
		Organisations []Organisation `json:"organisations"`
		// RequireKeys is set if requests on routes that are not public need an API key, even while no key is known. A table with
		// organisations requires keys in any case.
		RequireKeys bool   `json:"require_keys,omitempty"`
		Limits      Limits `json:"limits"`
	}
)

// Check returns an error that names the first invalid part of the table.
func (t *Table) Check() error {
	services := map[string]bool{}
	for _, s := range t.Services {
		if s.Name == "" {
			return errors.New("a service has no name")
		}
		services[s.Name] = true
	}
	routeNames := map[string]string{}
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		hostAndPrefix := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := routeNames[hostAndPrefix]; ok {
			return fmt.Errorf("route %q: host and prefix are those of route %q", r.Name, other)
		}
		routeNames[hostAndPrefix] = r.Name
	}
	return t.checkKeys()
}

func (r *Route) check(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("the host is missing")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.PathPrefix)
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		return fmt.Errorf("unknown kind %q", r.Kind)
	case r.Timeout <= 0:
		return ErrNoTimeout
	}
	totalWeight := 0
	for _, share := range r.TrafficSplit {
		if !services[share.Service] {
			return fmt.Errorf("unknown service %q", share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", share.Service)
		}
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		return ErrZeroWeights
	}
	return nil
}

func (t *Table) checkKeys() error {
	ownerByKeyHash := map[string]string{}
	for _, org := range t.Organisations {
		if org.Name == "" {
			return errors.New("an organisation has no name")
		}
		for _, keyHash := range org.KeyHashes {
			if other, ok := ownerByKeyHash[keyHash]; ok && other != org.Name {
				return fmt.Errorf("organisations %q and %q share a key", other, org.Name)
			}
			ownerByKeyHash[keyHash] = org.Name
		}
	}
	return nil
}
