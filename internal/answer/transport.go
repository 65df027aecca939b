package answer

import (
	"context"
	"net"
	"net/http"
)

// Transport sends requests to endpoints and fails those whose responses are not sound.
type Transport struct {
	inner *http.Transport
}

// NewTransport returns a Transport with the settings of inner, which must use HTTP/1.1 and dial with DialContext.
func NewTransport(inner *http.Transport) *Transport {
	dial := inner.DialContext
	inner = inner.Clone()
	inner.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{inner: inner}
}

// RoundTrip sends a request.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.inner.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		// A connection with such a status is not used again by net/http.
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the pooled connections.
func (t *Transport) CloseIdleConnections() {
	t.inner.CloseIdleConnections()
}
