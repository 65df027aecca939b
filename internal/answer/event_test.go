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
	Convey("An event without a usable id has none", t, func() {
		for _, event := range []string{"", "\n", "data: id: 4\n\n", "id: x\n\n", "id:\n\n"} {
			_, ok := EventID([]byte(event))
			So(ok, ShouldBeFalse)
		}
	})
}
