package table

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sort"
	"strings"
)

// Index answers lookups in one table; it is never changed.
type Index struct {
	version  uint64
	limits   Limits
	routes   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Organisation
	count    int
}

// New returns the index of a table, which must not be changed afterwards.
func New(t *Table) *Index {
	x := &Index{
		version: t.Version, limits: t.Limits, routes: map[string][]*Route{}, services: map[string]*Service{},
		keys: map[string]*Organisation{}, count: len(t.Routes),
	}
	for i := range t.Routes {
		host := strings.ToLower(t.Routes[i].Host)
		x.routes[host] = append(x.routes[host], &t.Routes[i])
	}
	for _, rs := range x.routes {
		sort.Slice(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Organisations {
		for _, k := range t.Organisations[i].Keys {
			x.keys[k] = &t.Organisations[i]
		}
	}
	return x
}

// Version returns the operator's version of the table; 0 before there is one.
func (x *Index) Version() uint64 {
	return x.version
}

// Limits returns what callers may send.
func (x *Index) Limits() Limits {
	return x.limits
}

// Routes returns the number of routes.
func (x *Index) Routes() int {
	return x.count
}

// Keyed reports whether the table names organisations, so that requests need a key.
func (x *Index) Keyed() bool {
	return len(x.keys) > 0
}

// Route returns the route with the longest prefix of a path among those of a host, which may carry a port, or nil.
func (x *Index) Route(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service {
	return x.services[name]
}

// Owner returns the organisation that holds a key, or nil.
func (x *Index) Owner(key string) *Organisation {
	return x.keys[Hash(key)]
}

// Pick returns the service for a request, where at in [0, 1) says which part of the split it falls into.
func (r *Route) Pick(at float64) string {
	sum := 0
	for _, s := range r.Split {
		sum += s.Weight
	}
	left := at * float64(sum)
	for _, s := range r.Split {
		if left -= float64(s.Weight); left < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// Hash returns the form in which keys are kept.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}
