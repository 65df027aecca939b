package detour

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// maxSkippedBytes is the largest body that SkipBody reads.
const maxSkippedBytes = 1 << 20

// receiptTimeout bounds the wait for a receipt: a connection to the endpoint by the other instance, and some round trips.
const receiptTimeout = 700 * time.Millisecond

// ErrUnsent means that the request was not sent to the endpoint.
var ErrUnsent = errors.New("the request was not sent by the other instance")

type (
	// Sender sends a request to another instance, over a connection that carries several at once.
	Sender interface {
		Send(to netip.AddrPort, req *http.Request) (*http.Response, error)
	}

	// Call is one request sent by way of another instance.
	Call struct {
		via      netip.AddrPort
		cancel   context.CancelFunc
		timer    *time.Timer
		timedOut atomic.Bool
		// onTimeout returns how much longer to wait when the timeout has passed, or 0.
		onTimeout atomic.Pointer[func() time.Duration]
		body      io.ReadCloser
	}

	// UnsentError tells why a request was not sent; it is an ErrUnsent.
	UnsentError struct {
		Via     netip.AddrPort
		Receipt Receipt
		// Cause is the error by which the other instance was not reached, or nil.
		Cause error
	}

	// answerBody is the rest of the answer, whose reads fail with os.ErrDeadlineExceeded once the call has timed out.
	answerBody struct {
		call *Call
	}
)

// Error says what was not done and why.
func (e *UnsentError) Error() string {
	reason := e.Receipt.Reason
	if e.Cause != nil {
		reason = e.Cause.Error()
	}
	return "not sent by way of " + e.Via.String() + ": " + reason
}

// Is reports whether target is ErrUnsent.
func (e *UnsentError) Is(target error) bool {
	return target == ErrUnsent
}

// Start has another instance send a request. The call must be ended with Release or Abort. With an UnsentError there is none; with any
// other error the request may have been sent.
func Start(ctx context.Context, sender Sender, via netip.AddrPort, order *Order, body []byte) (*Call, error) {
	var message bytes.Buffer
	if err := WriteFrame(&message, order); err != nil {
		return nil, &UnsentError{Via: via, Cause: err}
	}
	message.Write(body)
	ctx, cancel := context.WithCancel(ctx)
	call := &Call{via: via, cancel: cancel}
	call.timer = time.AfterFunc(min(receiptTimeout, order.Left), call.timeOut)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+via.String()+Path, &message)
	if err != nil {
		call.Abort()
		return nil, &UnsentError{Via: via, Cause: err}
	}
	req.GetBody = nil
	resp, err := sender.Send(via, req)
	if err != nil {
		call.Abort()
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return nil, &UnsentError{Via: via, Cause: err}
		}
		return call, call.wrap("send", err)
	}
	call.body = resp.Body
	if resp.StatusCode != http.StatusOK {
		call.Abort()
		return nil, &UnsentError{Via: via, Cause: fault.Errorf("order", via.String(), "status %d", resp.StatusCode)}
	}
	var receipt Receipt
	if err := ReadFrame(answerBody{call}, &receipt); err != nil {
		return call, call.wrap("read receipt", err)
	}
	if receipt.Result != Sent {
		call.Abort()
		return nil, &UnsentError{Via: via, Receipt: receipt}
	}
	return call, call.SetReadTimeout(order.Left)
}

// OnTimeout has fn called when the timeout passes. It returns how much longer to wait, or 0 to fail.
func (c *Call) OnTimeout(fn func() time.Duration) {
	c.onTimeout.Store(&fn)
}

// timeOut makes reads fail, unless there is more time.
func (c *Call) timeOut() {
	if fn := c.onTimeout.Load(); fn != nil {
		if more := (*fn)(); more > 0 {
			c.timer.Reset(more)
			return
		}
	}
	c.timedOut.Store(true)
	c.cancel()
}

// wrap returns an error with its step and the instance, and tells a timeout from other errors.
func (c *Call) wrap(step string, err error) error {
	if c.timedOut.Load() {
		err = os.ErrDeadlineExceeded
	}
	return fault.Wrap(step, c.via.String(), errors.Join(ErrWay, err))
}

// Read reads from the answer.
func (b answerBody) Read(p []byte) (int, error) {
	n, err := b.call.body.Read(p)
	if err != nil && b.call.timedOut.Load() {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// ReadResponse reads the answer of the endpoint. It returns an error if belongs returns false for it. first tells that the answer is the
// first one on the other instance's connection to the endpoint.
func (c *Call) ReadResponse(belongs func(resp *http.Response, first bool) bool) (*http.Response, error) {
	var head Head
	if err := ReadFrame(answerBody{c}, &head); err != nil {
		return nil, c.wrap("read response", err)
	}
	if head.Broken != "" {
		return nil, fault.Errorf("read response", c.via.String(), "%w: %s", ErrBrokenOff, head.Broken)
	}
	resp := head.Response(struct {
		io.Reader
		io.Closer
	}{&bodyReader{from: answerBody{c}}, c.body})
	if !belongs(resp, head.First) {
		return nil, fault.Errorf("read response", c.via.String(), "the response belongs to another request")
	}
	return resp, nil
}

// SkipBody reads a response's body to its end, up to 1 MiB.
func (c *Call) SkipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	switch {
	case err != nil:
		return c.wrap("skip response", err)
	case n > maxSkippedBytes:
		return fault.Errorf("skip response", c.via.String(), "%w: more than %d bytes", answer.ErrTooLarge, maxSkippedBytes)
	}
	return nil
}

// SetReadTimeout sets the timeout for all reads from now on.
func (c *Call) SetReadTimeout(timeout time.Duration) error {
	if !c.timer.Reset(timeout) && c.timedOut.Load() {
		return c.wrap("set timeout", os.ErrDeadlineExceeded)
	}
	return nil
}

// ProvenStart returns 0, as the connection to the endpoint is that of the other instance.
func (c *Call) ProvenStart() int64 {
	return 0
}

// SetProvenStart does nothing.
func (c *Call) SetProvenStart(int64) {}

// Reused reports whether the call uses a connection that served earlier requests. That is not known here.
func (c *Call) Reused() bool {
	return false
}

// Release ends a call whose response was read completely.
func (c *Call) Release(time.Time, *http.Response, time.Duration) {
	c.Abort()
}

// Abort ends a call, so that the endpoint stops working on the request if it has not ended.
func (c *Call) Abort() {
	c.timer.Stop()
	c.cancel()
	if c.body != nil {
		_ = c.body.Close()
	}
}
