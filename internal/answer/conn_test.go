package answer

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// endedConn is a connection at its end. A write closes began, waits for a deadline and fails with writeErr.
type endedConn struct {
	net.Conn
	began, interrupted chan struct{}
	writeErr           error
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	close(c.began)
	<-c.interrupted
	return 0, c.writeErr
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.interrupted)
	return nil
}

// TestConnEnd guards against a connection that was lost and counts as closed by the endpoint, and against the opposite.
func TestConnEnd(t *testing.T) {
	endAfter := func(writeErr error) error {
		inner := &endedConn{began: make(chan struct{}), interrupted: make(chan struct{}), writeErr: writeErr}
		conn := NewConn(inner)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = conn.Write([]byte("x"))
		}()
		<-inner.began
		_, err := conn.Read(make([]byte, 1))
		<-ended
		return err
	}
	Convey("a write that fails with a reset, or otherwise loses its connection, has taken the error of the read", t, func() {
		for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH} {
			So(endAfter(&net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}), ShouldWrap, ErrReset)
		}
	})
	Convey("a write that succeeds, is ended by the read, or fails as the endpoint has closed before has not", t, func() {
		for _, err := range []error{nil, os.ErrDeadlineExceeded, &net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}} {
			So(endAfter(err), ShouldEqual, io.EOF)
		}
	})
}
