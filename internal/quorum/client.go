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
	// callTimeout is above the time of a commit, with slow disks too, and below the time after which callers turn elsewhere.
	callTimeout = 700 * time.Millisecond
	pause       = 50 * time.Millisecond
)

var (
	// ErrNoLeader tells that no replica that leads was reached, so that nothing was committed.
	ErrNoLeader = errors.New("no leader reached")
	// ErrUnknown tells that a command may or may not have been committed.
	ErrUnknown = errors.New("the command's fate is unknown")
)

// Client finds the leader and calls it.
type Client struct {
	links    *peer.Links
	replicas func() []netip.AddrPort
	hint     func() netip.AddrPort
	lead     atomic.Pointer[netip.AddrPort]
}

// NewClient returns a client. replicas returns the addresses of the replicas that are known at present, and hint that of the
// one that is believed to lead, or an invalid one; hint may be nil.
func NewClient(links *peer.Links, replicas func() []netip.AddrPort, hint func() netip.AddrPort) *Client {
	return &Client{links: links, replicas: replicas, hint: hint}
}

// Leader returns the address of the replica that is believed to lead, or that led when last asked.
func (c *Client) Leader() (netip.AddrPort, bool) {
	if c.hint != nil {
		if a := c.hint(); a.IsValid() {
			return a, true
		}
	}
	p := c.lead.Load()
	if p == nil {
		return netip.AddrPort{}, false
	}
	return *p, true
}

// Propose commits a command. It is sent again after a failure, so it must be one that the state machine takes once.
// After ErrNoLeader it was not committed; after ErrUnknown it may have been.
func (c *Client) Propose(ctx context.Context, cmd ctrl.Command) (ctrl.Result, error) {
	var out Outcome
	maybe, err := c.lookFor(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		out = Outcome{}
		err := c.links.Call(ctx, to, peer.Propose, callTimeout, Proposal{Command: cmd}, &out)
		return out.Lead, out.Leader, err
	})
	if err != nil && maybe {
		err = errors.Join(ErrUnknown, err)
	}
	return out.Result, err
}

// Holder returns who schedules a cell; the asker takes the lease if it is free.
func (c *Client) Holder(ctx context.Context, h Holder) (ctrl.Result, error) {
	var out Outcome
	_, err := c.lookFor(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		out = Outcome{}
		err := c.links.Call(ctx, to, peer.Holder, callTimeout, h, &out)
		return out.Lead, out.Leader, err
	})
	return out.Result, err
}

// Read asks the leader for a part of the control state.
func (c *Client) Read(ctx context.Context, q Query) (View, error) {
	var v View
	_, err := c.lookFor(ctx, func(ctx context.Context, to netip.AddrPort) (bool, netip.AddrPort, error) {
		v = View{}
		err := c.links.Call(ctx, to, peer.Read, callTimeout, q, &v)
		return v.Lead, v.Leader, err
	})
	return v, err
}

// lookFor calls replicas until one that leads answers or the context ends.
// maybe tells that some call failed without an answer, so that it may have had its effect.
func (c *Client) lookFor(ctx context.Context, call func(context.Context, netip.AddrPort) (bool, netip.AddrPort, error)) (maybe bool, err error) {
	var last error = ErrNoLeader
	next := 0
	to, known := c.Leader()
	tried := netip.AddrPort{}
	for {
		if !known {
			all := c.replicas()
			if len(all) == 0 {
				return maybe, fault.At("find leader", "", last)
			}
			to = all[next%len(all)]
			next++
		}
		lead, hint, err := call(ctx, to)
		if err == nil && lead {
			c.lead.Store(&to)
			return maybe, nil
		}
		if err != nil {
			last, maybe = err, true
		}
		known = err == nil && hint.IsValid() && hint != to
		if known {
			to = hint
		} else if a, ok := c.Leader(); ok && a != to && a != tried {
			tried, to, known = a, a, true
		}
		if err := sleep(ctx, known); err != nil {
			return maybe, fault.At("find leader", "", errors.Join(last, err))
		}
	}
}

// sleep pauses before the next try, unless a hint says where to go.
func sleep(ctx context.Context, known bool) error {
	d := pause
	if known {
		d = time.Millisecond
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
