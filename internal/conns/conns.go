package conns

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
)

const (
	dialTimeout = time.Second
	// http2DialTimeout bounds the wait for a connection between instances, after which another instance is tried.
	http2DialTimeout = 300 * time.Millisecond
	idleTimeout      = 20 * time.Second
	// maxTransportAge bounds the age of a pool's connections, as middleboxes may drop old ones.
	maxTransportAge   = 5 * time.Minute
	maxIdlePerHost    = 64
	keepAliveInterval = 5 * time.Second
	// maxHeadBytes bounds the head of a response, in bytes, like that of a request.
	maxHeadBytes = 64 << 10
	// maxStreams bounds the concurrent requests on a shared connection; each request that waits for a scheduler's grant counts
	// as one.
	maxStreams = 10_000
)

type (
	// Pool holds the connections to one peer, an instance or an endpoint.
	Pool struct {
		mu        sync.Mutex
		transport *http.Transport
		// sender sends requests with the settings of transport.
		sender    roundTripper
		createdAt time.Time
		localAddr netip.Addr
		counter   *ByteCounter
		http2     bool
	}

	roundTripper interface {
		http.RoundTripper
		CloseIdleConnections()
	}

	// Pools holds one Pool per peer.
	Pools struct {
		mu    sync.RWMutex
		pools map[netip.AddrPort]*Pool
	}
)

// New returns an empty pool. It dials from localAddr, or from any address if that is not valid. If counter is not nil,
// it counts the bytes transferred.
func New(localAddr netip.Addr, counter *ByteCounter) *Pool {
	p := &Pool{localAddr: localAddr, counter: counter}
	p.resetTransport(time.Now())
	return p
}

// NewHTTP2 is like New, for a peer whose server uses EnableHTTP2: requests share one HTTP/2 connection, which compresses
// their headers.
func NewHTTP2(localAddr netip.Addr, counter *ByteCounter) *Pool {
	p := &Pool{localAddr: localAddr, counter: counter, http2: true}
	p.resetTransport(time.Now())
	return p
}

// EnableHTTP2 makes a server accept unencrypted HTTP/2 besides HTTP/1.1, for pools made by NewHTTP2.
func EnableHTTP2(server *http.Server) {
	server.Protocols = httpProtocols(true)
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
}

// httpProtocols returns unencrypted HTTP/2, with HTTP/1.1 besides it if http1 is set.
func httpProtocols(http1 bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(http1)
	p.SetUnencryptedHTTP2(true)
	return p
}

// resetTransport replaces the transport by a new one.
func (p *Pool) resetTransport(now time.Time) {
	p.transport, p.createdAt = NewTransport(p.localAddr), now
	if p.http2 {
		p.transport.DialContext = newDialer(p.localAddr, http2DialTimeout).DialContext
		p.transport.Protocols = httpProtocols(false)
	}
	if p.counter != nil {
		p.transport.DialContext = p.counter.countDial(p.transport.DialContext)
	}
	if p.sender = p.transport; !p.http2 {
		p.sender = answer.NewTransport(p.transport)
	}
}

// NewTransport returns a transport with dial and idle timeouts. It dials from localAddr if that is valid.
func NewTransport(localAddr netip.Addr) *http.Transport {
	return &http.Transport{
		DialContext:         newDialer(localAddr, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func newDialer(localAddr netip.Addr, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval},
	}
	if localAddr.IsValid() && !localAddr.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(localAddr, 0))
	}
	return dialer
}

// NewUnpooledTransport returns a transport that uses a new connection for each request, so that net/http never sends one
// twice.
func NewUnpooledTransport() http.RoundTripper {
	transport := NewTransport(netip.Addr{})
	transport.DisableKeepAlives = true
	return answer.NewTransport(transport)
}

// Do sends a request on a pooled connection.
func (p *Pool) Do(req *http.Request) (*http.Response, error) {
	return p.currentSender(time.Now()).RoundTrip(req)
}

func (p *Pool) currentSender(now time.Time) http.RoundTripper {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.createdAt) > maxTransportAge {
		p.sender.CloseIdleConnections()
		p.resetTransport(now)
	}
	return p.sender
}

// Renew drops the pooled connections, all of which may be dead. The next request opens a new one.
func (p *Pool) Renew() {
	p.mu.Lock()
	old := p.sender
	p.resetTransport(time.Now())
	p.mu.Unlock()
	old.CloseIdleConnections()
}

// NewPools returns an empty set of pools.
func NewPools() *Pools {
	return &Pools{pools: map[netip.AddrPort]*Pool{}}
}

// Pool returns the pool for a peer and creates it on first use.
func (p *Pools) Pool(addr netip.AddrPort) *Pool {
	p.mu.RLock()
	pool := p.pools[addr]
	p.mu.RUnlock()
	if pool != nil {
		return pool
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool = p.pools[addr]; pool == nil {
		pool = New(netip.Addr{}, nil)
		p.pools[addr] = pool
	}
	return pool
}

// WithIdleTimeout returns a context that is cancelled with the cause context.DeadlineExceeded after firstTimeout, unless
// reset is called first, which restarts the timeout with a new duration. stop must be called to release the timer.
func WithIdleTimeout(ctx context.Context, firstTimeout time.Duration) (idleCtx context.Context, reset func(time.Duration), stop func()) {
	idleCtx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(firstTimeout, func() { cancel(context.DeadlineExceeded) })
	reset = func(timeout time.Duration) { timer.Reset(timeout) }
	stop = func() {
		timer.Stop()
		cancel(context.Canceled)
	}
	return idleCtx, reset, stop
}
