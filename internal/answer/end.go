package answer

import (
	"encoding/json"
	"errors"
	"net/http"
)

// Signs that an answer was cut, although its framing ended as that of a complete one.
var (
	ErrCutEvent = errors.New("the stream ended inside an event")
	ErrCutLine  = errors.New("the stream ended inside a line")
	ErrNoEvent  = errors.New("the connection ended before the first event")
	ErrCutJSON  = errors.New("the connection ended inside a JSON document")
)

// CheckStreamEnd returns an error if an event stream was cut. rest is the data after its last complete event, and anyEvent is
// set if there was one. A stream that ends between two events counts as complete, as nothing marks its last event.
func CheckStreamEnd(framing Framing, anyEvent bool, rest []byte) error {
	switch {
	case HasFields(rest):
		return ErrCutEvent
	case framing != FramedByConnection:
		return nil
	case !anyEvent:
		return ErrNoEvent
	case len(rest) > 0 && rest[len(rest)-1] != lineFeed && rest[len(rest)-1] != carriageReturn:
		return ErrCutLine
	}
	return nil
}

// CheckBody returns an error if a body was cut. It must have been read to its end without an error, which is proof enough if it
// has a length or chunks. Of the bodies that end with their connection, JSON documents and event streams show whether they are
// whole; others count as whole.
func CheckBody(framing Framing, header http.Header, body []byte) error {
	switch {
	case framing != FramedByConnection:
		return nil
	case IsJSON(header) && !json.Valid(body):
		return ErrCutJSON
	case mediaType(header) == eventStreamType:
		end := 0
		for length := EventEnd(body); length >= 0; length = EventEnd(body[end:]) {
			end += length
		}
		return CheckStreamEnd(framing, HasFields(body[:end]), body[end:])
	}
	return nil
}
