package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const (
	maxLine = 1 << 20
	// reconnects is the number of new connections tried without any progress before an endpoint is given up.
	reconnects    = 2
	cancelTimeout = time.Second
	maxRefusal    = 64 << 10
)

var (
	// ErrUnsent tells that no connection was made, so that no byte was sent.
	ErrUnsent = errors.New("endpoint not reached")
	// ErrBroken tells that a connection broke while a request was on it.
	ErrBroken = errors.New("connection broke")
	// ErrSilent tells that an endpoint stayed silent on new connections too.
	ErrSilent = errors.New("endpoint is silent")
	errDone   = errors.New("stream is done")
)

type (
	// Event is one token of a stream; Offset counts the tokens up to and with it.
	Event struct {
		Offset int         `json:"offset"`
		Text   string      `json:"text,omitempty"`
		Finish string      `json:"finish,omitempty"`
		Usage  *chat.Usage `json:"usage,omitempty"`
	}

	// Stream is one generation to be fetched from an engine.
	Stream struct {
		ID       string
		Path     string
		Body     []byte
		Priority int
		First    time.Duration
		Gap      time.Duration
	}

	// Refusal is an endpoint's own refusal, which another endpoint would repeat.
	Refusal struct {
		Status int
		Body   []byte
	}

	// Relay holds the connections to the endpoints.
	Relay struct {
		pools *conns.Pools
		once  http.RoundTripper
	}
)

// Error returns the status and the endpoint's own message where it sent one.
func (r *Refusal) Error() string {
	var f chat.Failure
	if json.Unmarshal(r.Body, &f) == nil && f.Error.Message != "" {
		return fmt.Sprintf("endpoint refused: %s", f.Error.Message)
	}
	return fmt.Sprintf("endpoint refused with status %d", r.Status)
}

// New returns a relay without connections.
func New() *Relay {
	return &Relay{pools: conns.NewPools(), once: conns.Once()}
}

// Body returns a request's body as it goes to an engine: always streamed, with usage, and in one form however the caller wrote it.
func Body(original []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(original, &m); err != nil {
		return nil, err
	}
	m["stream"] = json.RawMessage("true")
	m["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(m)
}

// Fetch streams a generation from an engine, from the token after offset, into sink.
// A connection that breaks or goes silent is replaced by a new one to the same engine,
// which resumes at the offset. ErrUnsent, ErrBroken, ErrSilent or a *Refusal tells why it ended early;
// ErrBroken wraps ErrUnsent where the engine could not be reached again.
func (r *Relay) Fetch(ctx context.Context, to netip.AddrPort, s Stream, offset int, sink func(Event) error) error {
	idle := 0
	sent := false
	for {
		got, err := r.connect(ctx, to, s, offset, sink)
		sent = sent || !errors.Is(err, ErrUnsent)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return err
		}
		if got > offset {
			offset, idle = got, 0
		}
		if errors.Is(err, ErrUnsent) {
			if sent {
				return errors.Join(ErrBroken, err)
			}
			return err
		}
		idle++
		if idle > reconnects {
			return err
		}
		r.pools.To(to).Renew()
	}
}

// connect streams over one connection and returns the offset reached.
func (r *Relay) connect(ctx context.Context, to netip.AddrPort, s Stream, offset int, sink func(Event) error) (int, error) {
	quiet, feed, stop := conns.Silence(ctx, s.First)
	defer stop()
	url := fmt.Sprintf("http://%s%s", to, s.Path)
	q, err := http.NewRequestWithContext(quiet, http.MethodPost, url, bytes.NewReader(s.Body))
	if err != nil {
		return offset, err
	}
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Request-Id", s.ID)
	q.Header.Set("X-Priority", strconv.Itoa(s.Priority))
	if offset > 0 {
		q.Header.Set("Last-Event-ID", strconv.Itoa(offset))
	}
	resp, err := r.pools.To(to).Do(q)
	if err != nil {
		return offset, classify(quiet, to, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusal))
		return offset, fault.At("stream", to.String(), &Refusal{Status: resp.StatusCode, Body: body})
	}
	offset, err = read(resp.Body, offset, func(e Event) error {
		feed(s.Gap)
		return sink(e)
	})
	if err != nil {
		return offset, classify(quiet, to, err)
	}
	return offset, nil
}

// classify tells apart a connection that was never made, one that broke and one that went silent.
func classify(quiet context.Context, to netip.AddrPort, err error) error {
	var op *net.OpError
	switch {
	case errors.Is(context.Cause(quiet), context.DeadlineExceeded):
		err = errors.Join(ErrSilent, err)
	case errors.As(err, &op) && op.Op == "dial":
		err = errors.Join(ErrUnsent, err)
	default:
		err = errors.Join(ErrBroken, err)
	}
	return fault.At("stream", to.String(), err)
}

// read parses server-sent events until the closing mark; an end without it is an error.
func read(body io.Reader, offset int, sink func(Event) error) (int, error) {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), maxLine)
	id := offset
	for sc.Scan() {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "id:"); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(v))
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		next, err := take(strings.TrimSpace(data), id, offset, sink)
		if errors.Is(err, errDone) {
			return next, nil
		}
		if err != nil {
			return offset, err
		}
		offset = next
	}
	if err := sc.Err(); err != nil {
		return offset, err
	}
	return offset, io.ErrUnexpectedEOF
}

// take hands one event on, unless it was had before; a gap is an error.
func take(data string, id, offset int, sink func(Event) error) (int, error) {
	if data == "[DONE]" {
		return offset, errDone
	}
	var a chat.Answer
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		return offset, fmt.Errorf("malformed event: %w", err)
	}
	if len(a.Choices) == 0 {
		return offset, nil
	}
	ch := a.Choices[0]
	e := Event{Offset: id, Usage: a.Usage}
	switch {
	case ch.Delta != nil:
		e.Text = string(ch.Delta.Content)
	case ch.Text != nil:
		e.Text = *ch.Text
	}
	if ch.FinishReason != nil {
		e.Finish = *ch.FinishReason
		e.Offset = offset
		return offset, sink(e)
	}
	switch {
	case id <= offset:
		return offset, nil
	case id > offset+1:
		return offset, fmt.Errorf("token %d came after token %d", id, offset)
	}
	return id, sink(e)
}

// Cancel tells an engine to stop a run.
func (r *Relay) Cancel(ctx context.Context, to netip.AddrPort, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/runs/%s", to, id)
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.pools.To(to).Do(q)
	if err != nil {
		return fault.At("cancel", to.String(), err)
	}
	return resp.Body.Close()
}
