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
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/conns"
	"github.com/greengagewheel/greengagewheel/internal/fault"
	"github.com/greengagewheel/greengagewheel/pkg/chat"
)

const (
	// maxLineBytes is the longest line of an event stream.
	maxLineBytes = 1 << 20
	// maxReconnects is the number of consecutive new connections without progress before an endpoint is given up.
	maxReconnects = 2
	cancelTimeout = time.Second
	// headerBuild is the header in which engines tell the version of their software.
	headerBuild = "X-Build"
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
)

var (
	// ErrUnsent means that no connection was made, so that no byte was sent.
	ErrUnsent = errors.New("endpoint not reached")
	// ErrBroken means that a connection broke while a request was in progress on it.
	ErrBroken = errors.New("connection broke")
	// ErrOtherBuild means that another software version answers than the one that began the stream.
	ErrOtherBuild = errors.New("the endpoint has another software version than the one that began the stream")
	// ErrSilent means that an endpoint stayed silent, even on new connections.
	ErrSilent     = errors.New("endpoint is silent")
	errStreamDone = errors.New("stream is done")
	// errUnmatchedRefusal means that a refusal may be the answer to an earlier request on the connection.
	errUnmatchedRefusal = errors.New("the refusal may be that of an earlier request")
)

type (
	// Event is one token of a stream, or its end if FinishReason is set. Offset counts the tokens up to and including it.
	Event struct {
		Offset       int         `json:"offset"`
		Text         string      `json:"text,omitempty"`
		FinishReason string      `json:"finish,omitempty"`
		Usage        *chat.Usage `json:"usage,omitempty"`
	}

	// Stream describes a generation to fetch from an engine.
	Stream struct {
		// ID identifies the generation at the engine.
		ID       string
		Path     string
		Body     []byte
		Priority int
		// CheckBuild, if set, is called with the software version that an engine tells with its answer, which is empty if it tells none.
		// If it returns false, nothing is taken of the answer.
		CheckBuild func(build string) bool
		// FirstTokenTimeout bounds the wait for the first event, TokenGapTimeout the wait between events.
		FirstTokenTimeout time.Duration
		TokenGapTimeout   time.Duration
	}

	// Refusal is an endpoint's error response, which another endpoint would give too.
	Refusal struct {
		Status int
		Body   []byte
	}

	// Relay holds the connections to endpoints.
	Relay struct {
		pools *conns.Pools
		once  http.RoundTripper
	}
)

// Error returns the endpoint's message, or the status if it sent none.
func (refusal *Refusal) Error() string {
	var failure chat.ErrorBody
	if json.Unmarshal(refusal.Body, &failure) == nil && failure.Error.Message != "" {
		return fmt.Sprintf("endpoint refused: %s", failure.Error.Message)
	}
	return fmt.Sprintf("endpoint refused with status %d", refusal.Status)
}

// MayHaveRun reports whether the endpoint may have begun the request: a failure, unlike a refusal, says nothing of that.
func (refusal *Refusal) MayHaveRun() bool {
	return refusal.Status >= http.StatusInternalServerError && refusal.Status != http.StatusServiceUnavailable
}

// New returns a Relay without connections.
func New() *Relay {
	return &Relay{pools: conns.NewPools(), once: conns.NewUnpooledTransport()}
}

// EngineBody returns a request body in the form sent to engines: streamed, with usage, and with normalised JSON. It
// returns an error if original is not a JSON object.
func EngineBody(original []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(original, &fields); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	return json.Marshal(fields)
}

// Fetch streams a generation from an engine into sink, starting after the token at offset. A connection that breaks or
// goes silent is replaced by a new one to the same engine, which resumes at the last offset. So is one that served earlier requests and
// brings a refusal, which may be a late answer to one of them. The error is ErrUnsent,
// ErrBroken, ErrSilent, ErrOtherBuild or a *Refusal, or that of ctx if it ended; ErrBroken wraps ErrUnsent if the engine could not be
// reached again.
func (r *Relay) Fetch(ctx context.Context, to netip.AddrPort, stream Stream, offset int, sink func(Event) error) error {
	failures := 0
	sent := false
	for {
		reached, err := r.fetchOnce(ctx, to, stream, offset, sink)
		sent = sent || !errors.Is(err, ErrUnsent)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		}
		var refusal *Refusal
		if errors.As(err, &refusal) || errors.Is(err, ErrOtherBuild) {
			return err
		}
		if reached > offset {
			offset, failures = reached, 0
		}
		if errors.Is(err, ErrUnsent) {
			if sent {
				return errors.Join(ErrBroken, err)
			}
			return err
		}
		failures++
		if failures > maxReconnects {
			return err
		}
		r.pools.Pool(to).Renew()
	}
}

// fetchOnce streams over one connection and returns the offset reached.
func (r *Relay) fetchOnce(ctx context.Context, to netip.AddrPort, stream Stream, offset int, sink func(Event) error) (int, error) {
	streamCtx, resetTimeout, stop := conns.WithIdleTimeout(ctx, stream.FirstTokenTimeout)
	defer stop()
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	url := fmt.Sprintf("http://%s%s", to, stream.Path)
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(streamCtx, trace), http.MethodPost, url, bytes.NewReader(stream.Body))
	if err != nil {
		return offset, err
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", stream.ID)
	req.Header.Set("X-Priority", strconv.Itoa(stream.Priority))
	if offset > 0 {
		req.Header.Set("Last-Event-ID", strconv.Itoa(offset))
	}
	resp, err := r.pools.Pool(to).Do(req)
	if err != nil {
		return offset, classifyError(streamCtx, to, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK && reused {
		return offset, fault.Wrap("stream", to.String(), errors.Join(ErrBroken, errUnmatchedRefusal))
	}
	if resp.StatusCode != http.StatusOK {
		refusal, err := readRefusal(resp)
		if err != nil {
			return offset, classifyError(streamCtx, to, err)
		}
		return offset, fault.Wrap("stream", to.String(), refusal)
	}
	if stream.CheckBuild != nil && !stream.CheckBuild(resp.Header.Get(headerBuild)) {
		return offset, fault.Wrap("stream", to.String(), ErrOtherBuild)
	}
	offset, err = readEvents(resp.Body, offset, func(e Event) error {
		resetTimeout(stream.TokenGapTimeout)
		return sink(e)
	})
	if err != nil {
		return offset, classifyError(streamCtx, to, err)
	}
	return offset, nil
}

// readRefusal reads an error response. Of one larger than 64 KiB, it returns the beginning.
func readRefusal(resp *http.Response) (*Refusal, error) {
	body, _, err := answer.ReadBody(resp, maxRefusalBytes)
	if err != nil {
		return nil, err
	}
	return &Refusal{Status: resp.StatusCode, Body: body}, nil
}

// classifyError distinguishes connections that were never made, broke, or went silent.
func classifyError(streamCtx context.Context, to netip.AddrPort, err error) error {
	var opErr *net.OpError
	switch {
	case errors.Is(context.Cause(streamCtx), context.DeadlineExceeded):
		err = errors.Join(ErrSilent, err)
	case errors.As(err, &opErr) && opErr.Op == "dial":
		err = errors.Join(ErrUnsent, err)
	default:
		err = errors.Join(ErrBroken, err)
	}
	return fault.Wrap("stream", to.String(), err)
}

// readEvents parses server-sent events up to [DONE] and returns the offset reached. An end without [DONE] is an error.
func readEvents(body io.Reader, offset int, sink func(Event) error) (int, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	id := offset
	for scanner.Scan() {
		line := scanner.Text()
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id, _ = strconv.Atoi(strings.TrimSpace(value))
			continue
		}
		data, ok := strings.CutPrefix(line, "data:")
		if !ok {
			continue
		}
		newOffset, err := handleData(strings.TrimSpace(data), id, offset, sink)
		if errors.Is(err, errStreamDone) {
			return newOffset, nil
		}
		if err != nil {
			return offset, err
		}
		offset = newOffset
	}
	if err := scanner.Err(); err != nil {
		return offset, err
	}
	return offset, io.ErrUnexpectedEOF
}

// handleData passes one event to sink unless it is a repetition, and returns the new offset. A missing token is an
// error.
func handleData(data string, id, offset int, sink func(Event) error) (int, error) {
	if data == chat.EndOfStream {
		return offset, errStreamDone
	}
	var chunk chat.Completion
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return offset, fmt.Errorf("malformed event: %w", err)
	}
	if len(chunk.Choices) == 0 {
		return offset, nil
	}
	choice := chunk.Choices[0]
	event := Event{Offset: id, Usage: chunk.Usage}
	switch {
	case choice.Delta != nil:
		event.Text = string(choice.Delta.Content)
	case choice.Text != nil:
		event.Text = *choice.Text
	}
	if choice.FinishReason != nil {
		event.FinishReason = *choice.FinishReason
		event.Offset = offset
		return offset, sink(event)
	}
	switch {
	case id <= offset:
		return offset, nil
	case id > offset+1:
		return offset, fmt.Errorf("token %d came after token %d", id, offset)
	}
	return id, sink(event)
}

// Cancel tells an engine to stop a generation; runID is the ID of its Stream.
func (r *Relay) Cancel(ctx context.Context, to netip.AddrPort, runID string) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/v1/runs/%s", to, runID)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return err
	}
	resp, err := r.pools.Pool(to).Do(req)
	if err != nil {
		return fault.Wrap("cancel", to.String(), err)
	}
	return resp.Body.Close()
}
