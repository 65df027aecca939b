package conns

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the option TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 0x12

// LimitSilence breaks a connection whose data stay unacknowledged for longer than d.
func LimitSilence(t *net.TCPConn, d time.Duration) {
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
