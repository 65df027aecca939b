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

// web is the connections between instances: each runs through a proxy that can be cut silently, as a partition does.
type web struct {
	t     *testing.T
	mu    sync.Mutex
	names map[netip.Addr]string
	alone map[string]bool
	open  map[net.Conn]struct{}
	delay func() time.Duration
}

func newWeb(t *testing.T) *web {
	w := &web{t: t, names: map[netip.Addr]string{}, alone: map[string]bool{}, open: map[net.Conn]struct{}{}}
	t.Cleanup(w.close)
	return w
}

func (w *web) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		_ = c.Close()
	}
}

// proxy listens in place of an instance's peers' address.
func (w *web) proxy(name string, to netip.AddrPort) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(w.t, err)
	w.t.Cleanup(func() { _ = l.Close() })
	w.mu.Lock()
	w.names[to.Addr()] = name
	w.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.join(c, name, to)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// isolate cuts an instance off from all others, or joins it again.
func (w *web) isolate(name string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alone[name] = cut
}

func (w *web) cut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.alone[a] || w.alone[b])
}

func (w *web) join(c net.Conn, to string, addr netip.AddrPort) {
	w.mu.Lock()
	from := w.names[netip.MustParseAddrPort(c.RemoteAddr().String()).Addr()]
	w.open[c] = struct{}{}
	w.mu.Unlock()
	defer func() { _ = c.Close() }()
	for w.cut(from, to) {
		time.Sleep(20 * time.Millisecond)
	}
	d, err := net.Dial("tcp", addr.String())
	if err != nil {
		return
	}
	defer func() { _ = d.Close() }()
	go w.copy(c, d, from, to)
	w.copy(d, c, from, to)
}

// bad gives the links between instances a delay that varies, and stalls for one in a hundred of what is sent, as a packet
// lost and sent again does.
func (w *web) bad(seed uint64) {
	const least, spread, stall, lost = 3 * time.Millisecond, 5 * time.Millisecond, 200 * time.Millisecond, 100
	rng := rand.New(rand.NewPCG(seed, 0))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = func() time.Duration {
		if rng.IntN(lost) == 0 {
			return stall
		}
		return least + time.Duration(rng.Int64N(int64(spread)))
	}
}

// late waits for as long as what is sent now takes on its way.
func (w *web) late() {
	w.mu.Lock()
	var d time.Duration
	if w.delay != nil {
		d = w.delay()
	}
	w.mu.Unlock()
	time.Sleep(d)
}

// copy passes bytes on; while a cut lasts it holds them back, and what was held back is lost with its connection.
func (w *web) copy(dst, src net.Conn, from, to string) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		held := false
		for w.cut(from, to) {
			held = true
			time.Sleep(20 * time.Millisecond)
		}
		if held || err != nil {
			return
		}
		w.late()
		if _, err := dst.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
