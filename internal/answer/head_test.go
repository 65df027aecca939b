package answer

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestHead guards against heads that are refused or let through depending on how they arrive, and bodies that are checked as heads.
func TestHead(t *testing.T) {
	// scan returns what is let through of a text that comes in pieces of a size.
	scan := func(text string, size int) (passed string, err error) {
		var h Head
		for rest := text; len(rest) > 0 && err == nil; {
			piece := rest[:min(size, len(rest))]
			var n int
			n, err = h.Scan([]byte(piece))
			passed, rest = passed+piece[:n], rest[len(piece):]
			So(h.Err(), ShouldEqual, err)
		}
		return passed, err
	}
	sound := []string{
		"HTTP/1.1 200 OK\r\n\r\n a body: of any bytes\r\nBro ken: x\r\n",
		"HTTP/1.1 200\nA:\nB: \x01 x\n\n no field\n",
		"HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.0  100 X\r\n\r\nHTTP/1.1 404 1\r\nA: b\r\n\r\n no field",
	}
	broken := map[string]string{
		"HTTP/1.1 200 OK\r\nA: b\r\nBro":             " ken: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\n":                        " A: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n\r":              "A: b\r\n\r\n",
		"HTTP/1.1 100 X\r\nA":                        "\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 X\r\nA ": "",
	}
	for size := 1; size < 80; size++ {
		Convey("a head is checked in pieces of any size", t, func() {
			for _, text := range sound {
				passed, err := scan(text, size)
				So(err, ShouldBeNil)
				So(passed, ShouldEqual, text)
			}
			for want, rest := range broken {
				passed, err := scan(want+rest, size)
				So(err, ShouldEqual, ErrFieldName)
				So(passed, ShouldEqual, strings.TrimSuffix(want, " "))
			}
		})
	}
}
