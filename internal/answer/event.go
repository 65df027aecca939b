package answer

import (
	"bytes"
	"strconv"
)

const (
	lineFeed       = '\n'
	carriageReturn = '\r'
	commentStart   = ':'
)

var idField = []byte("id:")

// EventEnd returns the length in bytes of the first server-sent event in data, up to and including its blank line, or -1
// if data does not hold all of it.
func EventEnd(data []byte) int {
	pos, afterCR := 0, false
	for {
		length, ending := nextLine(data[pos:], afterCR)
		if ending == 0 {
			return -1
		}
		pos += length + ending
		if length == 0 {
			return pos
		}
		afterCR = ending == 1 && data[pos-1] == carriageReturn
	}
}

// EventID returns the number in the id field of a complete event; ok is false if there is none.
func EventID(event []byte) (id int64, ok bool) {
	for len(event) > 0 {
		length, ending := nextLine(event, true)
		if value, isID := bytes.CutPrefix(event[:length], idField); isID {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			return id, err == nil
		}
		event = event[length+ending:]
	}
	return 0, false
}

// nextLine returns the length of the first line in data and that of its line ending: LF, CRLF or CR. The latter is 0 if the
// line is not complete. A CR at the end of data may be one half of a CRLF, unless the line before ended with a CR alone.
func nextLine(data []byte, afterCR bool) (length, ending int) {
	length = bytes.IndexByte(data, lineFeed)
	if length < 0 {
		length = len(data)
	} else {
		ending = 1
	}
	cr := bytes.IndexByte(data[:length], carriageReturn)
	switch {
	case cr < 0:
		return length, ending
	case cr+1 < length:
		return cr, 1
	case ending > 0:
		return cr, 2
	case afterCR:
		return cr, 1
	}
	return length, 0
}

// HasFields reports whether data has a line that is neither blank nor a comment, complete or not.
func HasFields(data []byte) bool {
	for len(data) > 0 {
		length, ending := nextLine(data, true)
		if length > 0 && data[0] != commentStart {
			return true
		}
		data = data[length+ending:]
	}
	return false
}
