package quorum

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/peer"
)

const (
	// callTimeout limits one call to a replica. It is longer than a commit, even on slow disks, and shorter than the time after
	// which callers turn to another instance.
	callTimeout = 700 * time.Millisecond
	// retryDelay is the time between two attempts to find the leader.
	retryDelay = 50 * time.Millisecond
)

var (
	// ErrNoLeader means that no leader was reached; nothing was committed.
	ErrNoLeader = errors.New("no leader reached")
	// ErrOutcomeUnknown means that a command may or may not have been committed.
	ErrOutcomeUnknown = errors.New("the command's fate is unknown")
)

// Client finds the leader of the log and calls it. It is safe for concurrent use.
type Client struct {
	links      *peer.Links
	replicas   func() []netip.AddrPort
	leaderHint func() netip.AddrPort
	lastLeader atomic.Pointer[netip.AddrPort]
}

// NewClient returns a client. replicas returns the addresses of the known replicas; leaderHint returns the address of the replica
// believed to be the leader, or an invalid address, and may be nil.
func NewClient(links *peer.Links, replicas func() []netip.AddrPort, leaderHint func() netip.AddrPort) *Client {
	return &Client{links: links, replicas: replicas, leaderHint: leaderHint}
}

// Leader returns the address of the replica believed to be the leader, else of the last one that answered as leader.
func (c *Client) Leader() (netip.AddrPort, bool) {
	if c.leaderHint != nil {
		if addr := c.leaderHint(); addr.IsValid() {
			return addr, true
		}
	}
	last := c.lastLeader.Load()
	if last == nil {
		return netip.AddrPort{}, false
	}
	return *last, true
}

// Propose commits a command. The command is sent again after a failure, so the state machine must apply it idempotently.
// After ErrNoLeader the command was not committed; after ErrOutcomeUnknown it may have been.
func (c *Client) Propose(ctx context.Context, cmd ctrl.Command) (ctrl.Result, error) {
	var response Response
	mayHaveRun, err := c.callLeader(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		response = Response{}
		err := c.links.Call(ctx, to, peer.Propose, callTimeout, Proposal{Command: cmd}, &response)
		return response.IsLeader, response.Leader, err
	})
	if err != nil && mayHaveRun {
		err = errors.Join(ErrOutcomeUnknown, err)
	}
	return response.Result, err
}

// Holder returns the holder of a cell's lease; the requester acquires the lease if it is free.
func (c *Client) Holder(ctx context.Context, q HolderRequest) (ctrl.Result, error) {
	var response Response
	_, err := c.callLeader(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		response = Response{}
		err := c.links.Call(ctx, to, peer.Holder, callTimeout, q, &response)
		return response.IsLeader, response.Leader, err
	})
	return response.Result, err
}

// Read reads a part of the control state from the leader, with a quorum read.
func (c *Client) Read(ctx context.Context, q Query) (QueryResult, error) {
	var result QueryResult
	_, err := c.callLeader(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		result = QueryResult{}
		err := c.links.Call(ctx, to, peer.Read, callTimeout, q, &result)
		return result.IsLeader, result.Leader, err
	})
	return result, err
}

// callLeader calls replicas until the leader answers or the context ends. call reports whether the replica leads and which one
// it believes to lead. mayHaveRun reports that a call failed, so that it may have taken effect.
func (c *Client) callLeader(
	ctx context.Context, call func(context.Context, netip.AddrPort) (bool, netip.AddrPort, error),
) (mayHaveRun bool, err error) {
	var lastErr error = ErrNoLeader
	replicaIndex := 0
	to, hinted := c.Leader()
	triedHint := netip.AddrPort{}
	for {
		if !hinted {
			replicas := c.replicas()
			if len(replicas) == 0 {
				return mayHaveRun, fault.Wrap("find leader", "", lastErr)
			}
			to = replicas[replicaIndex%len(replicas)]
			replicaIndex++
		}
		isLeader, hint, err := call(ctx, to)
		if err == nil && isLeader {
			c.lastLeader.Store(&to)
			return mayHaveRun, nil
		}
		if err != nil {
			lastErr, mayHaveRun = err, true
		}
		hinted = err == nil && hint.IsValid() && hint != to
		if hinted {
			to = hint
		} else if believed, ok := c.Leader(); ok && believed != to && believed != triedHint {
			triedHint, to, hinted = believed, believed, true
		}
		if err := waitRetry(ctx, hinted); err != nil {
			return mayHaveRun, fault.Wrap("find leader", "", errors.Join(lastErr, err))
		}
	}
}

// waitRetry waits before the next attempt: 1 ms if the next replica comes from a hint, else retryDelay.
func waitRetry(ctx context.Context, hinted bool) error {
	delay := retryDelay
	if hinted {
		delay = time.Millisecond
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}
