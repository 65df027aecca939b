package conns

import (
	"context"
	"net"
	"sync/atomic"
)

type (
	// Count counts the bytes of the connections between instances, both ways.
	Count struct {
		in  atomic.Int64
		out atomic.Int64
	}

	counted struct {
		net.Conn
		count *Count
	}

	countedListener struct {
		net.Listener
		count *Count
	}

	dial func(ctx context.Context, network, addr string) (net.Conn, error)
)

// Bytes returns the bytes received and sent so far.
func (c *Count) Bytes() (in, out int64) {
	return c.in.Load(), c.out.Load()
}

// Listener returns a listener whose connections are counted.
func (c *Count) Listener(l net.Listener) net.Listener {
	return countedListener{l, c}
}

func (c *Count) dialer(next dial) dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return counted{conn, c}, nil
	}
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{conn, l.count}, nil
}

// Read reads and counts.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(int64(n))
	return n, err
}
