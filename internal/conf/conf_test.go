package conf

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const invalidSettings = `mode = "routes"
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
	Convey("all errors of a file are reported at once, with line and key", t, func() {
		_, err := Parse("x.toml", []byte(invalidSettings))
		var problems Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		var keys []string
		for _, p := range problems {
			keys = append(keys, p.Key)
			So(p.File, ShouldEqual, "x.toml")
		}
		So(keys, ShouldResemble, []string{"colour", "retry.ratio", "stop.grace"})
		So(problems[0].Line, ShouldEqual, 2)
		So(problems[1].Line, ShouldEqual, 16)
		So(problems[2].Line, ShouldEqual, 18)
	})
	Convey("a syntax error is the only error reported", t, func() {
		_, err := Parse("x.toml", []byte("mode = \n[stop]\ngrace = 3\n"))
		var problems Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		So(problems, ShouldHaveLength, 1)
		So(problems[0].Line, ShouldEqual, 1)
	})
}
