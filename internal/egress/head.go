package egress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
)

const (
	// maxHeadBytes bounds the status line and header of a response, in bytes. Callers may send as much.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a response's head.
	maxHeadLines = 512
	// headTimeout bounds the time from the first byte of a head to its end: a few retransmissions.
	headTimeout = 2 * time.Second
)

// Errors of a response whose head is not read to its end.
var (
	ErrHeadTooLarge = errors.New("the head of the response has more than 64 KiB")
	ErrHeadTooLong  = errors.New("the head of the response has more than 512 lines")
	ErrHeadTooSlow  = errors.New("the head of the response takes longer than 2 s")
)

// responseReader reads from a connection and bounds the heads of responses. It passes a head on line by line, so that a reader
// behind it gets nothing of the body before the end of the head was seen.
type responseReader struct {
	conn net.Conn
	raw  *bufio.Reader
	// deadline is the read deadline that the call has set.
	deadline time.Time
	// inHead is set while a head is read, of which lines and size were passed on; startedAt is when its first byte arrived.
	inHead    bool
	lines     int
	size      int
	startedAt time.Time
	// onTimeout, if set, returns how much longer to wait when the deadline has passed while nothing is received, or 0.
	onTimeout func() time.Duration
	// lineStart is set if the next byte begins a line.
	lineStart bool
	// head checks the head that is read.
	head answer.Head
}

func newResponseReader(conn net.Conn) *responseReader {
	return &responseReader{conn: conn, raw: bufio.NewReaderSize(conn, readBufferBytes)}
}

// beginHead makes the reader expect the head of a response.
func (r *responseReader) beginHead() {
	r.inHead, r.lines, r.size, r.startedAt, r.lineStart, r.head = true, 0, 0, time.Time{}, true, answer.Head{}
}

// setDeadline sets the time at which reads fail.
func (r *responseReader) setDeadline(at time.Time) error {
	r.deadline = at
	return r.conn.SetReadDeadline(at)
}

// buffered returns the number of bytes that were received and not read.
func (r *responseReader) buffered() int {
	return r.raw.Buffered()
}

// Read reads from the body, or at most one line of a head.
func (r *responseReader) Read(p []byte) (int, error) {
	if !r.inHead {
		n, err := r.raw.Read(p)
		for n == 0 && r.waitsOn(err) {
			n, err = r.raw.Read(p)
		}
		return n, err
	}
	if err := r.head.Err(); err != nil {
		return 0, err
	}
	if err := r.awaitHead(); err != nil {
		return 0, err
	}
	available, err := r.raw.Peek(min(r.raw.Buffered(), len(p)))
	if err != nil {
		return 0, err
	}
	lineEnd := bytes.IndexByte(available, '\n')
	if lineEnd >= 0 {
		available = available[:lineEnd+1]
	}
	n, err := io.ReadFull(r.raw, p[:len(available)])
	if err != nil {
		return n, err
	}
	return n, r.count(p[:n])
}

// awaitHead waits for more of a head, which must be complete headTimeout after its first byte.
func (r *responseReader) awaitHead() error {
	_, err := r.raw.Peek(1)
	for r.startedAt.IsZero() && r.waitsOn(err) {
		_, err = r.raw.Peek(1)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.startedAt.IsZero() && time.Since(r.startedAt) >= headTimeout:
		return ErrHeadTooSlow
	case err != nil:
		return err
	case !r.startedAt.IsZero():
		return nil
	}
	r.startedAt = time.Now()
	if limit := r.startedAt.Add(headTimeout); r.deadline.IsZero() || limit.Before(r.deadline) {
		return r.conn.SetReadDeadline(limit)
	}
	return nil
}

// waitsOn reports whether to read on after an error, which is so after a timeout if onTimeout says so.
func (r *responseReader) waitsOn(err error) bool {
	if r.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	more := r.onTimeout()
	return more > 0 && r.setDeadline(time.Now().Add(more)) == nil
}

// count checks and counts a piece of a head, which ends with its first blank line.
func (r *responseReader) count(piece []byte) error {
	r.size += len(piece)
	complete := piece[len(piece)-1] == '\n'
	blank := complete && r.lineStart && len(bytes.TrimRight(piece, "\r\n")) == 0
	r.lineStart = complete
	if complete {
		r.lines++
	}
	if _, err := r.head.Scan(piece); err != nil {
		return err
	}
	switch {
	case blank && r.lines > 1:
		r.inHead = false
		return r.conn.SetReadDeadline(r.deadline)
	case r.size > maxHeadBytes:
		return ErrHeadTooLarge
	case r.lines > maxHeadLines:
		return ErrHeadTooLong
	}
	return nil
}
