package sched

import (
	"net/netip"
	"sort"
	"time"
)

type (
	// ClassState describes a class for operators: its tier and share, its running and queued requests, and its counters of
	// granted requests and of requests refused after they were queued. Share is a fraction of 1.
	ClassState struct {
		Customer string  `json:"customer"`
		Class    string  `json:"class"`
		Tier     int     `json:"tier"`
		Share    float64 `json:"share"`
		Running  int     `json:"running"`
		Queued   int     `json:"queued"`
		Grants   int     `json:"grants"`
		Shed     int     `json:"shed"`
	}

	// EndpointState is what the scheduler knows of an endpoint. Limit and Slots are in concurrent requests. TokenInterval is the
	// mean time between two tokens, and AnnouncementAge the time since the last announcement.
	EndpointState struct {
		Name            string         `json:"name"`
		Addr            netip.AddrPort `json:"addr"`
		Zone            string         `json:"zone"`
		EnforcesFence   bool           `json:"fences,omitempty"`
		Live            bool           `json:"live"`
		Leaving         bool           `json:"leaving,omitempty"`
		Slow            bool           `json:"slow,omitempty"`
		Running         int            `json:"running"`
		Limit           float64        `json:"limit"`
		Slots           int            `json:"slots"`
		Granted         int            `json:"granted"`
		TokenInterval   time.Duration  `json:"gap"`
		AnnouncementAge time.Duration  `json:"age"`
	}

	// State describes a cell for operators. Slots is the current capacity in concurrent requests.
	State struct {
		Epoch     uint64          `json:"epoch"`
		Slots     float64         `json:"slots"`
		Running   int             `json:"running"`
		Queued    int             `json:"queued"`
		Classes   []ClassState    `json:"classes"`
		Endpoints []EndpointState `json:"endpoints"`
	}
)

// State returns the state of the cell, with classes sorted by tier and name and endpoints by name.
func (s *Scheduler) State(now time.Time) State {
	state := State{Epoch: s.epoch, Slots: s.capacity(now), Running: len(s.running), Queued: len(s.queued)}
	for _, f := range s.flows {
		state.Classes = append(state.Classes, ClassState{
			Customer: f.key.customer, Class: f.key.class, Tier: f.terms.Tier, Share: f.terms.Share,
			Running: f.running, Queued: len(f.queue), Grants: f.grants, Shed: f.shed,
		})
	}
	sort.Slice(state.Classes, func(i, j int) bool {
		a, b := state.Classes[i], state.Classes[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		return a.Customer+"/"+a.Class < b.Customer+"/"+b.Class
	})
	for _, e := range s.endpointList {
		state.Endpoints = append(state.Endpoints, EndpointState{
			Name: e.Info.Name, Addr: e.Info.Addr, EnforcesFence: e.Info.EnforcesFence, Zone: e.Info.Zone,
			Live: e.Live(now), Leaving: e.Info.Leaving, Slow: e.Slow,
			Running: e.Running, Limit: e.Limit, Slots: e.Info.Slots, Granted: e.Granted,
			TokenInterval: e.TokenInterval, AnnouncementAge: now.Sub(e.LastSeen),
		})
	}
	sort.Slice(state.Endpoints, func(i, j int) bool { return state.Endpoints[i].Name < state.Endpoints[j].Name })
	return state
}
