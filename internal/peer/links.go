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
	// Links holds the connections to other instances and replaces a connection after a call over it has timed out. It is safe for
	// concurrent use.
	Links struct {
		secret  string
		local   netip.Addr
		mu      sync.RWMutex
		primary map[netip.AddrPort]*link
		// secondary holds another connection to each instance, for calls that must not wait for a lost packet of the primary one.
		secondary   map[netip.AddrPort]*link
		byteCounter conns.ByteCounter
		calls       atomic.Int64
	}

	// link is the client of one instance with its connection pool.
	link struct {
		links  *Links
		pool   *conns.Pool
		client Peer
	}

	// method calls one method of the protocol.
	method func(Peer, context.Context, *Frame) (*Frame, error)
)

// Methods of the protocol, as arguments of Call and CallHedged.
var (
	// Step delivers messages of the replicated log.
	Step method = Peer.Step
	// Propose asks the leader to commit a command.
	Propose method = Peer.Propose
	// Holder asks the leader who holds a cell's lease, and takes the lease if it is free.
	Holder method = Peer.Holder
	// Pull asks for newer configuration and a newer proof that it is current.
	Pull method = Peer.Pull
	// Ask asks a cell's scheduler for a grant.
	Ask method = Peer.Ask
	// Finish reports the end of granted runs.
	Finish method = Peer.Finish
	// Sync reports everything that an entry runs and waits for in a cell.
	Sync method = Peer.Sync
	// Announce forwards an endpoint's announcement to a cell's scheduler.
	Announce method = Peer.Announce
	// Show asks a cell's scheduler for its state.
	Show method = Peer.Show
	// Read asks the leader for a part of the control state.
	Read method = Peer.Read
)

// NewLinks returns a set of links that authenticate with the shared secret and, if local is valid, dial from that address.
func NewLinks(secret string, local netip.Addr) *Links {
	return &Links{secret: secret, local: local, primary: map[netip.AddrPort]*link{}, secondary: map[netip.AddrPort]*link{}}
}

// ByteCounter returns the counter of the bytes exchanged with other instances.
func (l *Links) ByteCounter() *conns.ByteCounter {
	return &l.byteCounter
}

// Calls returns the number of calls made so far.
func (l *Links) Calls() int64 {
	return l.calls.Load()
}

// link returns the link to an address from byAddr, which is l.primary or l.secondary, and creates it if there is none.
func (l *Links) link(byAddr map[netip.AddrPort]*link, addr netip.AddrPort) *link {
	l.mu.RLock()
	ln := byAddr[addr]
	l.mu.RUnlock()
	if ln != nil {
		return ln
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ln = byAddr[addr]; ln == nil {
		ln = &link{links: l}
		ln.client = NewPeerProtobufClient("http://"+addr.String(), ln)
		ln.pool = conns.NewHTTP2(l.local, &l.byteCounter)
		byAddr[addr] = ln
	}
	return ln
}

// Do sends a request over the pool, authenticated with the shared secret.
func (ln *link) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+ln.links.secret)
	return ln.pool.Do(r)
}

// Send sends an HTTP request to a peer over the connection that is shared by all requests to it, authenticated with the shared secret.
func (l *Links) Send(addr netip.AddrPort, req *http.Request) (*http.Response, error) {
	l.calls.Add(1)
	return l.link(l.secondary, addr).Do(req)
}

// Call sends req to a peer by a method of the protocol and decodes the answer into resp. If it takes longer than timeout, it
// fails, and the next call uses a new connection.
func (l *Links) Call(ctx context.Context, addr netip.AddrPort, m method, timeout time.Duration, req, resp any) error {
	frame, err := encodeFrame(req)
	if err != nil {
		return fault.Wrap("encode", addr.String(), err)
	}
	reply, err := l.sendFrame(ctx, l.link(l.primary, addr), m, timeout, frame)
	if err != nil {
		return fault.Wrap("call", addr.String(), err)
	}
	return fault.Wrap("decode", addr.String(), Decode(reply.Body, resp))
}

// sendFrame calls a method over a link, and renews the link's connection if the call times out.
func (l *Links) sendFrame(ctx context.Context, ln *link, m method, timeout time.Duration, frame *Frame) (*Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.calls.Add(1)
	reply, err := m(ln.client, ctx, frame)
	if err != nil && ctx.Err() == context.DeadlineExceeded {
		ln.pool.Renew()
	}
	return reply, err
}

// CallHedged is a hedged Call, for a method that the peer applies once however often it arrives: if no answer has come after
// hedgeDelay, req is sent again over the secondary connection, and the first answer without an error is used.
func (l *Links) CallHedged(ctx context.Context, addr netip.AddrPort, m method, hedgeDelay, timeout time.Duration, req, resp any) error {
	frame, err := encodeFrame(req)
	if err != nil {
		return fault.Wrap("encode", addr.String(), err)
	}
	type result struct {
		frame *Frame
		err   error
	}
	const maxAttempts = 2
	results := make(chan result, maxAttempts)
	attempt := func(byAddr map[netip.AddrPort]*link) {
		reply, err := l.sendFrame(ctx, l.link(byAddr, addr), m, timeout, frame)
		results <- result{reply, err}
	}
	go attempt(l.primary)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	var first result
	select {
	case first = <-results:
	case <-timer.C:
		go attempt(l.secondary)
		if first = <-results; first.err != nil {
			first = <-results
		}
	}
	if first.err != nil {
		return fault.Wrap("call", addr.String(), first.err)
	}
	return fault.Wrap("decode", addr.String(), Decode(first.frame.Body, resp))
}
