package egress

import (
	"bufio"
	"context"
	"hash/fnv"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// dialTimeout bounds the wait for a new connection: several round trips between zones.
	dialTimeout = 300 * time.Millisecond
	// secondDialDelay is the delay before a second connection attempt, as the SYN of the first may be lost.
	secondDialDelay = 80 * time.Millisecond
	// userTimeout is how long sent data or keep-alive probes may stay unacknowledged. The kernel counts it from the last segment
	// received, which is up to probeIdle before a silence; a sound endpoint may be silent for some two seconds.
	userTimeout = 4 * time.Second
	// Keep-alive probes detect connections that a middlebox has dropped.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from an endpoint's idle timeout, so that the endpoint does not close a connection
	// while a request is sent on it.
	idleTimeoutMargin = time.Second
	// maxIdlePerEndpoint is the number of idle connections kept to one endpoint.
	maxIdlePerEndpoint = 32
	// readBufferBytes is the size of a connection's read buffer, in bytes.
	readBufferBytes = 4 << 10
	// dialAttempts is the number of attempts to connect; the second one starts after secondDialDelay.
	dialAttempts = 2
	// maxFailedRequests is the number of failed requests after which a connection is not used again, as it remembers no more.
	maxFailedRequests = 64
)

type (
	// Dest identifies one process start of an endpoint. StartedAtMS is the time of the start in Unix milliseconds.
	Dest struct {
		ID          string
		Addr        netip.AddrPort
		StartedAtMS int64
	}

	// Dialer opens connections to endpoints.
	Dialer interface {
		DialContext(ctx context.Context, network, addr string) (net.Conn, error)
	}

	// Pools holds the idle connections to all endpoints.
	Pools struct {
		dialer Dialer
		mu     sync.Mutex
		idle   map[Dest][]*Conn
		dialed int64
		reused int64
	}

	// Conn is a connection to an endpoint, used by one request at a time.
	Conn struct {
		*net.TCPConn
		// wire is the connection as requests and responses use it.
		wire        *answer.Conn
		dest        Dest
		source      *responseReader
		reader      *bufio.Reader
		idleSince   time.Time
		idleTimeout time.Duration
		reused      bool
		// requests is the number of requests sent on the connection. skipped is set once a response was read that belongs to none of them.
		requests int
		skipped  bool
		// provenStart is the start time of the endpoint's process as it told itself on this connection, or 0.
		provenStart atomic.Int64
		// failed holds the hashes of the IDs of requests that were answered with a failure on this connection.
		failed []uint64
	}
)

// New returns empty pools.
func New(dialer Dialer) *Pools {
	return &Pools{dialer: dialer, idle: map[Dest][]*Conn{}}
}

// NewDialer returns a dialer whose connections are given up when their endpoint does not answer keep-alive probes.
func NewDialer() *net.Dialer {
	return &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
}

// ConnectionCounts returns the number of connections made, and how often an idle one was taken from a pool, even if it proved
// closed.
func (p *Pools) ConnectionCounts() (dialed, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// Idle returns an idle connection for a request that is still open and has no unread data, or nil. A connection on which the request
// has failed is not returned: a late copy of that answer would be taken for the answer to the request when it is sent again.
func (p *Pools) Idle(now time.Time, dest Dest, requestID string) *Conn {
	for {
		c := p.takeIdle(now, dest, requestID)
		if c == nil {
			return nil
		}
		if !conns.PeerClosed(c.TCPConn) && !conns.HasUnreadData(c.TCPConn) {
			c.reused = true
			return c
		}
		_ = c.TCPConn.Close()
	}
}

// takeIdle takes the connection that was used last from the pool, of those on which the request has not failed.
func (p *Pools) takeIdle(now time.Time, dest Dest, requestID string) (taken *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[dest]
	for i := len(idle) - 1; i >= 0 && taken == nil; i-- {
		c := idle[i]
		switch {
		case now.Sub(c.idleSince) >= c.idleTimeout:
			_ = c.TCPConn.Close()
		case c.hasFailed(requestID):
			continue
		default:
			taken = c
			p.reused++
		}
		idle = slices.Delete(idle, i, i+1)
	}
	if p.idle[dest] = idle; len(idle) == 0 {
		delete(p.idle, dest)
	}
	return taken
}

// hashID returns the form in which a connection remembers the ID of a request. Two IDs with the same hash only cost a connection.
func hashID(requestID string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(requestID))
	return h.Sum64()
}

// hasFailed reports whether a request was answered with a failure on the connection.
func (c *Conn) hasFailed(requestID string) bool {
	return len(c.failed) > 0 && slices.Contains(c.failed, hashID(requestID))
}

// Put returns a connection to its pool for up to idleTimeout. Its last response must have been read completely.
func (p *Pools) Put(now time.Time, c *Conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 || len(c.failed) >= maxFailedRequests || c.reader.Buffered() > 0 || c.source.buffered() > 0 {
		_ = c.TCPConn.Close()
		return
	}
	c.idleSince, c.idleTimeout = now, idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.dest]) >= maxIdlePerEndpoint {
		_ = c.TCPConn.Close()
		return
	}
	p.idle[c.dest] = append(p.idle[c.dest], c)
}

// Keep returns a connection to its pool after a query.
func (p *Pools) Keep(now time.Time, c *Conn) {
	idleTimeout := c.idleTimeout
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	if c.setDeadline(time.Time{}) != nil {
		_ = c.TCPConn.Close()
		return
	}
	p.Put(now, c, idleTimeout)
}

// Reused reports whether the connection served earlier requests.
func (c *Conn) Reused() bool {
	return c.reused
}

// ProvenStart returns the start time that SetProvenStart was called with, or 0. The process at the other end is the same for the life
// of a connection.
func (c *Conn) ProvenStart() int64 {
	return c.provenStart.Load()
}

// SetProvenStart records the start time of the endpoint's process, in Unix milliseconds. It may be called while the connection is used.
func (c *Conn) SetProvenStart(startedAtMS int64) {
	c.provenStart.Store(startedAtMS)
}

// Prune closes expired idle connections and those to endpoints for which inUse returns false.
func (p *Pools) Prune(now time.Time, inUse func(Dest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for dest, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Sub(c.idleSince) < c.idleTimeout && inUse(dest) {
				kept = append(kept, c)
				continue
			}
			_ = c.TCPConn.Close()
		}
		if p.idle[dest] = kept; len(kept) == 0 {
			delete(p.idle, dest)
		}
	}
}

// Reachable reports whether an endpoint accepts a new connection.
func (p *Pools) Reachable(dest Dest) bool {
	c, err := p.Dial(context.Background(), dest)
	if err != nil {
		return false
	}
	_ = c.TCPConn.Close()
	return true
}

// Dial opens a connection. If the first attempt takes long, it starts a second one and uses whichever succeeds first.
func (p *Pools) Dial(ctx context.Context, dest Dest) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	results := make(chan dialResult, dialAttempts)
	go p.dialAfter(ctx, dest, 0, results)
	go p.dialAfter(ctx, dest, secondDialDelay, results)
	var err error
	for range dialAttempts {
		result := <-results
		if result.err == nil {
			cancel()
			go closeOther(results)
			return p.newConn(result.conn, dest), nil
		}
		if err = result.err; ctx.Err() == nil {
			go closeOther(results)
			break
		}
	}
	cancel()
	return nil, fault.Wrap("connect", dest.Addr.String(), err)
}

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn *net.TCPConn
	err  error
}

func (p *Pools) dialAfter(ctx context.Context, dest Dest, delay time.Duration, results chan<- dialResult) {
	if delay > 0 && !pace.Sleep(ctx, delay) {
		results <- dialResult{err: ctx.Err()}
		return
	}
	c, err := p.dialer.DialContext(ctx, "tcp", dest.Addr.String())
	if err != nil {
		results <- dialResult{err: err}
		return
	}
	tcpConn, _ := c.(*net.TCPConn)
	results <- dialResult{conn: tcpConn}
}

// closeOther closes the connection of the other attempt if that succeeds too.
func closeOther(results <-chan dialResult) {
	if result := <-results; result.conn != nil {
		_ = result.conn.Close()
	}
}

func (p *Pools) newConn(c *net.TCPConn, dest Dest) *Conn {
	conns.SetUserTimeout(c, userTimeout)
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	wire := answer.NewConn(c)
	source := newResponseReader(wire)
	return &Conn{TCPConn: c, wire: wire, dest: dest, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}
