package detour

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/peer"
)

// Path is the path at which an instance takes orders.
const Path = "/detour"

// maxFrameBytes bounds an order, a receipt and a head, in bytes: headers of 64 KiB and what goes with them.
const maxFrameBytes = 256 << 10

const (
	// maxStatus is the largest status of a response.
	maxStatus = 999
	// A chunk of a body is preceded by its length, maxChunkBytes at most. endMark in place of it ends a whole body, brokenMark one
	// that the endpoint has broken off. A body without either has been broken off on the way.
	maxChunkBytes = 64 << 10
	endMark       = 0
	brokenMark    = 1<<32 - 1
)

// Results of the attempt to send a request.
const (
	// Sent means that the request was sent, or a part of it.
	Sent Result = iota + 1
	// Unreached means that the endpoint could not be connected to, and nothing was sent.
	Unreached
	// Unwilling means that the endpoint takes nothing from the instance at present, and nothing was sent.
	Unwilling
	// Declined means that the instance has sent nothing for a reason of its own.
	Declined
	// Reached means that the instance has connected to the endpoint, as an order asked, and nothing was sent.
	Reached
)

var (
	// ErrBrokenOff means that the endpoint has broken off its answer, or has not answered.
	ErrBrokenOff = errors.New("the endpoint broke off its answer to the other instance")
	// ErrWay means that the way to the other instance broke, or that the answer did not come in time.
	ErrWay = errors.New("no answer by way of the other instance")

	errFrameTooLarge = errors.New("a frame is too large")
)

type (
	// Result is the result of the attempt to send a request.
	Result uint8

	// Order asks an instance to send a request to an endpoint; the request's body follows.
	Order struct {
		// RequestID is the ID of the caller's request, which distinguishes its answer from others.
		RequestID string `json:"id"`
		// RunID identifies the attempt in logs.
		RunID      string         `json:"run"`
		From       string         `json:"from"`
		EndpointID string         `json:"endpoint"`
		Addr       netip.AddrPort `json:"addr"`
		// StartedAtMS is the chosen start of the endpoint, in Unix milliseconds. With ProveStart set, the endpoint must tell it first.
		StartedAtMS int64 `json:"born"`
		ProveStart  bool  `json:"prove,omitempty"`
		// OnlyConnect asks only whether the instance can connect to the endpoint; the result is then Reached instead of Sent.
		OnlyConnect bool        `json:"connect,omitempty"`
		Method      string      `json:"method"`
		Target      string      `json:"target"`
		Host        string      `json:"host"`
		Header      http.Header `json:"header"`
		// Left is the time until the caller's deadline. Expected is how long the response may be expected to take; older builds do not
		// set it.
		Left     time.Duration `json:"left"`
		Expected time.Duration `json:"expected,omitempty"`
	}

	// Receipt tells whether the request was sent. Reason is set if it was not.
	Receipt struct {
		Result Result `json:"result"`
		Reason string `json:"reason,omitempty"`
	}

	// Head is the head of the endpoint's answer; the body follows in chunks, as it comes. Broken is set, and nothing else, if the
	// endpoint has not answered.
	Head struct {
		Broken  string         `json:"broken,omitempty"`
		Status  int            `json:"status"`
		Header  http.Header    `json:"header"`
		Framing answer.Framing `json:"framing"`
		// Length is the length of the body if that is known, else -1.
		Length int64 `json:"length"`
		// First is set if the answer is the first one on the connection to the endpoint. Older builds do not set it.
		First bool `json:"first,omitempty"`
	}
)

// Check returns an error if the order lacks a field.
func (o *Order) Check() error {
	if o.RequestID == "" || o.EndpointID == "" || !o.Addr.IsValid() || o.Method == "" || o.Target == "" || o.Left <= 0 {
		return errors.New("order: a field is missing")
	}
	return nil
}

// Check returns an error if the result is unknown.
func (r *Receipt) Check() error {
	if r.Result < Sent || r.Result > Reached {
		return fmt.Errorf("receipt: unknown result %d", r.Result)
	}
	return nil
}

// Check returns an error if the status is not one of a final response, or the name of a field is not valid.
func (h *Head) Check() error {
	if h.Broken == "" && (h.Status < http.StatusOK || h.Status > maxStatus) {
		return fmt.Errorf("head: status %d", h.Status)
	}
	if err := answer.CheckNames(h.Header); err != nil {
		return fmt.Errorf("head: %w", err)
	}
	return nil
}

// Response returns the head as a response with the given body.
func (h *Head) Response(body io.ReadCloser) *http.Response {
	resp := &http.Response{
		StatusCode: h.Status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: h.Header, ContentLength: h.Length, Body: body,
	}
	if resp.Header == nil {
		resp.Header = http.Header{}
	}
	if h.Framing == answer.FramedByChunks {
		resp.TransferEncoding = []string{"chunked"}
	}
	return resp
}

// WriteFrame writes a value, preceded by its length.
func WriteFrame(w io.Writer, value any) error {
	data, err := peer.Encode(value)
	if err != nil {
		return err
	}
	if len(data) > maxFrameBytes {
		return errFrameTooLarge
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
	return err
}

// ReadFrame reads and checks a value that WriteFrame has written.
func ReadFrame(r io.Reader, value any) error {
	var length uint32
	if err := binary.Read(r, binary.BigEndian, &length); err != nil {
		return err
	}
	if length > maxFrameBytes {
		return errFrameTooLarge
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return peer.Decode(data, value)
}

// WriteChunk writes a part of a body, at most 64 KiB.
func WriteChunk(w io.Writer, data []byte) error {
	_, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
	return err
}

// WriteEnd ends a body, which is whole or was broken off by the endpoint.
func WriteEnd(w io.Writer, whole bool) error {
	mark := uint32(endMark)
	if !whole {
		mark = brokenMark
	}
	return binary.Write(w, binary.BigEndian, mark)
}

// bodyReader reads the chunks of a body.
type bodyReader struct {
	from io.Reader
	left uint32
	err  error
}

// Read returns io.EOF only at the end of a whole body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.from.Read(p[:min(len(p), int(b.left))])
	b.left -= uint32(n)
	return n, wayError(err)
}

// wayError returns an error of a read between two instances as an ErrWay. An end there is never the end of a body.
func wayError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	return errors.Join(ErrWay, err)
}

// nextChunk reads the length of the next chunk.
func (b *bodyReader) nextChunk() error {
	if err := binary.Read(b.from, binary.BigEndian, &b.left); err != nil {
		return wayError(err)
	}
	switch {
	case b.left == endMark:
		return io.EOF
	case b.left == brokenMark:
		return ErrBrokenOff
	case b.left > maxChunkBytes:
		return errFrameTooLarge
	}
	return nil
}
