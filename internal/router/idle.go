package router

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// maxClosing is the number of connections that are being closed beyond which the next connection is accepted only after a wait, of at
	// most maxCloseWait milliseconds.
	maxClosing   = 32
	maxCloseWait = 20
)

// idleConns tracks the idle connections of callers so that they can be closed without losing a request. The Shutdown
// method of http.Server drops requests that it has already read.
type idleConns struct {
	mu   sync.Mutex
	idle map[net.Conn]bool
	// unsent are the connections without any complete header, with their order; maxNew bounds their number, 0 does not. closing are those
	// of them that are being closed.
	unsent  map[net.Conn]unsentConn
	closing map[net.Conn]bool
	maxNew  int
	opened  int64
	closed  int64
}

// revocable is a connection that can be given up until a header is complete. Setting its deadline would not do, as the server may set
// its own afterwards.
type revocable interface {
	GiveUp() error
	Keep() error
}

// unsentConn is a connection on which no complete header has arrived yet.
type unsentConn struct {
	order   int64
	address netip.Addr
}

func newIdleConns() *idleConns {
	return &idleConns{idle: map[net.Conn]bool{}, unsent: map[net.Conn]unsentConn{}, closing: map[net.Conn]bool{}}
}

// track records a connection's state; it is the server's ConnState hook.
func (conns *idleConns) track(c net.Conn, state http.ConnState) {
	conns.record(c, state)
	// The server accepts the next connection after this call. It waits, so that connections are not opened faster than others are closed.
	for waited := 0; state == http.StateNew && waited < maxCloseWait && conns.numClosing() > maxClosing; waited++ {
		time.Sleep(time.Millisecond)
	}
}

func (conns *idleConns) numClosing() int {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return len(conns.closing)
}

func (conns *idleConns) record(c net.Conn, state http.ConnState) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if _, ok := c.(revocable); ok && state == http.StateNew && conns.maxNew > 0 {
		conns.opened++
		address, _ := netip.ParseAddrPort(c.RemoteAddr().String())
		conns.unsent[c] = unsentConn{conns.opened, address.Addr()}
		if len(conns.unsent) > conns.maxNew {
			conns.closeUnsent()
		}
		return
	}
	delete(conns.unsent, c)
	if conns.closing[c] {
		delete(conns.closing, c)
		if state == http.StateActive {
			// If the header has become complete in the meantime, the request is served. The error means that the connection is closed.
			_ = c.(revocable).Keep()
		}
	}
	if state == http.StateIdle {
		conns.idle[c] = true
		return
	}
	delete(conns.idle, c)
}

// closeUnsent makes the server close the oldest connection without a complete header, of the address that has the most of them.
func (conns *idleConns) closeUnsent() {
	counts := map[netip.Addr]int{}
	var address netip.Addr
	for _, conn := range conns.unsent {
		if counts[conn.address]++; counts[conn.address] > counts[address] || !address.IsValid() {
			address = conn.address
		}
	}
	var oldest net.Conn
	for c, conn := range conns.unsent {
		if conn.address == address && (oldest == nil || conn.order < conns.unsent[oldest].order) {
			oldest = c
		}
	}
	delete(conns.unsent, oldest)
	conns.closing[oldest] = true
	conns.closed++
	// The error means that the connection is closed already.
	_ = oldest.(revocable).GiveUp()
}

// closedNew returns how many connections were closed as too many had no complete header.
func (conns *idleConns) closedNew() int64 {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return conns.closed
}

// closeIdle makes the server close its idle connections. A connection on which a request has just been read stays open.
func (conns *idleConns) closeIdle(now time.Time) error {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for c := range conns.idle {
		if err := c.SetReadDeadline(now); err != nil {
			return err
		}
	}
	return nil
}
