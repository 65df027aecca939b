package live

import (
	"io"
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
		if _, err := dst.Write(buf[:n]); err != nil && err != io.EOF {
			return
		}
	}
}
