package spread

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/clock"
	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/memb"
)

const (
	// unprovenHold is the longest time for which a parent with no proof or a stale one holds a pull. It is short, as another
	// parent may have a proof; it is not 0, as all parents get a proof at about the same time after an election.
	unprovenHold = 100 * time.Millisecond
)

// notifyPulls ends the wait of all held pulls. The caller must hold d.mu.
func (d *Distributor) notifyPulls() {
	close(d.updated)
	d.updated = make(chan struct{})
}

// wakesPulls reports whether a change goes to other instances at once. One of the list of instances goes with the next proof: after a
// loss of power all instances register, and each registration would be an answer to each of them.
func wakesPulls(changed []ctrl.Item, full bool) bool {
	return full || slices.ContainsFunc(changed, func(item ctrl.Item) bool { return item.Kind != ctrl.KindInstance })
}

// Serve answers a child's pull: at once if there is a newer version, else at the next new version, proof or leader, and at the latest
// after memb.MaxHold. With no proof or a stale one it waits in any case, but at most unprovenHold, so that the child tries another
// parent.
func (d *Distributor) Serve(ctx context.Context, request memb.PullRequest) (memb.PullResponse, error) {
	arrived := clock.Now()
	d.mu.Lock()
	d.children.RecordPull(arrived, request)
	updated := d.updated
	provenAt, ok := d.proof.Time()
	hold := unprovenHold
	if ok && arrived.Sub(provenAt) < staleAge {
		if hold = memb.MaxHold; d.view.Load().Version > request.Version {
			hold = 0
		}
	}
	d.mu.Unlock()
	if hold > 0 {
		timer := time.NewTimer(hold)
		defer timer.Stop()
		select {
		case <-updated:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return d.responseTo(arrived, request), nil
}

// responseTo returns the response to a pull: the items changed since the child's version, or all items if the child belongs to no or
// another cluster or its version predates the last full replacement.
func (d *Distributor) responseTo(arrived time.Time, request memb.PullRequest) memb.PullResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	response := memb.PullResponse{Cluster: d.cluster, Version: d.view.Load().Version, Leader: d.Leader(), Replicas: d.Replicas()}
	provenAt, ok := d.proof.Time()
	response.Proven = ok && d.proof.Valid(clock.Now(), d.opt.MaxProofAge)
	response.ProofOffset = provenAt.Sub(arrived)
	if !response.Proven {
		response.ProofOffset = 0
	}
	since := request.Version
	if request.Cluster != d.cluster || since < d.baseVersion {
		since, response.Full = 0, true
	}
	for _, item := range d.items {
		if item.ModVersion > since {
			response.Items = append(response.Items, item)
		}
	}
	if response.Full && request.ReadsPacked {
		d.pack(&response)
	}
	return response
}

// pack replaces the items of a full response by packed ones. All instances that have just started get the same. The caller holds d.mu.
func (d *Distributor) pack(response *memb.PullResponse) {
	if d.packed == nil || d.packedVersion != response.Version {
		packed, err := memb.Pack(response.Items)
		if err != nil {
			d.opt.Log.Warn("configuration not packed", zap.Error(err))
			return
		}
		d.packed, d.packedVersion = packed, response.Version
	}
	response.Items, response.Packed = nil, d.packed
}
