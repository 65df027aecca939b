package live

import (
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// faultyNetwork proxies the connections between instances. It can isolate an instance without closing its connections, as a
// network partition does, and add delay.
type faultyNetwork struct {
	t        *testing.T
	mu       sync.Mutex
	names    map[netip.Addr]string
	isolated map[string]bool
	conns    map[net.Conn]struct{}
	delay    func() time.Duration
}

func newFaultyNetwork(t *testing.T) *faultyNetwork {
	nw := &faultyNetwork{t: t, names: map[netip.Addr]string{}, isolated: map[string]bool{}, conns: map[net.Conn]struct{}{}}
	t.Cleanup(nw.close)
	return nw
}

func (nw *faultyNetwork) close() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for c := range nw.conns {
		_ = c.Close()
	}
}

// proxy starts a listener that forwards to an instance's peer address and returns the listener's address.
func (nw *faultyNetwork) proxy(name string, to netip.AddrPort) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(nw.t, err)
	nw.t.Cleanup(func() { _ = listener.Close() })
	nw.mu.Lock()
	nw.names[to.Addr()] = name
	nw.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go nw.forward(conn, name, to)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// isolate partitions an instance from all others if isolated is true, and otherwise reconnects it.
func (nw *faultyNetwork) isolate(name string, isolated bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.isolated[name] = isolated
}

func (nw *faultyNetwork) partitioned(a, b string) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return a != b && (nw.isolated[a] || nw.isolated[b])
}

func (nw *faultyNetwork) forward(conn net.Conn, to string, addr netip.AddrPort) {
	nw.mu.Lock()
	from := nw.names[netip.MustParseAddrPort(conn.RemoteAddr().String()).Addr()]
	nw.conns[conn] = struct{}{}
	nw.mu.Unlock()
	defer func() { _ = conn.Close() }()
	for nw.partitioned(from, to) {
		time.Sleep(20 * time.Millisecond)
	}
	upstream, err := net.Dial("tcp", addr.String())
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go nw.relay(conn, upstream, from, to)
	nw.relay(upstream, conn, from, to)
}

// degrade adds a varying delay to the links between instances and stalls one in a hundred writes, as a lost and retransmitted
// packet would.
func (nw *faultyNetwork) degrade(seed uint64) {
	const minDelay, jitter, stallDelay, stallOneIn = 3 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond, 100
	rng := rand.New(rand.NewPCG(seed, 0))
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.delay = func() time.Duration {
		if rng.IntN(stallOneIn) == 0 {
			return stallDelay
		}
		return minDelay + time.Duration(rng.Int64N(int64(jitter)))
	}
}

// waitDelay sleeps for the simulated delay of one write.
func (nw *faultyNetwork) waitDelay() {
	nw.mu.Lock()
	var delay time.Duration
	if nw.delay != nil {
		delay = nw.delay()
	}
	nw.mu.Unlock()
	time.Sleep(delay)
}

// relay copies bytes from src to dst. It blocks during a partition, and when that ends drops the data that it held back and
// closes dst.
func (nw *faultyNetwork) relay(dst, src net.Conn, from, to string) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		dropped := false
		for nw.partitioned(from, to) {
			dropped = true
			time.Sleep(20 * time.Millisecond)
		}
		if dropped || err != nil {
			return
		}
		nw.waitDelay()
		if _, err := dst.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
