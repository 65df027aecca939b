package table

import (
	"crypto/sha256"
	"encoding/hex"
	"net"
	"sort"
	"strings"
)

// Index holds lookup maps for one table. It is immutable.
type Index struct {
	version                uint64
	limits                 Limits
	routesByHost           map[string][]*Route
	servicesByName         map[string]*Service
	organisationsByKeyHash map[string]*Organisation
	requiresKey            bool
	routeCount             int
}

// New returns the index of a table. The table must not be changed afterwards.
func New(t *Table) *Index {
	idx := &Index{
		version: t.Version, limits: t.Limits, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{},
		organisationsByKeyHash: map[string]*Organisation{}, routeCount: len(t.Routes),
		requiresKey: t.RequireKeys || len(t.Organisations) > 0,
	}
	for i := range t.Routes {
		host := strings.ToLower(t.Routes[i].Host)
		idx.routesByHost[host] = append(idx.routesByHost[host], &t.Routes[i])
	}
	for _, hostRoutes := range idx.routesByHost {
		sort.Slice(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].PathPrefix) > len(hostRoutes[j].PathPrefix) })
	}
	for i := range t.Services {
		idx.servicesByName[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Organisations {
		for _, keyHash := range t.Organisations[i].KeyHashes {
			idx.organisationsByKeyHash[keyHash] = &t.Organisations[i]
		}
	}
	return idx
}

// Version returns the version that the operator gave the table, or 0 before the first table.
func (idx *Index) Version() uint64 {
	return idx.version
}

// Limits returns the limits on callers' requests.
func (idx *Index) Limits() Limits {
	return idx.limits
}

// NumRoutes returns the number of routes.
func (idx *Index) NumRoutes() int {
	return idx.routeCount
}

// RequiresKey reports whether requests need an API key. They may do so while the table holds none, as after the last one was revoked.
func (idx *Index) RequiresKey() bool {
	return idx.requiresKey
}

// NumKeys returns the number of API keys of all organisations.
func (idx *Index) NumKeys() int {
	return len(idx.organisationsByKeyHash)
}

// Route returns the route of the host with the longest prefix that matches the path, or nil. The host may include a port.
func (idx *Index) Route(host, path string) *Route {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	for _, r := range idx.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (idx *Index) Service(name string) *Service {
	return idx.servicesByName[name]
}

// ScaledServices returns the services with a scaling, in the order of their names.
func (idx *Index) ScaledServices() (scaled []*Service) {
	for _, s := range idx.servicesByName {
		if s.Scaling != nil {
			scaled = append(scaled, s)
		}
	}
	sort.Slice(scaled, func(i, j int) bool { return scaled[i].Name < scaled[j].Name })
	return scaled
}

// OrganisationByKey returns the organisation that has the given API key, or nil.
func (idx *Index) OrganisationByKey(key string) *Organisation {
	return idx.organisationsByKeyHash[HashKey(key)]
}

// PickService returns the service at a position in [0, 1) of the route's traffic split. A random position chooses by weight.
func (r *Route) PickService(position float64) string {
	totalWeight := 0
	for _, share := range r.TrafficSplit {
		totalWeight += share.Weight
	}
	remaining := position * float64(totalWeight)
	for _, share := range r.TrafficSplit {
		if remaining -= float64(share.Weight); remaining < 0 {
			return share.Service
		}
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// LeadsTo reports whether the route sends a part of its requests to a service.
func (r *Route) LeadsTo(service string) bool {
	for _, share := range r.TrafficSplit {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// HashKey returns the form in which API keys are stored: the first 16 bytes of the SHA-256 digest in hexadecimal.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:16])
}
