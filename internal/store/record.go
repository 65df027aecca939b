package store

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

const (
	// headBytes is a record's head: the payload's length, a check of the length, and a check of the payload.
	headBytes = 4 + 4 + 8
	// maxRecord is the largest payload of a record in bytes.
	maxRecord = 16 << 20
)

// ErrDamaged tells that records before the tail of the log cannot be read.
var ErrDamaged = errors.New("log is damaged before its tail")

// record is one unit of the log file: all that was written and synced at once. A loss of power can tear only the last one,
// however its parts reach the disk.
type record struct {
	Hard    *repl.Hard   `json:"h,omitempty"`
	Entries []repl.Entry `json:"e,omitempty"`
}

func lengthCheck(n uint32) uint32 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], n)
	return uint32(xxhash.Sum64(b[:]))
}

// appendRecord adds the coded record to buf.
func appendRecord(buf []byte, r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return buf, err
	}
	n := uint32(len(body))
	buf = binary.LittleEndian.AppendUint32(buf, n)
	buf = binary.LittleEndian.AppendUint32(buf, lengthCheck(n))
	buf = binary.LittleEndian.AppendUint64(buf, xxhash.Sum64(body))
	return append(buf, body...), nil
}

// payload returns the payload of a record that begins at data, if it is whole and its checks hold.
func payload(data []byte) ([]byte, bool) {
	if len(data) < headBytes {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > maxRecord || binary.LittleEndian.Uint32(data[4:]) != lengthCheck(n) {
		return nil, false
	}
	if len(data) < headBytes+int(n) {
		return nil, false
	}
	body := data[headBytes : headBytes+int(n)]
	return body, binary.LittleEndian.Uint64(data[8:]) == xxhash.Sum64(body)
}

// scan calls f for each record and returns the length of the readable part.
// What cannot be read at the end is a torn tail; if a whole record follows it, the log is damaged.
func scan(data []byte, f func(record) error) (int, error) {
	at := 0
	for at < len(data) {
		body, ok := payload(data[at:])
		if !ok {
			return at, torn(data[at:])
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return at, ErrDamaged
		}
		if err := f(r); err != nil {
			return at, err
		}
		at += headBytes + len(body)
	}
	return at, nil
}

func torn(rest []byte) error {
	for i := 1; i+headBytes <= len(rest); i++ {
		if _, ok := payload(rest[i:]); ok {
			return ErrDamaged
		}
	}
	return nil
}
