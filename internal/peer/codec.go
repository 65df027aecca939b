package peer

import (
	"github.com/fxamacker/cbor/v2"
)

// maxElements is the largest number of elements that an array or map of a decoded message may have.
const maxElements = 1 << 20

var decoder, _ = cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()

// Checker is implemented by domain types that Decode validates; Check returns an error for an invalid value.
type Checker interface {
	Check() error
}

// Encode returns the CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	return cbor.Marshal(v)
}

// Decode decodes CBOR into v, and validates v if it is a Checker.
func Decode(data []byte, v any) error {
	if err := decoder.Unmarshal(data, v); err != nil {
		return err
	}
	if c, ok := v.(Checker); ok {
		return c.Check()
	}
	return nil
}

// encodeFrame returns a frame that holds v.
func encodeFrame(v any) (*Frame, error) {
	body, err := Encode(v)
	if err != nil {
		return nil, err
	}
	return &Frame{Body: body}, nil
}
