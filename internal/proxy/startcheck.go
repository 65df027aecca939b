package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewheel/greengagewheel/internal/egress"
	"github.com/greengagewheel/greengagewheel/internal/notice"
)

const (
	// startCheckTimeout bounds a query for an engine's start time, with a connection of its own.
	startCheckTimeout = time.Second
	// An engine that cannot be asked, as it has no room for a connection, is asked again after startCheckDelay, startCheckTries times in all.
	startCheckDelay = 200 * time.Millisecond
	startCheckTries = 3
)

type (
	// startChecks asks engines for their start time once streams have begun there. It is safe for concurrent use.
	//
	// An engine that tells the announced start after a stream's first event has written that event: a later process at its address
	// would tell a later start, and an earlier one was gone before.
	startChecks struct {
		mu sync.Mutex
		// waiting holds the proofs that are wanted by the next query to an engine; an entry without any means that a query is under way.
		waiting map[notice.Start][]*startProof
	}

	// startProof is the answer to the question whether a stream began at the announced start of its engine. done is closed with the
	// result. If accepted is set, onAccepted was called before; told is unset if the engine does not tell its start, so that the
	// announced one has to do.
	startProof struct {
		done       chan struct{}
		accepted   bool
		told       bool
		onAccepted func(told bool)
	}
)

func newStartChecks() *startChecks {
	return &startChecks{waiting: map[notice.Start][]*startProof{}}
}

// settledProof returns a proof whose start is accepted.
func settledProof(told bool) *startProof {
	proof := &startProof{done: make(chan struct{}), accepted: true, told: told}
	close(proof.done)
	return proof
}

// wait waits briefly for the result. It reports whether the announced start is accepted, and whether the engine told it.
func (p *startProof) wait(ctx context.Context) (accepted, told bool) {
	timer := time.NewTimer(startQueryTimeout)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.accepted, p.told
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, false
}

// settle sets the result.
func (p *startProof) settle(accepted, told bool) {
	if p.accepted, p.told = accepted, told; accepted {
		p.onAccepted(told)
	}
	close(p.done)
}

// checkStart asks an engine for its start time, and calls onAccepted if it is the announced one, or if the engine does not tell any.
func (p *Proxy) checkStart(dest egress.Dest, onAccepted func(told bool)) *startProof {
	ep := notice.Start{ID: dest.ID, StartedAtMS: dest.StartedAtMS}
	proof := &startProof{done: make(chan struct{}), onAccepted: onAccepted}
	c := p.startChecks
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.waiting[ep]
	c.waiting[ep] = append(c.waiting[ep], proof)
	if !running {
		go p.runStartChecks(dest, ep)
	}
	return proof
}

// runStartChecks queries an engine until no proof is wanted.
func (p *Proxy) runStartChecks(dest egress.Dest, ep notice.Start) {
	c := p.startChecks
	for {
		c.mu.Lock()
		proofs := c.waiting[ep]
		if len(proofs) == 0 {
			delete(c.waiting, ep)
			c.mu.Unlock()
			return
		}
		c.waiting[ep] = nil
		c.mu.Unlock()
		told, err := p.askStart(dest, ep)
		for try := 1; err != nil && !errors.Is(err, errOtherStart) && try < startCheckTries; try++ {
			time.Sleep(startCheckDelay)
			told, err = p.askStart(dest, ep)
		}
		if err != nil {
			p.opt.Log.Info("start of an engine not proven", zap.String("endpoint", ep.ID), zap.Int64("born", ep.StartedAtMS),
				zap.Int("streams", len(proofs)), zap.Error(err))
		}
		for _, proof := range proofs {
			proof.settle(err == nil, told)
		}
	}
}

// askStart returns an error unless an engine tells the announced start, or does not tell any; told is unset then.
func (p *Proxy) askStart(dest egress.Dest, ep notice.Start) (told bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), startCheckTimeout)
	defer cancel()
	p.startsAsked.Add(1)
	if conn := p.pools.Idle(p.opt.Now(), dest, ""); conn != nil {
		if told, err = p.askStartOn(ctx, conn, ep); !errors.Is(err, errUnmatchedAnswer) {
			return told, err
		}
	}
	conn, err := p.pools.Dial(ctx, dest)
	if err != nil {
		return false, err
	}
	return p.askStartOn(ctx, conn, ep)
}

// askStartOn is askStart over a connection, which it keeps if it can be used again.
func (p *Proxy) askStartOn(ctx context.Context, conn *egress.Conn, ep notice.Start) (told bool, err error) {
	err = p.queryStart(ctx, conn, ep)
	switch {
	case errors.Is(err, errStartUntold):
		_ = conn.Close()
		return false, nil
	case err != nil:
		_ = conn.Close()
		return false, err
	}
	p.pools.Keep(p.opt.Now(), conn)
	return conn.ProvenStart() == ep.StartedAtMS, nil
}
