package conf

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const faulty = `mode = "routes"
colour = "red"
[instance]
name = "i1"
zone = "a"
region = "r"
[listen]
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
peers = "127.0.0.1:3"
[peers]
seeds = ["127.0.0.1:4"]
[keys]
secret = "instances-of-one-system"
[retry]
ratio = -1
[stop]
grace = "1ms"
`

func TestProblems(t *testing.T) {
	Convey("all faults of a file are named at once, with line and key", t, func() {
		_, err := Parse("x.toml", []byte(faulty))
		var found Problems
		So(errors.As(err, &found), ShouldBeTrue)
		var places []string
		for _, p := range found {
			places = append(places, p.Key)
			So(p.File, ShouldEqual, "x.toml")
		}
		So(places, ShouldResemble, []string{"colour", "retry.ratio", "stop.grace"})
		So(found[0].Line, ShouldEqual, 2)
		So(found[1].Line, ShouldEqual, 16)
		So(found[2].Line, ShouldEqual, 18)
	})
	Convey("a fault in the text itself is named alone", t, func() {
		_, err := Parse("x.toml", []byte("mode = \n[stop]\ngrace = 3\n"))
		var found Problems
		So(errors.As(err, &found), ShouldBeTrue)
		So(found, ShouldHaveLength, 1)
		So(found[0].Line, ShouldEqual, 1)
	})
}
