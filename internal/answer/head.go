package answer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Places in a head.
const (
	inStatusLine headPlace = iota
	atLineStart
	inName
	inValue
	atLastLineFeed
	behindHead
)

// tokenSymbols are the characters of a field name that are neither letters nor digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// ErrFieldName means that a head or a trailer has a field without a valid name.
var ErrFieldName = errors.New("the response has a field without a valid name")

type (
	headPlace uint8

	// Head checks the heads of a response, informational ones and the final one, as they are read. net/http accepts names of fields
	// that hold blanks, and lines that continue the one before, which no endpoint may send.
	Head struct {
		place headPlace
		// versionEnded and codeBegan tell which parts of the status line were read, interim that the status is 1xx.
		versionEnded bool
		codeBegan    bool
		interim      bool
		err          error
	}
)

// Err returns the error that Scan has returned, as readers in between may drop it.
func (h *Head) Err() error {
	return h.err
}

// Scan checks the next bytes of a response up to the end of its final head. It returns ErrFieldName, and how many of the bytes precede
// the invalid one.
func (h *Head) Scan(p []byte) (int, error) {
	for i, c := range p {
		if h.place == behindHead {
			break
		}
		if h.step(c); h.err != nil {
			return i, h.err
		}
	}
	return len(p), nil
}

// step checks the next byte of a head.
func (h *Head) step(c byte) {
	switch h.place {
	case inStatusLine:
		h.scanStatus(c)
	case atLineStart:
		switch {
		case c == lineFeed:
			h.endHead()
		case c == carriageReturn:
			h.place = atLastLineFeed
		case isToken(c):
			h.place = inName
		default:
			h.err = ErrFieldName
		}
	case inName:
		switch {
		case c == ':':
			h.place = inValue
		case !isToken(c):
			h.err = ErrFieldName
		}
	case inValue:
		if c == lineFeed {
			h.place = atLineStart
		}
	case atLastLineFeed:
		if c != lineFeed {
			h.err = ErrFieldName
			return
		}
		h.endHead()
	}
}

// scanStatus finds out whether the status is 1xx, so that another head follows.
func (h *Head) scanStatus(c byte) {
	switch {
	case c == lineFeed:
		h.place = atLineStart
	case c == ' ':
		h.versionEnded = true
	case h.versionEnded && !h.codeBegan:
		h.codeBegan, h.interim = true, c == '1'
	}
}

func (h *Head) endHead() {
	if h.interim {
		*h = Head{}
		return
	}
	h.place = behindHead
}

// CheckNames returns an error if the name of a field is not valid.
func CheckNames(header http.Header) error {
	for name := range header {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > 0x7f || !isToken(byte(r)) }) {
			return fmt.Errorf("%w: %q", ErrFieldName, name)
		}
	}
	return nil
}

// isToken reports whether a field name may contain a character.
func isToken(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte(tokenSymbols, c) >= 0
}
