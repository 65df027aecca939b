package conns

import (
	"net"
	"syscall"
)

// PeerClosed reports whether the peer has closed a connection, without consuming data. A connection with unread data
// counts as open.
func PeerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// HasUnreadData reports whether a connection has unread data.
func HasUnreadData(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks for a byte on the connection's socket without consuming it. EAGAIN means that there is none.
func peek(c net.Conn) (n int, err error) {
	sysConn, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}
