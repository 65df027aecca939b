package egress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	// maxInlineBodyBytes is the largest body that is written before the response is read, in bytes. A larger one is written
	// in the background, as an endpoint may respond before it has read the body.
	maxInlineBodyBytes = 4 << 10
	// maxForeignResponses is the number of responses to other requests that are skipped before the connection is given
	// up.
	maxForeignResponses = 4
	// maxSkippedBodyBytes is the largest body of a skipped response, in bytes.
	maxSkippedBodyBytes = 1 << 20
	// maxQueryBytes is the largest answer to a query, in bytes.
	maxQueryBytes = 64 << 10
	// bodyWriteGrace is how long to wait for the rest of the body to be written once the response is complete.
	bodyWriteGrace = 50 * time.Millisecond
)

// StatusError is an answer to a query with another status than 200.
type StatusError struct {
	Status int
}

// Error tells the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

var (
	// ErrUnsent means that no byte of the request was written.
	ErrUnsent = errors.New("nothing was sent to the endpoint")
	// ErrConnectionEnds means that a query was answered, but nothing more can be sent on its connection.
	ErrConnectionEnds = errors.New("the connection ends with the answer")
)

type (
	// Request is a request to be written to a connection. ID identifies it each time it is sent. Target is the request target as in the
	// request line.
	Request struct {
		ID     string
		Method string
		Target string
		Host   string
		Header http.Header
		Body   []byte
	}

	// Call is one request on a connection.
	Call struct {
		conn       *Conn
		pools      *Pools
		req        *Request
		writeDone  chan error
		stopCancel func() bool
		anyWritten bool
	}
)

// Start sends a request on a connection, which is closed when ctx ends and times out after timeout. The call returned
// must be ended with Release or Abort, even on error. The error is ErrUnsent if nothing was written.
func (p *Pools) Start(ctx context.Context, conn *Conn, req *Request, timeout time.Duration) (*Call, error) {
	call := &Call{conn: conn, pools: p, req: req, writeDone: make(chan error, 1)}
	conn.requests++
	conn.source.onTimeout = nil
	call.stopCancel = context.AfterFunc(ctx, func() { _ = conn.TCPConn.Close() })
	if err := conn.setDeadline(time.Now().Add(timeout)); err != nil {
		return call, errors.Join(ErrUnsent, fault.Wrap("set deadline", conn.dest.Addr.String(), err))
	}
	head := req.head()
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := conn.wire.Write(append(head, req.Body...))
		call.anyWritten = n > 0
		call.writeDone <- err
		return call, call.sendError(err)
	}
	n, err := conn.wire.Write(head)
	call.anyWritten = n > 0
	if err != nil {
		call.writeDone <- err
		return call, call.sendError(err)
	}
	go func() {
		_, err := conn.wire.Write(req.Body)
		call.writeDone <- err
	}()
	return call, nil
}

// setDeadline sets the time at which reads and writes fail.
func (c *Conn) setDeadline(at time.Time) error {
	if err := c.SetWriteDeadline(at); err != nil {
		return err
	}
	return c.source.setDeadline(at)
}

func (call *Call) sendError(err error) error {
	if err == nil {
		return nil
	}
	err = fault.Wrap("send", call.conn.dest.Addr.String(), err)
	if !call.anyWritten {
		return errors.Join(ErrUnsent, err)
	}
	return err
}

// head returns the request line and the header.
func (req *Request) head() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// ReadResponse reads responses until one for which belongs returns true. Responses to other requests, which were late or
// duplicated, are skipped. first tells that a response is the first one on the connection, so that it can only be that to the request.
func (call *Call) ReadResponse(belongs func(resp *http.Response, first bool) bool) (*http.Response, error) {
	req := &http.Request{Method: call.req.Method}
	for range maxForeignResponses {
		call.conn.source.beginHead()
		resp, err := http.ReadResponse(call.conn.reader, req)
		if err == nil {
			err = answer.Check(resp, call.conn.TCPConn)
		}
		if err != nil {
			return nil, fault.Wrap("read response", call.conn.dest.Addr.String(), err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if belongs(resp, call.conn.requests == 1 && !call.conn.skipped) {
			return resp, nil
		}
		call.conn.skipped = true
		if resp.Close || resp.ContentLength > maxSkippedBodyBytes {
			break
		}
		if err := call.SkipBody(resp); err != nil {
			return nil, err
		}
	}
	return nil, fault.Errorf("read response", call.conn.dest.Addr.String(), "the responses belong to other requests")
}

// SkipBody reads a response's body to its end, after which the connection can be used again. It returns an error if the end was
// not reached or the body is larger than 1 MiB.
func (call *Call) SkipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err == nil && n > maxSkippedBodyBytes {
		err = answer.ErrTooLarge
	}
	return fault.Wrap("skip response", call.conn.dest.Addr.String(), err)
}

// SetReadTimeout sets the timeout for the next bytes of the response.
func (call *Call) SetReadTimeout(timeout time.Duration) error {
	return call.conn.source.setDeadline(time.Now().Add(timeout))
}

// OnTimeout has fn called when the timeout passes while nothing is received. It returns how much longer to wait, or 0 to fail.
func (call *Call) OnTimeout(fn func() time.Duration) {
	call.conn.source.onTimeout = fn
}

// Reused reports whether the call uses a connection that served earlier requests.
func (call *Call) Reused() bool {
	return call.conn.reused
}

// ProvenStart returns the start time that was proven on the call's connection, in Unix milliseconds, or 0.
func (call *Call) ProvenStart() int64 {
	return call.conn.ProvenStart()
}

// SetProvenStart records the start time of the process at the other end of the call's connection, in Unix milliseconds.
func (call *Call) SetProvenStart(startedAtMS int64) {
	call.conn.SetProvenStart(startedAtMS)
}

// Release ends a call whose response was read completely and returns the connection to its pool if it can be reused. If the response is
// a failure, the request may be sent again, but not over this connection. A connection on which a response was skipped is closed, as more
// may follow.
func (call *Call) Release(now time.Time, resp *http.Response, idleTimeout time.Duration) {
	if resp.StatusCode >= http.StatusBadRequest {
		call.conn.failed = append(call.conn.failed, hashID(call.req.ID))
	}
	if !call.stopCancel() || call.conn.skipped || resp.Close || answer.FramingOf(resp) == answer.FramedByConnection {
		_ = call.conn.TCPConn.Close()
		return
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case err := <-call.writeDone:
		if err == nil && call.conn.setDeadline(time.Time{}) == nil {
			call.pools.Put(now, call.conn, idleTimeout)
			return
		}
	case <-timer.C:
	}
	_ = call.conn.TCPConn.Close()
}

// Abort ends a call and closes its connection, so that the endpoint stops working on the request.
func (call *Call) Abort() {
	call.stopCancel()
	_ = call.conn.TCPConn.Close()
}

// IdleTimeout returns how long to keep an idle connection to an endpoint that closes idle connections after timeout, or
// that announced no timeout if it is 0.
func IdleTimeout(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return defaultIdleTimeout
	}
	return timeout - idleTimeoutMargin
}

// Query requests a small document with GET on a connection, which stays usable for another request unless an error is returned. The
// error is also returned if the answer is not 200 or longer than 64 KiB. On a connection that served earlier requests, the answer may be
// one that was left there.
func (p *Pools) Query(ctx context.Context, conn *Conn, target string, timeout time.Duration) ([]byte, error) {
	peer := conn.dest.Addr.String()
	call, err := p.Start(ctx, conn, &Request{Method: http.MethodGet, Target: target, Host: peer, Header: http.Header{}}, timeout)
	if err != nil {
		call.Abort()
		return nil, err
	}
	resp, err := call.ReadResponse(func(*http.Response, bool) bool { return true })
	if err != nil {
		call.Abort()
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxQueryBytes+1))
	switch {
	case err != nil:
	case len(body) > maxQueryBytes:
		err = answer.ErrTooLarge
	case resp.StatusCode != http.StatusOK:
		err = &StatusError{resp.StatusCode}
	case resp.Close || answer.FramingOf(resp) == answer.FramedByConnection || !call.stopCancel():
		err = ErrConnectionEnds
	}
	if err != nil {
		call.Abort()
		return nil, fault.Wrap("query "+target, peer, err)
	}
	return body, nil
}
