package conns

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// sharedDial is the wait for a connection between instances, after which another instance is tried.
	sharedDial  = 300 * time.Millisecond
	idleTimeout = 20 * time.Second
	// maxAge bounds the age of a pool, as what stands between two ends may forget old connections.
	maxAge    = 5 * time.Minute
	maxIdle   = 64
	keepAlive = 5 * time.Second
	// maxStreams bounds the requests in progress on a shared connection; what waits for a grant is one each.
	maxStreams = 10_000
)

type (
	// Pool is the connections to one peer.
	Pool struct {
		mu    sync.Mutex
		t     *http.Transport
		born  time.Time
		local netip.Addr
		count *Count
		http2 bool
	}

	// Pools holds one pool for each peer.
	Pools struct {
		mu    sync.RWMutex
		pools map[netip.AddrPort]*Pool
	}
)

// New returns an empty pool that dials from a local address, or from any where that is not valid; count may be nil.
func New(local netip.Addr, count *Count) *Pool {
	p := &Pool{local: local, count: count}
	p.fill(time.Now())
	return p
}

// NewShared is New for a peer whose server is Shared: requests share a connection, and their headers are compressed.
func NewShared(local netip.Addr, count *Count) *Pool {
	p := &Pool{local: local, count: count, http2: true}
	p.fill(time.Now())
	return p
}

// Shared lets a server take connections of NewShared beside plain ones.
func Shared(s *http.Server) {
	s.Protocols = protocols(true)
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
}

func protocols(http1 bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(http1)
	p.SetUnencryptedHTTP2(true)
	return p
}

// fill gives the pool a new transport.
func (p *Pool) fill(now time.Time) {
	p.t, p.born = Transport(p.local), now
	if p.http2 {
		p.t.DialContext = dialer(p.local, sharedDial).DialContext
		p.t.Protocols = protocols(false)
	}
	if p.count != nil {
		p.t.DialContext = p.count.dialer(p.t.DialContext)
	}
}

// Transport returns a transport with bounded dialing and idle time, that dials from a local address where that is valid.
func Transport(local netip.Addr) *http.Transport {
	return &http.Transport{
		DialContext:         dialer(local, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func dialer(local netip.Addr, timeout time.Duration) *net.Dialer {
	d := &net.Dialer{Timeout: timeout, KeepAlive: keepAlive}
	if local.IsValid() && !local.IsUnspecified() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return d
}

// Once returns a transport that uses a new connection for each request, so that none is ever sent twice by the library.
func Once() *http.Transport {
	t := Transport(netip.Addr{})
	t.DisableKeepAlives = true
	return t
}

// Do sends a request over a pooled connection.
func (p *Pool) Do(q *http.Request) (*http.Response, error) {
	return p.transport(time.Now()).RoundTrip(q)
}

func (p *Pool) transport(now time.Time) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.born) > maxAge {
		p.t.CloseIdleConnections()
		p.fill(now)
	}
	return p.t
}

// Renew drops the pooled connections, all of which may be silent; the next request dials anew.
func (p *Pool) Renew() {
	p.mu.Lock()
	old := p.t
	p.fill(time.Now())
	p.mu.Unlock()
	old.CloseIdleConnections()
}

// NewPools returns an empty set of pools.
func NewPools() *Pools {
	return &Pools{pools: map[netip.AddrPort]*Pool{}}
}

// To returns the pool to a peer.
func (s *Pools) To(addr netip.AddrPort) *Pool {
	s.mu.RLock()
	p := s.pools[addr]
	s.mu.RUnlock()
	if p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p = s.pools[addr]; p == nil {
		p = New(netip.Addr{}, nil)
		s.pools[addr] = p
	}
	return p
}

// Silence returns a context that is canceled, with the deadline error as its cause, when feed is not called for the wait that it was last given.
func Silence(ctx context.Context, first time.Duration) (quiet context.Context, feed func(time.Duration), stop func()) {
	quiet, cancel := context.WithCancelCause(ctx)
	t := time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	feed = func(next time.Duration) { t.Reset(next) }
	stop = func() {
		t.Stop()
		cancel(context.Canceled)
	}
	return quiet, feed, stop
}
