package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

type (
	// Links holds the connections to other instances and replaces them when one goes silent.
	Links struct {
		secret string
		local  netip.Addr
		mu     sync.RWMutex
		links  map[netip.AddrPort]*link
		// second holds another connection to each instance, for calls that must not wait behind a lost packet of the first.
		second map[netip.AddrPort]*link
		count  conns.ByteCounter
		calls  atomic.Int64
	}

	// link is the connection pool to one instance.
	link struct {
		links  *Links
		pool   *conns.Pool
		client Peer
	}

	// call is one method of the protocol.
	call func(Peer, context.Context, *Frame) (*Frame, error)
)

// Methods of the protocol, for Call.
var (
	Step     call = Peer.Step
	Propose  call = Peer.Propose
	Holder   call = Peer.Holder
	Pull     call = Peer.Pull
	Ask      call = Peer.Ask
	Finish   call = Peer.Finish
	Sync     call = Peer.Sync
	Announce call = Peer.Announce
	Show     call = Peer.Show
	Read     call = Peer.Read
)

// NewLinks returns a set of links that authenticate with the shared secret and dial from the local address, where it is valid.
func NewLinks(secret string, local netip.Addr) *Links {
	return &Links{secret: secret, local: local, links: map[netip.AddrPort]*link{}, second: map[netip.AddrPort]*link{}}
}

// Count returns the counter of the bytes between instances.
func (l *Links) Count() *conns.ByteCounter {
	return &l.count
}

// Calls returns the number of calls made so far.
func (l *Links) Calls() int64 {
	return l.calls.Load()
}

func (l *Links) to(all map[netip.AddrPort]*link, addr netip.AddrPort) *link {
	l.mu.RLock()
	k := all[addr]
	l.mu.RUnlock()
	if k != nil {
		return k
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if k = all[addr]; k == nil {
		k = &link{links: l}
		k.client = NewPeerProtobufClient("http://"+addr.String(), k)
		k.pool = conns.NewHTTP2(l.local, &l.count)
		all[addr] = k
	}
	return k
}

// Do sends a request over the pool, with the secret.
func (k *link) Do(q *http.Request) (*http.Response, error) {
	q.Header.Set("Authorization", "Bearer "+k.links.secret)
	return k.pool.Do(q)
}

// Call sends req by one method to a peer and decodes its answer into resp, within the timeout.
// After a timeout the next call uses a new connection.
func (l *Links) Call(ctx context.Context, to netip.AddrPort, m call, timeout time.Duration, req, resp any) error {
	f, err := pack(req)
	if err != nil {
		return fault.At("encode", to.String(), err)
	}
	out, err := l.send(ctx, l.to(l.links, to), m, timeout, f)
	if err != nil {
		return fault.At("call", to.String(), err)
	}
	return fault.At("decode", to.String(), Decode(out.Body, resp))
}

func (l *Links) send(ctx context.Context, k *link, m call, timeout time.Duration, f *Frame) (*Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.calls.Add(1)
	out, err := m(k.client, ctx, f)
	if err != nil && ctx.Err() == context.DeadlineExceeded {
		k.pool.Renew()
	}
	return out, err
}

// Twice is Call for a method that the peer takes once however often it comes: without an answer after a while, req is sent once
// more over another connection, and the first answer is taken.
func (l *Links) Twice(ctx context.Context, to netip.AddrPort, m call, after, timeout time.Duration, req, resp any) error {
	f, err := pack(req)
	if err != nil {
		return fault.At("encode", to.String(), err)
	}
	type answer struct {
		f   *Frame
		err error
	}
	const tries = 2
	out := make(chan answer, tries)
	try := func(all map[netip.AddrPort]*link) {
		f, err := l.send(ctx, l.to(all, to), m, timeout, f)
		out <- answer{f, err}
	}
	go try(l.links)
	t := time.NewTimer(after)
	defer t.Stop()
	var a answer
	select {
	case a = <-out:
	case <-t.C:
		go try(l.second)
		if a = <-out; a.err != nil {
			a = <-out
		}
	}
	if a.err != nil {
		return fault.At("call", to.String(), a.err)
	}
	return fault.At("decode", to.String(), Decode(a.f.Body, resp))
}
