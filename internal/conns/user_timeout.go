package conns

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// SetUserTimeout breaks a connection whose data stays unacknowledged for longer than timeout. It does nothing if the
// option cannot be set.
func SetUserTimeout(conn *net.TCPConn, timeout time.Duration) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = rawConn.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}
