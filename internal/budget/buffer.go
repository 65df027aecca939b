package budget

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

const (
	// segmentBytes is the size in which a buffer grows, firstSegmentBytes that of its first segment if the length is unknown. A body that
	// is announced with at most segmentBytes is read into one segment of its size.
	segmentBytes      = 64 << 10
	firstSegmentBytes = 4 << 10
)

var errLonger = errors.New("the body is longer than announced")

// segments holds free segments of segmentBytes, as a crowd of large bodies would otherwise leave much to the garbage collector.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// Buffer collects a body in segments, so that growing copies and doubles nothing. Its bytes are reserved from a hold.
type Buffer struct {
	hold   *Hold
	length int64
	parts  [][]byte
	size   int64
	held   int64
}

// NewBuffer returns an empty buffer for a body of the given length; a negative length is unknown.
func NewBuffer(hold *Hold, length int64) *Buffer {
	return &Buffer{hold: hold, length: length}
}

// Fill reads until r ends or the buffer has limit bytes; ended tells whether r has ended. The error is that of r, or the reason why the
// buffer may not grow.
func (b *Buffer) Fill(r io.Reader, limit int64) (ended bool, err error) {
	for b.size < limit {
		if b.size == b.length {
			return b.end(r)
		}
		space, err := b.space(limit)
		if err != nil {
			return false, err
		}
		n, err := r.Read(space)
		if err == nil {
			// A body that is complete with its first read needs no clock.
			b.hold.arrived(n)
		}
		last := &b.parts[len(b.parts)-1]
		*last = (*last)[:len(*last)+n]
		b.size += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

// end reads the end of a body that has all of its announced length.
func (*Buffer) end(r io.Reader) (ended bool, err error) {
	for {
		n, err := r.Read(make([]byte, 1))
		switch {
		case n > 0:
			return false, errLonger
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// space returns the unused rest of the last segment, or that of a new one.
func (b *Buffer) space(limit int64) ([]byte, error) {
	if len(b.parts) > 0 {
		if last := b.parts[len(b.parts)-1]; len(last) < cap(last) {
			return clip(last[len(last):cap(last)], limit-b.size), nil
		}
	}
	n := int64(segmentBytes)
	switch {
	case b.length > 0 && b.size < b.length:
		n = min(n, b.length-b.size)
	case len(b.parts) == 0:
		n = firstSegmentBytes
	}
	if err := b.hold.Grow(n); err != nil {
		return nil, err
	}
	b.held += n
	var part []byte
	if n == segmentBytes {
		part = segments.Get().(*[segmentBytes]byte)[:0]
	} else {
		part = make([]byte, 0, n)
	}
	b.parts = append(b.parts, part)
	return clip(part[:n], limit-b.size), nil
}

func clip(space []byte, n int64) []byte {
	return space[:min(int64(len(space)), n)]
}

// Bytes returns the whole content and empties the buffer. The content stays reserved. The error is the reason why it may not be held.
func (b *Buffer) Bytes() ([]byte, error) {
	if len(b.parts) == 1 && cap(b.parts[0]) < segmentBytes {
		content := b.parts[0]
		b.parts, b.size, b.held = nil, 0, 0
		return content, nil
	}
	if err := b.hold.Grow(b.size); err != nil {
		return nil, err
	}
	content := bytes.Join(b.parts, nil)
	b.Drop()
	return content, nil
}

// Drop empties the buffer.
func (b *Buffer) Drop() {
	for _, part := range b.parts {
		if cap(part) == segmentBytes {
			segments.Put((*[segmentBytes]byte)(part[:segmentBytes]))
		}
	}
	b.parts = nil
	b.hold.shrink(b.held)
	b.size, b.held = 0, 0
}

// Reader returns a reader of the content, during which the buffer must not be changed.
func (b *Buffer) Reader() io.Reader {
	readers := make([]io.Reader, len(b.parts))
	for i, part := range b.parts {
		readers[i] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}
