package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"

	"github.com/greengagewheel/greengagewheel/internal/answer"
	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// maxReplyBytes is the largest response body of a plain service.
const maxReplyBytes = 8 << 20

var errReplyTooLarge = errors.New("answer is too large")

type (
	// Call is one request to a plain service, an endpoint that is not a model engine. Key is its idempotency key.
	Call struct {
		Method      string
		Path        string
		Query       string
		ContentType string
		Key         string
		Body        []byte
	}

	// Reply is the response of a plain service.
	Reply struct {
		Status      int
		ContentType string
		Body        []byte
	}
)

// CallOnce sends a call on a new connection and never retries it. ErrUnsent means that no byte was sent; after ErrBroken the
// service may have run the call.
func (r *Relay) CallOnce(ctx context.Context, to netip.AddrPort, call Call) (Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), to, call)
	if err != nil {
		return Reply{}, fault.Wrap("call", to.String(), errors.Join(ErrUnsent, err))
	}
	reply, err := readReply(r.once.RoundTrip(req))
	if err == nil {
		return reply, nil
	}
	if !connected.Load() {
		return Reply{}, fault.Wrap("call", to.String(), errors.Join(ErrUnsent, err))
	}
	return Reply{}, fault.Wrap("call", to.String(), errors.Join(ErrBroken, err))
}

// CallRepeatable sends a call that may be repeated on a pooled connection. ErrBroken means that the exchange failed.
func (r *Relay) CallRepeatable(ctx context.Context, to netip.AddrPort, call Call) (Reply, error) {
	req, err := newRequest(ctx, to, call)
	if err != nil {
		return Reply{}, fault.Wrap("call", to.String(), err)
	}
	reply, err := readReply(r.pools.Pool(to).Do(req))
	if err != nil {
		r.pools.Pool(to).Renew()
		return Reply{}, fault.Wrap("call", to.String(), errors.Join(ErrBroken, err))
	}
	return reply, nil
}

func newRequest(ctx context.Context, to netip.AddrPort, call Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s", to, call.Path)
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	return req, nil
}

func readReply(resp *http.Response, err error) (Reply, error) {
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, whole, err := answer.ReadBody(resp, maxReplyBytes)
	if err != nil {
		return Reply{}, err
	}
	if !whole {
		return Reply{}, errReplyTooLarge
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Outcome asks a service that supports it for the outcome of an idempotency key; found means that the call has run. The answer does not
// name the key, so it is asked for over a new connection.
func (r *Relay) Outcome(ctx context.Context, to netip.AddrPort, key string) (reply Reply, found bool, err error) {
	resp, err := r.CallOnce(ctx, to, Call{Method: http.MethodGet, Path: "/v1/outcomes/" + url.PathEscape(key)})
	if err != nil {
		return Reply{}, false, err
	}
	var outcome struct {
		Runs   int    `json:"runs"`
		Answer string `json:"answer"`
	}
	if resp.Status != http.StatusOK || json.Unmarshal(resp.Body, &outcome) != nil || outcome.Runs == 0 {
		return Reply{}, false, nil
	}
	return Reply{Status: http.StatusOK, ContentType: "application/json", Body: []byte(outcome.Answer)}, true, nil
}
