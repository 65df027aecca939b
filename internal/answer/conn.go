package answer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrReset means that a connection was lost, not closed by the endpoint, so that a body that ends with it was cut.
var ErrReset = errors.New("the connection was lost while the request was written")

// longPast is a deadline that ends a write in progress.
var longPast = time.Unix(1, 0)

// Conn is a connection to an endpoint whose reads return io.EOF only if the endpoint has closed it. It is safe for one reader and one
// writer at a time.
type Conn struct {
	net.Conn
	// writing is held by a write in progress; it guards writeErr, the first error of a write.
	writing  sync.Mutex
	writeErr error
	// reading guards head.
	reading sync.Mutex
	head    Head
}

// NewConn returns a Conn that uses inner and expects no head.
func NewConn(inner net.Conn) *Conn {
	return &Conn{Conn: inner, head: Head{place: behindHead}}
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// ExpectHead makes the reads from now on check the head of a response.
func (c *Conn) ExpectHead() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head = Head{}
}

// Read reads from the connection. It returns ErrFieldName from an invalid field name in an expected head on. At the end of the
// connection, it ends a write that is in progress, and returns ErrReset if that failed as the connection was lost.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if valid, headErr := c.head.Scan(p[:n]); headErr != nil {
		return valid, headErr
	}
	return n, err
}

// headError returns the error of an invalid head that was read before.
func (c *Conn) headError() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.head.Err()
}

// endError returns io.EOF, or ErrReset if the end of the connection is a reset. A socket reports the loss of its connection once; if a
// write gets that error, reads after it end as at a close. Once the endpoint has closed the connection, a reset fails writes with EPIPE.
func (c *Conn) endError() error {
	if err := c.SetWriteDeadline(longPast); err != nil {
		return fmt.Errorf("%w: %w", ErrReset, err)
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return fmt.Errorf("%w: %w", ErrReset, c.writeErr)
}
