package entry

import (
	"net"
	"syscall"
)

// hungUp reports whether the caller has closed its connection. The HTTP library does not look at a
// connection while a request is handled, so the socket is peeked at; bytes waiting there count as life.
func hungUp(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && e == nil || e != nil && e != syscall.EAGAIN && e != syscall.EINTR
		return true
	})
	return gone || err != nil
}
