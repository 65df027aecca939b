package memb

import (
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

const (
	// DriftPercent is the largest assumed difference between the rates of two clocks, in percent.
	DriftPercent = 1
	// MaxHold is the longest time for which a parent holds a pull, that is, delays the response until it has a newer version or proof.
	// It exceeds the time between two proofs.
	MaxHold = 600 * time.Millisecond
)

type (
	// PullRequest asks a parent for everything newer than Version. LeastVersion is the lowest version applied by the child and the
	// instances that pull through it, InstanceCount their number.
	PullRequest struct {
		Name          string `json:"name"`
		Boot          string `json:"boot"`
		Cluster       string `json:"cluster,omitempty"`
		Version       uint64 `json:"version"`
		LeastVersion  uint64 `json:"least"`
		InstanceCount int    `json:"count"`
		// ReadsPacked tells that the child understands PullResponse.Packed.
		ReadsPacked bool `json:"packed,omitempty"`
	}

	// PullResponse is the response to a PullRequest. If Proven is set, the configuration was current at the arrival of the request
	// plus ProofOffset, which is mostly negative. Full means that Items are the whole configuration rather than the changes.
	PullResponse struct {
		Cluster string      `json:"cluster"`
		Version uint64      `json:"version"`
		Full    bool        `json:"full,omitempty"`
		Items   []ctrl.Item `json:"items,omitempty"`
		// Packed holds compressed items instead of Items.
		Packed      []byte         `json:"packed,omitempty"`
		Proven      bool           `json:"proven"`
		ProofOffset time.Duration  `json:"ahead"`
		Leader      netip.AddrPort `json:"leader"`
		Replicas    []Replica      `json:"replicas,omitempty"`
	}

	// Proof is the latest time, on the local clock, at which no version newer than the local one had been accepted.
	Proof struct {
		provenAt time.Time
		known    bool
	}

	// child is what a parent knows of an instance that pulls from it.
	child struct {
		leastVersion uint64
		instances    int
		lastPull     time.Time
	}

	// Children tracks the lowest version applied by the instances that pull through this one.
	Children struct {
		maxAge time.Duration
		byName map[string]child
	}
)

// Renew adopts a proof made at provenAt unless the current one is newer.
func (p *Proof) Renew(provenAt time.Time) {
	if !p.known || provenAt.After(p.provenAt) {
		p.provenAt, p.known = provenAt, true
	}
}

// Time returns the time of the proof, and whether there is one.
func (p *Proof) Time() (time.Time, bool) {
	return p.provenAt, p.known
}

// Valid reports whether there is a proof that is younger than maxAge reduced by the maximum clock drift.
func (p *Proof) Valid(now time.Time, maxAge time.Duration) bool {
	return p.known && now.Sub(p.provenAt) < maxAge-maxAge*DriftPercent/100
}

// ProofsExpired reports whether, by now, the proof of every instance that has not received a change accepted at the given time is
// too old: any proof still valid is then later than the change, and so belongs to a configuration that includes it.
func ProofsExpired(now, accepted time.Time, maxAge time.Duration) bool {
	return now.Sub(accepted) > maxAge+maxAge*DriftPercent/100
}

// ProofTime returns the time, on the local clock, of the proof in a response to a pull sent at sent. As the pull cannot have
// arrived before it was sent, the result is never later than the actual time, except for clock drift, which is subtracted.
func ProofTime(sent time.Time, response PullResponse) time.Time {
	offset := response.ProofOffset
	if offset > 0 {
		offset -= offset * DriftPercent / 100
	} else {
		offset += offset * DriftPercent / 100
	}
	return sent.Add(offset)
}

// NewChildren returns an empty set. It drops a child that has not pulled for longer than maxAge plus MaxHold: by then the
// child's proof is too old, or it pulls from another parent.
func NewChildren(maxAge time.Duration) *Children {
	return &Children{maxAge: maxAge, byName: map[string]child{}}
}

// RecordPull records a child's pull.
func (c *Children) RecordPull(now time.Time, request PullRequest) {
	c.byName[request.Name] = child{leastVersion: request.LeastVersion, instances: request.InstanceCount, lastPull: now}
}

// LeastVersion returns the lowest version applied by this instance and all that pull through it, and their number.
func (c *Children) LeastVersion(now time.Time, ownVersion uint64) (least uint64, count int) {
	least, count = ownVersion, 1
	for name, ch := range c.byName {
		if now.Sub(ch.lastPull) > c.maxAge+MaxHold {
			delete(c.byName, name)
			continue
		}
		least = min(least, ch.leastVersion)
		count += ch.instances
	}
	return least, count
}
