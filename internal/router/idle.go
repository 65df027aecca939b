package router

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns knows which connections of callers are idle, so that they can be closed without losing a request. The server's own
// Shutdown drops requests that it has read already.
type idleConns struct {
	mu   sync.Mutex
	idle map[net.Conn]bool
}

func newIdleConns() *idleConns {
	return &idleConns{idle: map[net.Conn]bool{}}
}

// note takes in a connection's state.
func (i *idleConns) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idle[c] = true
		return
	}
	delete(i.idle, c)
}

// wind has the server close the connections that are idle. One on which a request has just been read is served on.
func (i *idleConns) wind(now time.Time) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.idle {
		if err := c.SetReadDeadline(now); err != nil {
			return err
		}
	}
	return nil
}
