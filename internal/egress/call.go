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

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

const (
	// wholeBody is the largest body that is written before an answer is read; the rest of a larger one is written meanwhile,
	// as an endpoint may answer before it has read it.
	wholeBody = 4 << 10
	// maxForeign is the number of answers that belong to other requests which are skipped before a connection is given up.
	maxForeign = 4
	// maxForeignBody is the largest body of such an answer, in bytes.
	maxForeignBody = 1 << 20
	// lingerWrite is how long the end of a body is waited for once the answer is complete.
	lingerWrite = 50 * time.Millisecond
)

// ErrUnsent tells that no byte of the request was written.
var ErrUnsent = errors.New("nothing was sent")

type (
	// Request is a request as it goes onto a connection.
	Request struct {
		Method string
		Target string
		Host   string
		Header http.Header
		Body   []byte
	}

	// Call is one request on a connection.
	Call struct {
		conn    *Conn
		pools   *Pools
		req     *Request
		written chan error
		stop    func() bool
		wrote   bool
	}
)

// Start sends a request on a connection, which breaks after left. Whatever it returns, the call must be ended with Keep or
// Drop. When the context ends, the connection breaks too.
func (p *Pools) Start(ctx context.Context, c *Conn, q *Request, left time.Duration) (*Call, error) {
	k := &Call{conn: c, pools: p, req: q, written: make(chan error, 1)}
	k.stop = context.AfterFunc(ctx, func() { _ = c.TCPConn.Close() })
	if err := c.SetDeadline(time.Now().Add(left)); err != nil {
		return k, errors.Join(ErrUnsent, fault.At("set deadline", c.dest.Addr.String(), err))
	}
	head := q.head()
	if len(q.Body) <= wholeBody {
		n, err := c.Write(append(head, q.Body...))
		k.wrote = n > 0
		k.written <- err
		return k, k.sendError(err)
	}
	n, err := c.Write(head)
	k.wrote = n > 0
	if err != nil {
		k.written <- err
		return k, k.sendError(err)
	}
	go func() {
		_, err := c.Write(q.Body)
		k.written <- err
	}()
	return k, nil
}

func (k *Call) sendError(err error) error {
	if err == nil {
		return nil
	}
	err = fault.At("send", k.conn.dest.Addr.String(), err)
	if !k.wrote {
		return errors.Join(ErrUnsent, err)
	}
	return err
}

// head returns the request line and the header fields.
func (q *Request) head() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	_ = q.Header.Write(&b)
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Answer reads the answer for which own is true; answers to other requests, which came late or twice, are skipped.
func (k *Call) Answer(own func(*http.Response) bool) (*http.Response, error) {
	q := &http.Request{Method: k.req.Method}
	for range maxForeign {
		resp, err := http.ReadResponse(k.conn.br, q)
		if err != nil {
			return nil, fault.At("read answer", k.conn.dest.Addr.String(), err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if own(resp) {
			return resp, nil
		}
		if resp.Close || resp.ContentLength > maxForeignBody {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxForeignBody)); err != nil {
			return nil, fault.At("skip answer", k.conn.dest.Addr.String(), err)
		}
	}
	return nil, fault.New("read answer", k.conn.dest.Addr.String(), "the answers belong to other requests")
}

// Await bounds the wait for the next bytes of the answer.
func (k *Call) Await(d time.Duration) error {
	return k.conn.SetReadDeadline(time.Now().Add(d))
}

// Reused reports whether the call went over a kept connection.
func (k *Call) Reused() bool {
	return k.conn.used
}

// Keep ends a call whose answer was read whole, and keeps the connection for further requests if it can be.
func (k *Call) Keep(now time.Time, resp *http.Response, keep time.Duration) {
	if !k.stop() || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		_ = k.conn.TCPConn.Close()
		return
	}
	t := time.NewTimer(lingerWrite)
	defer t.Stop()
	select {
	case err := <-k.written:
		if err == nil && k.conn.SetDeadline(time.Time{}) == nil {
			k.pools.Put(now, k.conn, keep)
			return
		}
	case <-t.C:
	}
	_ = k.conn.TCPConn.Close()
}

// Drop ends a call and its connection, so that the endpoint stops what it does for it.
func (k *Call) Drop() {
	k.stop()
	_ = k.conn.TCPConn.Close()
}

// Idle returns how long a connection may be kept to an endpoint that says it closes idle ones after a timeout; 0 if it said
// nothing.
func Idle(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return keepUnknown
	}
	return timeout - keepMargin
}
