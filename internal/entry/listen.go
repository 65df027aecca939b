package entry

import (
	"io"
	"net"
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
	// maxLingerBytes is the maximum size of the rest of a request that is read and discarded, in bytes.
	maxLingerBytes = 64 << 20
)

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
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
	return callerConn{tcp}, nil
}

// Close closes the connection. If the caller is still sending, for instance a body that was rejected for its size, Close first
// reads and discards data for a while, so that the caller can read the response before its connection is reset.
func (c callerConn) Close() error {
	if !conns.HasUnreadData(c.TCPConn) {
		return c.TCPConn.Close()
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxLingerBytes))
	return c.TCPConn.Close()
}
