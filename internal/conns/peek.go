package conns

import (
	"net"
	"syscall"
)

// HungUp reports whether the other end has closed a connection, without taking bytes from it; bytes that wait there count
// as life.
func HungUp(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// Unread reports whether bytes wait to be read on a connection.
func Unread(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// peek looks for a byte on the connection's socket without taking it; EAGAIN tells that none is there.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}
