package router

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns tracks the idle connections of callers so that they can be closed without losing a request. The Shutdown
// method of http.Server drops requests that it has already read.
type idleConns struct {
	mu   sync.Mutex
	idle map[net.Conn]bool
}

func newIdleConns() *idleConns {
	return &idleConns{idle: map[net.Conn]bool{}}
}

// track records a connection's state; it is the server's ConnState hook.
func (conns *idleConns) track(c net.Conn, state http.ConnState) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if state == http.StateIdle {
		conns.idle[c] = true
		return
	}
	delete(conns.idle, c)
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
