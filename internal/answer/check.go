package answer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

var (
	// ErrStatus means that a response has a status that is neither informational nor that of a final response.
	ErrStatus = errors.New("the response has an invalid status")
	// ErrTooLarge means that a body was not read to its end, so that it is not known whether it is whole.
	ErrTooLarge = errors.New("the body is too large")
)

// trailedBody is a body in chunks, with a trailer behind it.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
	conn io.Closer
}

// Check returns an error and closes the connection of a response if its status is not valid. Reads of its body do the same at its end
// if the trailer is not valid. Requests never ask to switch protocols, so the status 101 is not valid.
func Check(resp *http.Response, conn io.Closer) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		_ = conn.Close()
		return fmt.Errorf("%w: %03d", ErrStatus, resp.StatusCode)
	}
	if FramingOf(resp) == FramedByChunks {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp, conn: conn}
	}
	return nil
}

// Read reads from the body.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if nameErr := CheckNames(b.resp.Trailer); nameErr != nil {
		_ = b.conn.Close()
		return n, nameErr
	}
	return n, err
}

// ReadBody reads a body up to a number of bytes. The error tells that it was cut or ended by an invalid trailer. If the body is larger,
// whole is unset, and what was read is its beginning.
func ReadBody(resp *http.Response, maxBytes int64) (body []byte, whole bool, err error) {
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, false, err
	case int64(len(body)) > maxBytes:
		return body[:maxBytes], false, nil
	}
	return body, true, CheckBody(FramingOf(resp), resp.Header, body)
}
