package peer

import (
	"github.com/fxamacker/cbor/v2"
)

// maxElements bounds the arrays and maps of a decoded message.
const maxElements = 1 << 20

var decoder, _ = cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()

// Checker is a domain type that checks itself when decoded.
type Checker interface {
	Check() error
}

// Encode returns v in CBOR.
func Encode(v any) ([]byte, error) {
	return cbor.Marshal(v)
}

// Decode fills v from CBOR and checks it where it can check itself.
func Decode(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return err
	}
	if c, ok := v.(Checker); ok {
		return c.Check()
	}
	return nil
}

// pack returns v as a frame.
func pack(v any) (*Frame, error) {
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return &Frame{Body: body}, nil
}
