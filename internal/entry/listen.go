package entry

import (
	"io"
	"net"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
)

const (
	// silentCaller is how long data to a caller may stay unacknowledged before its connection counts as lost.
	silentCaller = 10 * time.Second
	keepAlive    = 5 * time.Second
	lingerTime   = time.Second
	lingerBytes  = 64 << 20
)

// conn is a caller's connection.
type conn struct {
	*net.TCPConn
}

// listener sets up the connections of callers so that silent ones are found.
type listener struct {
	net.Listener
	silence time.Duration
}

// Listener returns a listener whose connections break when a caller has been silent for long.
func Listener(l net.Listener) net.Listener {
	return listener{Listener: l, silence: silentCaller}
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	_ = t.SetKeepAlivePeriod(keepAlive)
	conns.SetUserTimeout(t, l.silence)
	return conn{t}, nil
}

// Close closes the connection. A caller that is still sending, as one whose body was refused for its size, is
// heard out for a while first, so that it reads the answer before its connection is reset.
func (c conn) Close() error {
	if !conns.HasUnreadData(c.TCPConn) {
		return c.TCPConn.Close()
	}
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, lingerBytes))
	return c.TCPConn.Close()
}
