package memb

import (
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

const (
	// DriftPercent bounds how much two clocks' rates may differ.
	DriftPercent = 1
	// Hold is how long a pull waits for news at its parent; above the time between two proofs.
	Hold = 600 * time.Millisecond
)

type (
	// Pull asks a parent for what is newer than Version; Seen is the moment of the proof that the child has.
	Pull struct {
		Name    string `json:"name"`
		Boot    string `json:"boot"`
		Cluster string `json:"cluster,omitempty"`
		Version uint64 `json:"version"`
		Least   uint64 `json:"least"`
		Count   int    `json:"count"`
	}

	// News answers a pull. The configuration is current as of Ahead after the pull arrived (mostly negative).
	News struct {
		Cluster  string         `json:"cluster"`
		Version  uint64         `json:"version"`
		Full     bool           `json:"full,omitempty"`
		Items    []ctrl.Item    `json:"items,omitempty"`
		Proven   bool           `json:"proven"`
		Ahead    time.Duration  `json:"ahead"`
		Leader   netip.AddrPort `json:"leader"`
		Replicas []Replica      `json:"replicas,omitempty"`
	}

	// Proof is the newest moment, on the own clock, as of which no newer version than the own was accepted.
	Proof struct {
		moment time.Time
		valid  bool
	}

	// child is what a parent knows of one that pulls from it.
	child struct {
		least uint64
		count int
		seen  time.Time
	}

	// Children keeps the least applied version of the instances below this one.
	Children struct {
		bound time.Duration
		kids  map[string]child
	}
)

// Renew takes on a proof made at a moment, unless the present one is newer.
func (p *Proof) Renew(moment time.Time) {
	if !p.valid || moment.After(p.moment) {
		p.moment, p.valid = moment, true
	}
}

// Moment returns the moment of the proof, and whether there is one.
func (p *Proof) Moment() (time.Time, bool) {
	return p.moment, p.valid
}

// Fresh reports whether the proof is younger than the bound, less the drift of clocks.
func (p *Proof) Fresh(now time.Time, bound time.Duration) bool {
	return p.valid && now.Sub(p.moment) < bound-bound*DriftPercent/100
}

// Lapsed reports whether each instance that has not heard of what was accepted at a moment has lapsed by now: a proof
// that is still fresh is then of a later moment, and so of a configuration that holds it.
func Lapsed(now, accepted time.Time, bound time.Duration) bool {
	return now.Sub(accepted) > bound+bound*DriftPercent/100
}

// FromNews returns the moment that a parent's answer proves, where the pull was sent at sent.
// The pull arrived no earlier than it was sent, so the moment is never too late but for drift over the time held.
func FromNews(sent time.Time, n News) time.Time {
	ahead := n.Ahead
	if ahead > 0 {
		ahead -= ahead * DriftPercent / 100
	} else {
		ahead += ahead * DriftPercent / 100
	}
	return sent.Add(ahead)
}

// NewChildren returns an empty set that forgets a child which has not pulled for the bound,
// as that child has lapsed by then or pulls elsewhere.
func NewChildren(bound time.Duration) *Children {
	return &Children{bound: bound, kids: map[string]child{}}
}

// Seen notes a child's pull.
func (c *Children) Seen(now time.Time, p Pull) {
	c.kids[p.Name] = child{least: p.Least, count: p.Count, seen: now}
}

// Least returns the least version applied by self and all below it, and how many they are.
func (c *Children) Least(now time.Time, own uint64) (least uint64, count int) {
	least, count = own, 1
	for name, k := range c.kids {
		if now.Sub(k.seen) > c.bound+Hold {
			delete(c.kids, name)
			continue
		}
		least = min(least, k.least)
		count += k.count
	}
	return least, count
}
