package conns

import (
	"net"
	"syscall"
	"time"
)

// Options are the socket options that decide when a dead connection is given up. A UserTimeout of 0 means that the probes decide.
type Options struct {
	KeepAlive     bool
	ProbeIdle     time.Duration
	ProbeInterval time.Duration
	ProbeCount    int
	UserTimeout   time.Duration
}

// OptionsOf reads the options of a connection. An error means that one cannot be read.
func OptionsOf(conn *net.TCPConn) (opt Options, err error) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return opt, err
	}
	read := func(fd uintptr, level, option int) (value int) {
		if err == nil {
			value, err = syscall.GetsockoptInt(int(fd), level, option)
		}
		return value
	}
	controlErr := rawConn.Control(func(fd uintptr) {
		opt = Options{
			KeepAlive:     read(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) != 0,
			ProbeIdle:     time.Duration(read(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)) * time.Second,
			ProbeInterval: time.Duration(read(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)) * time.Second,
			ProbeCount:    read(fd, syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT),
			UserTimeout:   time.Duration(read(fd, syscall.IPPROTO_TCP, tcpUserTimeout)) * time.Millisecond,
		}
	})
	if controlErr != nil {
		return opt, controlErr
	}
	return opt, err
}

// GivenUpAfter returns the time without any sign of the peer after which an idle connection is given up: with the last probe, or with
// the first one after another at which the user timeout has passed, whatever the count of probes is.
func (o Options) GivenUpAfter() time.Duration {
	probes := time.Duration(o.ProbeCount)
	if o.UserTimeout > 0 {
		probes = max(1, (o.UserTimeout-o.ProbeIdle+o.ProbeInterval-1)/o.ProbeInterval)
	}
	return o.ProbeIdle + probes*o.ProbeInterval
}
