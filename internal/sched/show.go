package sched

import (
	"net/netip"
	"sort"
	"time"
)

type (
	// ClassState is where a class's capacity went.
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

	// EndpointState is what the scheduler knows of an endpoint.
	EndpointState struct {
		Name    string         `json:"name"`
		Addr    netip.AddrPort `json:"addr"`
		Zone    string         `json:"zone"`
		Fences  bool           `json:"fences,omitempty"`
		Live    bool           `json:"live"`
		Leaving bool           `json:"leaving,omitempty"`
		Slow    bool           `json:"slow,omitempty"`
		Running int            `json:"running"`
		Limit   float64        `json:"limit"`
		Slots   int            `json:"slots"`
		Granted int            `json:"granted"`
		Gap     time.Duration  `json:"gap"`
		Age     time.Duration  `json:"age"`
	}

	// State is a view of a cell for operators.
	State struct {
		Epoch     uint64          `json:"epoch"`
		Slots     float64         `json:"slots"`
		Running   int             `json:"running"`
		Queued    int             `json:"queued"`
		Classes   []ClassState    `json:"classes"`
		Endpoints []EndpointState `json:"endpoints"`
	}
)

// Show returns a view of the cell, classes by tier and name, endpoints by name.
func (c *Core) Show(now time.Time) State {
	st := State{Epoch: c.epoch, Slots: c.slots(now), Running: len(c.running), Queued: len(c.queued)}
	for _, f := range c.flows {
		st.Classes = append(st.Classes, ClassState{
			Customer: f.key.customer, Class: f.key.class, Tier: f.terms.Tier, Share: f.terms.Share,
			Running: f.running, Queued: len(f.queue), Grants: f.grants, Shed: f.shed,
		})
	}
	sort.Slice(st.Classes, func(i, j int) bool {
		a, b := st.Classes[i], st.Classes[j]
		if a.Tier != b.Tier {
			return a.Tier < b.Tier
		}
		return a.Customer+"/"+a.Class < b.Customer+"/"+b.Class
	})
	for _, e := range c.order {
		st.Endpoints = append(st.Endpoints, EndpointState{
			Name: e.Info.Name, Addr: e.Info.Addr, Fences: e.Info.Fences, Zone: e.Info.Zone, Live: e.Live(now), Leaving: e.Info.Leaving, Slow: e.Slow,
			Running: e.Running, Limit: e.Limit, Slots: e.Info.Slots, Granted: e.Granted, Gap: e.TokenGap, Age: now.Sub(e.LastSeen),
		})
	}
	sort.Slice(st.Endpoints, func(i, j int) bool { return st.Endpoints[i].Name < st.Endpoints[j].Name })
	return st
}
