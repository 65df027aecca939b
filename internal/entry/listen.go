package entry

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
)

const (
	// callerAckTimeout is how long data sent to a caller may stay unacknowledged before its connection is closed.
	callerAckTimeout = 10 * time.Second
	// keepAliveInterval is the time between two TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
	// lingerTimeout is how long the rest of a request is read and discarded before the connection is closed.
	lingerTimeout = time.Second
	// sendingPause is the longest pause in which a caller is taken to be still sending.
	sendingPause = 200 * time.Millisecond
	// maxLingerBytes is the maximum size of the rest of a request that is read and discarded, in bytes.
	maxLingerBytes = 64 << 20
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	// readAt is when something was last received, in Unix nanoseconds.
	readAt atomic.Int64
	// abortive is set if the connection is to be reset when it is closed.
	abortive atomic.Bool
	closed   atomic.Bool
	// givenUp is set while reading is to fail whatever deadline the server sets.
	givenUp atomic.Bool
	// kept is set from Keep until something is written.
	kept atomic.Bool
}

// listener sets TCP keep-alive and a timeout for unacknowledged data on the connections of callers.
type listener struct {
	net.Listener
	ackTimeout time.Duration
}

// Listener wraps a listener so that connections to callers that no longer respond are closed.
func Listener(inner net.Listener) net.Listener {
	return listener{Listener: inner, ackTimeout: callerAckTimeout}
}

// Accept waits for the next connection and sets its options.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval})
	conns.SetUserTimeout(tcp, l.ackTimeout)
	return &callerConn{TCPConn: tcp}, nil
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// GiveUp makes reading fail until Keep is called, also if the server sets another deadline. Closing resets the connection.
func (c *callerConn) GiveUp() error {
	c.givenUp.Store(true)
	return errors.Join(c.SetLinger(0), c.TCPConn.SetReadDeadline(pastDeadline))
}

// Keep undoes GiveUp. Until something is written, closing still resets the connection: the server may call Keep before it closes a
// connection without an answer.
func (c *callerConn) Keep() error {
	c.givenUp.Store(false)
	c.kept.Store(true)
	return c.TCPConn.SetReadDeadline(time.Time{})
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.kept.Load() && c.kept.CompareAndSwap(true, false) {
		if err := c.SetLinger(-1); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// SetReadDeadline sets the time at which reads fail.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	err := c.TCPConn.SetReadDeadline(at)
	// GiveUp may have been called in the meantime.
	if c.givenUp.Load() {
		return c.TCPConn.SetReadDeadline(pastDeadline)
	}
	return err
}

// SetLinger sets the behaviour of Close as net.TCPConn does; with 0 seconds, Close resets the connection.
func (c *callerConn) SetLinger(seconds int) error {
	// Keep no longer decides how the connection is closed.
	c.kept.Store(false)
	c.abortive.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close closes the connection. If the caller is still sending, for instance a body that was rejected for its size, or has sent something
// just now, its data is read and discarded for a time, so that the caller can read the response before its connection is reset. Close
// does not wait for that.
func (c *callerConn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	mayBeSending := conns.HasUnreadData(c.TCPConn) || time.Since(time.Unix(0, c.readAt.Load())) < sendingPause
	if c.abortive.Load() || !mayBeSending {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	go c.drain()
	return nil
}

// drain reads and discards what the caller still sends, and closes the connection.
func (c *callerConn) drain() {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxLingerBytes))
	_ = c.TCPConn.Close()
}
