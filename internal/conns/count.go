package conns

import (
	"context"
	"net"
	"sync/atomic"
)

type (
	// ByteCounter counts the bytes received and sent on connections between instances.
	ByteCounter struct {
		received atomic.Int64
		sent     atomic.Int64
	}

	countedConn struct {
		net.Conn
		count *ByteCounter
	}

	countedListener struct {
		net.Listener
		count *ByteCounter
	}

	dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)
)

// Bytes returns the number of bytes received and sent so far.
func (c *ByteCounter) Bytes() (received, sent int64) {
	return c.received.Load(), c.sent.Load()
}

// Listener returns a listener that counts the bytes of its connections.
func (c *ByteCounter) Listener(l net.Listener) net.Listener {
	return countedListener{l, c}
}

func (c *ByteCounter) countDial(next dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, c}, nil
	}
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.count}, nil
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.sent.Add(int64(n))
	return n, err
}
