package memb

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/ctrl"
)

// maxUnpackedBytes bounds the decompressed size of packed items.
const maxUnpackedBytes = 64 << 20

// Pack encodes and compresses items. The whole configuration of a large fleet takes a slow link longer than anything else that an
// instance does between its start and its first request.
func Pack(items []ctrl.Item) ([]byte, error) {
	data, err := cbor.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("encode items: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	_, err = w.Write(data)
	if err = errors.Join(err, w.Close()); err != nil {
		return nil, fmt.Errorf("compress items: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack moves packed items to Items. It returns an error if they cannot be read or are too large.
func (r *PullResponse) Unpack() error {
	if len(r.Packed) == 0 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Packed)), maxUnpackedBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("decompress items: %w", err)
	case len(data) > maxUnpackedBytes:
		return errors.New("decompress items: they are too large")
	}
	r.Packed = nil
	if err := cbor.Unmarshal(data, &r.Items); err != nil {
		return fmt.Errorf("decode items: %w", err)
	}
	return nil
}
