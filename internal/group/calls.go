package group

import (
	"context"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

// Status returns the replica's state as last published.
func (g *Group) Status() repl.Status {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.status
}

// Leader returns the replica believed to be the leader, and whether one is known.
func (g *Group) Leader() (repl.Member, bool) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.leader, g.leader.ID != ""
}

// LeaderAddr returns the address of the replica believed to be the leader, or an invalid address if none is known.
func (g *Group) LeaderAddr() netip.AddrPort {
	m, _ := g.Leader()
	return m.Addr
}

// Cluster returns the cluster ID, or the empty string before this replica belongs to a cluster.
func (g *Group) Cluster() string {
	return g.identity().Cluster
}

// submit queues f to run on the replica's goroutine.
func (g *Group) submit(ctx context.Context, f func(now time.Time)) error {
	select {
	case g.tasks <- f:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-g.stopped:
		return ErrStopped
	}
}

// await waits for a value from the replica's goroutine, the end of the context, or the end of Run.
func await[T any](ctx context.Context, g *Group, ch <-chan T) (v T, err error) {
	select {
	case v = <-ch:
		return v, nil
	case <-ctx.Done():
		return v, ctx.Err()
	case <-g.stopped:
		return v, ErrStopped
	}
}

// Propose commits a command and returns the result of applying it.
// After an error other than repl.ErrNotLeader and ErrOverwritten the command may still be committed later.
func (g *Group) Propose(ctx context.Context, data []byte) (any, error) {
	reply := make(chan result, 1)
	err := g.submit(ctx, func(time.Time) {
		if g.core == nil {
			reply <- result{err: repl.ErrNotLeader}
			return
		}
		index, term, err := g.core.Propose(data)
		if err != nil {
			reply <- result{err: err}
			return
		}
		if old, ok := g.proposals[index]; ok {
			old.reply <- result{err: ErrOverwritten}
		}
		g.proposals[index] = proposal{term: term, reply: reply}
	})
	if err != nil {
		return nil, err
	}
	r, err := await(ctx, g, reply)
	if err != nil {
		return nil, err
	}
	return r.value, r.err
}

// Confirm performs a quorum read: at the returned time this replica was the leader and no newer leader existed, and everything
// committed by then is applied here. It returns repl.ErrNotLeader on a replica that is not the leader.
func (g *Group) Confirm(ctx context.Context) (time.Time, error) {
	reply := make(chan readResult, 1)
	err := g.submit(ctx, func(now time.Time) {
		if g.core == nil {
			reply <- readResult{err: repl.ErrNotLeader}
			return
		}
		round, err := g.core.StartRead()
		if err != nil {
			reply <- readResult{err: err}
			return
		}
		g.pendingReads[round] = pendingRead{start: now, reply: reply}
	})
	if err != nil {
		return time.Time{}, err
	}
	r, err := await(ctx, g, reply)
	if err != nil {
		return time.Time{}, err
	}
	return r.start, r.err
}
