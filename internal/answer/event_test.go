package answer

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEventEnd guards against events that are found too early, too late or not at all because of how their lines end.
func TestEventEnd(t *testing.T) {
	const event = "id: 7\n: note\ndata: caf\u00e9\n\n"
	for name, ending := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		text := strings.ReplaceAll(event, "\n", ending)
		Convey("An event with "+name+" endings ends with its blank line", t, func() {
			for end := range text {
				So(EventEnd([]byte(text[:end])), ShouldEqual, -1)
			}
			So(EventEnd([]byte(text)), ShouldEqual, len(text))
			So(EventEnd([]byte(text+text)), ShouldEqual, len(text))
			id, ok := EventID([]byte(text))
			So(ok, ShouldBeTrue)
			So(id, ShouldEqual, 7)
		})
	}
	Convey("An event may end with another line ending than its lines", t, func() {
		So(EventEnd([]byte("data: x\n\rdata: y\n\n")), ShouldEqual, len("data: x\n\r"))
		So(EventEnd([]byte("data: x\r\n\ndata: y\n\n")), ShouldEqual, len("data: x\r\n\n"))
		So(EventEnd([]byte("data: x\r\n\r")), ShouldEqual, -1)
	})
	Convey("An event without a usable id has none", t, func() {
		for _, event := range []string{"", "\n", "data: id: 4\n\n", "id: x\n\n", "id:\n\n"} {
			_, ok := EventID([]byte(event))
			So(ok, ShouldBeFalse)
		}
	})
}

// TestCheckStreamEnd guards against a cut stream that counts as complete, and against a complete one that counts as cut.
func TestCheckStreamEnd(t *testing.T) {
	Convey("A stream that ends inside an event was cut, whatever its framing", t, func() {
		for _, framing := range []Framing{FramedByLength, FramedByChunks, FramedByConnection} {
			for _, rest := range []string{"i", "id: 1", "id: 1\n", "data: x\r\n\r", "\ndata: x\n", ": note\ndata: x\n"} {
				So(CheckStreamEnd(framing, true, []byte(rest)), ShouldEqual, ErrCutEvent)
			}
			for _, rest := range []string{"", "\n", "\r\n", ": note\n", ": note\r"} {
				So(CheckStreamEnd(framing, true, []byte(rest)), ShouldBeNil)
			}
		}
	})
	Convey("Without a length or chunks, a stream without an event or with an unfinished comment was cut", t, func() {
		So(CheckStreamEnd(FramedByConnection, false, nil), ShouldEqual, ErrNoEvent)
		So(CheckStreamEnd(FramedByConnection, true, []byte(": no")), ShouldEqual, ErrCutLine)
		So(CheckStreamEnd(FramedByChunks, false, nil), ShouldBeNil)
		So(CheckStreamEnd(FramedByLength, true, []byte(": no")), ShouldBeNil)
	})
}
