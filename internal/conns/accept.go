package conns

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// acceptPause is the pause before a listener accepts again after it had no file descriptor left.
const acceptPause = 50 * time.Millisecond

// retryListener is a listener that accepts again where the reason for an error passes.
type retryListener struct {
	net.Listener
	onRetry func(error)
}

// RetryAccept returns a listener that waits for descriptors to become free where inner has none left for a new connection, and passes
// over a connection that ended before it was accepted. onRetry is called with each such error. Servers that end with the first error of
// their listener would take the whole instance down while its other connections are in use.
func RetryAccept(inner net.Listener, onRetry func(error)) net.Listener {
	return retryListener{inner, onRetry}
}

// Accept waits for the next connection.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case errors.Is(err, syscall.ECONNABORTED):
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			time.Sleep(acceptPause)
		default:
			return nil, err
		}
		l.onRetry(err)
	}
}
