package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"

	"github.com/greengagewheel/greengagewheel/internal/fault"
)

// maxReply is the largest answer of a plain service, in bytes.
const maxReply = 8 << 20

var errLarge = errors.New("answer is too large")

type (
	// Call is one request to a plain service.
	Call struct {
		Method string
		Path   string
		Query  string
		Type   string
		Key    string
		Body   []byte
	}

	// Reply is a plain service's answer.
	Reply struct {
		Status int
		Type   string
		Body   []byte
	}
)

// Once sends a call over a new connection, and never a second time.
// ErrUnsent tells that no byte was sent; after ErrBroken the service may have run it.
func (r *Relay) Once(ctx context.Context, to netip.AddrPort, c Call) (Reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	q, err := request(httptrace.WithClientTrace(ctx, trace), to, c)
	if err != nil {
		return Reply{}, fault.At("call", to.String(), errors.Join(ErrUnsent, err))
	}
	rep, err := reply(r.once.RoundTrip(q))
	if err == nil {
		return rep, nil
	}
	if !connected.Load() {
		return Reply{}, fault.At("call", to.String(), errors.Join(ErrUnsent, err))
	}
	return Reply{}, fault.At("call", to.String(), errors.Join(ErrBroken, err))
}

// Repeat sends a call that may be repeated over a pooled connection.
func (r *Relay) Repeat(ctx context.Context, to netip.AddrPort, c Call) (Reply, error) {
	q, err := request(ctx, to, c)
	if err != nil {
		return Reply{}, fault.At("call", to.String(), err)
	}
	rep, err := reply(r.pools.To(to).Do(q))
	if err != nil {
		r.pools.To(to).Renew()
		return Reply{}, fault.At("call", to.String(), errors.Join(ErrBroken, err))
	}
	return rep, nil
}

func request(ctx context.Context, to netip.AddrPort, c Call) (*http.Request, error) {
	url := fmt.Sprintf("http://%s%s", to, c.Path)
	if c.Query != "" {
		url += "?" + c.Query
	}
	q, err := http.NewRequestWithContext(ctx, c.Method, url, bytes.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	if c.Type != "" {
		q.Header.Set("Content-Type", c.Type)
	}
	if c.Key != "" {
		q.Header.Set("Idempotency-Key", c.Key)
	}
	return q, nil
}

func reply(resp *http.Response, err error) (Reply, error) {
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil {
		return Reply{}, err
	}
	if len(body) > maxReply {
		return Reply{}, errLarge
	}
	return Reply{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: body}, nil
}

// Outcome asks a service that can be asked what became of a key; found tells that it ran.
func (r *Relay) Outcome(ctx context.Context, to netip.AddrPort, key string) (rep Reply, found bool, err error) {
	c := Call{Method: http.MethodGet, Path: "/v1/outcomes/" + url.PathEscape(key)}
	got, err := r.Repeat(ctx, to, c)
	if err != nil {
		return Reply{}, false, err
	}
	var o struct {
		Runs   int    `json:"runs"`
		Answer string `json:"answer"`
	}
	if got.Status != http.StatusOK || json.Unmarshal(got.Body, &o) != nil || o.Runs == 0 {
		return Reply{}, false, nil
	}
	return Reply{Status: http.StatusOK, Type: "application/json", Body: []byte(o.Answer)}, true, nil
}
