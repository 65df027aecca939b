package egress

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/internal/pace"
)

const (
	// dialTimeout is the longest wait for a new connection: several trips between zones.
	dialTimeout = 300 * time.Millisecond
	// secondDial is the wait after which a second connection is tried, as the first one's opening packet may be lost.
	secondDial = 80 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged.
	silence = 2 * time.Second
	// Keep-alive probes find connections that something between the two ends has forgotten.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// keepUnknown is how long a connection is kept to an endpoint that does not tell its idle timeout.
	keepUnknown = 4 * time.Second
	// keepMargin is taken off an endpoint's idle timeout, so that it does not close a connection under a request.
	keepMargin = time.Second
	// maxIdle is the number of idle connections kept to one endpoint.
	maxIdle    = 32
	readBuffer = 4 << 10
	// dials is the number of tries to connect.
	dials = 2
)

type (
	// Dest is one start of an endpoint.
	Dest struct {
		ID   string
		Addr netip.AddrPort
		Born int64
	}

	// Pools keeps the idle connections to all endpoints.
	Pools struct {
		mu     sync.Mutex
		idle   map[Dest][]*Conn
		dialed int64
		reused int64
	}

	// Conn is a connection to an endpoint, used by one request at a time.
	Conn struct {
		*net.TCPConn
		dest  Dest
		br    *bufio.Reader
		since time.Time
		keep  time.Duration
		used  bool
	}
)

// New returns pools without connections.
func New() *Pools {
	return &Pools{idle: map[Dest][]*Conn{}}
}

// Counts returns how many connections were made and how many requests went over kept ones.
func (p *Pools) Counts() (dialed, reused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// Get returns a kept connection that is still open and silent, or a new one; an error tells that nothing was sent.
func (p *Pools) Get(ctx context.Context, now time.Time, to Dest) (*Conn, error) {
	for {
		c := p.take(now, to)
		if c == nil {
			break
		}
		if !conns.HungUp(c.TCPConn) && !conns.Unread(c.TCPConn) {
			c.used = true
			return c, nil
		}
		_ = c.TCPConn.Close()
	}
	return p.dial(ctx, to)
}

func (p *Pools) take(now time.Time, to Dest) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[to]
	for len(all) > 0 {
		c := all[len(all)-1]
		all = all[:len(all)-1]
		p.idle[to] = all
		if now.Sub(c.since) < c.keep {
			p.reused++
			return c
		}
		_ = c.TCPConn.Close()
	}
	delete(p.idle, to)
	return nil
}

// Put keeps a connection whose answer was read whole, for as long as the endpoint keeps it.
func (p *Pools) Put(now time.Time, c *Conn, keep time.Duration) {
	if keep <= 0 || c.br.Buffered() > 0 {
		_ = c.TCPConn.Close()
		return
	}
	c.since, c.keep = now, keep
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.dest]) >= maxIdle {
		_ = c.TCPConn.Close()
		return
	}
	p.idle[c.dest] = append(p.idle[c.dest], c)
}

// Prune closes the connections that are kept no longer, and those to endpoints for which keep answers false.
func (p *Pools) Prune(now time.Time, keep func(Dest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Sub(c.since) < c.keep && keep(to) {
				kept = append(kept, c)
				continue
			}
			_ = c.TCPConn.Close()
		}
		if p.idle[to] = kept; len(kept) == 0 {
			delete(p.idle, to)
		}
	}
}

// Reachable reports whether an endpoint takes a new connection.
func (p *Pools) Reachable(to Dest) bool {
	c, err := p.dial(context.Background(), to)
	if err != nil {
		return false
	}
	_ = c.TCPConn.Close()
	return true
}

// dial makes a connection, and tries a second time where the first takes long; the first that is made is used.
func (p *Pools) dial(ctx context.Context, to Dest) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	out := make(chan dialed, dials)
	go dialTo(ctx, to, 0, out)
	go dialTo(ctx, to, secondDial, out)
	var err error
	for range dials {
		m := <-out
		if m.err == nil {
			cancel()
			go closeRest(out)
			return p.open(m.conn, to), nil
		}
		if err = m.err; ctx.Err() == nil {
			go closeRest(out)
			break
		}
	}
	cancel()
	return nil, fault.At("connect", to.Addr.String(), err)
}

// dialed is how one try to connect ended.
type dialed struct {
	conn *net.TCPConn
	err  error
}

func dialTo(ctx context.Context, to Dest, after time.Duration, out chan<- dialed) {
	if after > 0 && !pace.Pause(ctx, after) {
		out <- dialed{err: ctx.Err()}
		return
	}
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
	c, err := d.DialContext(ctx, "tcp", to.Addr.String())
	if err != nil {
		out <- dialed{err: err}
		return
	}
	t, _ := c.(*net.TCPConn)
	out <- dialed{conn: t}
}

// closeRest closes the connection of the other try, should it be made too.
func closeRest(out <-chan dialed) {
	if m := <-out; m.conn != nil {
		_ = m.conn.Close()
	}
}

func (p *Pools) open(c *net.TCPConn, to Dest) *Conn {
	conns.LimitSilence(c, silence)
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &Conn{TCPConn: c, dest: to, br: bufio.NewReaderSize(c, readBuffer)}
}
