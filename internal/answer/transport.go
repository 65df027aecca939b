package answer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
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
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn
		if c, ok := conn.(*Conn); ok {
			c.ExpectHead()
		}
	}}
	resp, err := t.inner.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp, conn); err != nil {
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the pooled connections.
func (t *Transport) CloseIdleConnections() {
	t.inner.CloseIdleConnections()
}
