package store

import (
	"encoding/binary"
	"errors"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagewheel/greengagewheel/internal/repl"
)

const (
	// headerBytes is the size of a record's header: payload length, checksum of the length, checksum of the payload.
	headerBytes = 4 + 4 + 8
	// maxPayloadBytes is the largest valid payload of a record.
	maxPayloadBytes = 16 << 20
)

// ErrDamaged means that stored data is missing or corrupt in a way that an interrupted last write does not explain.
var ErrDamaged = errors.New("stored data is corrupt or missing")

// record is the unit of the log file: everything written and synced at once. A power failure can tear only the last record,
// in whichever order its blocks reach the disk.
type record struct {
	HardState *repl.HardState `json:"h,omitempty"`
	Entries   []repl.Entry    `json:"e,omitempty"`
}

func lengthChecksum(n uint32) uint32 {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], n)
	return uint32(xxhash.Sum64(b[:]))
}

// appendRecord appends the encoded record to buf.
func appendRecord(buf []byte, r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return buf, err
	}
	n := uint32(len(payload))
	buf = binary.LittleEndian.AppendUint32(buf, n)
	buf = binary.LittleEndian.AppendUint32(buf, lengthChecksum(n))
	buf = binary.LittleEndian.AppendUint64(buf, xxhash.Sum64(payload))
	return append(buf, payload...), nil
}

// parsePayload returns the payload of the record at the start of data, and false if it is incomplete or a checksum differs.
func parsePayload(data []byte) ([]byte, bool) {
	if len(data) < headerBytes {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(data)
	if n == 0 || n > maxPayloadBytes || binary.LittleEndian.Uint32(data[4:]) != lengthChecksum(n) {
		return nil, false
	}
	if len(data) < headerBytes+int(n) {
		return nil, false
	}
	payload := data[headerBytes : headerBytes+int(n)]
	return payload, binary.LittleEndian.Uint64(data[8:]) == xxhash.Sum64(payload)
}

// scanRecords calls f for each record and returns the length of the readable part.
// Unreadable data at the end is a torn tail; if a valid record follows it, the result is ErrDamaged. An error of f ends the scan.
func scanRecords(data []byte, f func(record) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, ok := parsePayload(data[offset:])
		if !ok {
			return offset, checkTornTail(data[offset:])
		}
		var r record
		if err := cbor.Unmarshal(payload, &r); err != nil {
			return offset, ErrDamaged
		}
		if err := f(r); err != nil {
			return offset, err
		}
		offset += headerBytes + len(payload)
	}
	return offset, nil
}

// checkTornTail returns ErrDamaged if a valid record follows the unreadable data at the start of tail.
func checkTornTail(tail []byte) error {
	for i := 1; i+headerBytes <= len(tail); i++ {
		if _, ok := parsePayload(tail[i:]); ok {
			return ErrDamaged
		}
	}
	return nil
}
