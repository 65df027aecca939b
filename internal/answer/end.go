package answer

import "errors"

// Signs that an answer was cut, although its framing ended as that of a complete one.
var (
	ErrCutEvent = errors.New("the stream ended inside an event")
	ErrCutLine  = errors.New("the stream ended inside a line")
	ErrNoEvent  = errors.New("the connection ended before the first event")
)

// CheckStreamEnd returns an error if an event stream was cut. rest is the data after its last complete event, and anyEvent is
// set if there was one.
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
