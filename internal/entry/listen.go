package entry

import (
	"net"
	"syscall"
	"time"
)

const (
	// silentCaller is how long data to a caller may stay unacknowledged before its connection counts as lost.
	silentCaller = 10 * time.Second
	keepAlive    = 5 * time.Second
	// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// listener sets up the connections of callers so that silent ones are found.
type listener struct {
	net.Listener
}

// Listener returns a listener whose connections break when a caller has been silent for long.
func Listener(l net.Listener) net.Listener {
	return listener{l}
}

// Accept waits for the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAlivePeriod(keepAlive)
		limitSilence(t)
	}
	return c, nil
}

func limitSilence(t *net.TCPConn) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentCaller.Milliseconds()))
	})
}
