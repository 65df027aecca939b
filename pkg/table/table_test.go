package table

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func sample() *Table {
	return &Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "A.example", Prefix: "/", Kind: Repeat, Timeout: time.Second, Split: []Share{{"s", 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Kind: Once, Timeout: time.Second, Split: []Share{{"s", 9}, {"t", 1}}},
			{Name: "mid", Host: "a.example", Prefix: "/x/", Kind: Stream, Timeout: time.Second, Split: []Share{{"t", 1}}},
		},
		Services:      []Service{{Name: "s"}, {Name: "t"}},
		Organisations: []Organisation{{Name: "o", Keys: []string{Hash("k1"), Hash("k2")}}, {Name: "p", Keys: []string{Hash("k3")}}},
	}
}

func TestIndex(t *testing.T) {
	Convey("the longest prefix of the host wins", t, func() {
		x := New(sample())
		So(x.Route("a.example", "/x/y/z").Name, ShouldEqual, "deep")
		So(x.Route("a.example:80", "/x/yz").Name, ShouldEqual, "mid")
		So(x.Route("A.EXAMPLE", "/x").Name, ShouldEqual, "all")
		So(x.Route("b.example", "/x/"), ShouldBeNil)
	})
	Convey("a key leads to its organisation, an unknown one to none", t, func() {
		x := New(sample())
		So(x.Owner("k2").Name, ShouldEqual, "o")
		So(x.Owner("k3").Name, ShouldEqual, "p")
		So(x.Owner(""), ShouldBeNil)
		So(x.Owner(Hash("k1")), ShouldBeNil)
	})
	Convey("a split follows its weights", t, func() {
		r := New(sample()).Route("a.example", "/x/y/")
		So(r.Pick(0), ShouldEqual, "s")
		So(r.Pick(0.89), ShouldEqual, "s")
		So(r.Pick(0.91), ShouldEqual, "t")
	})
}

func TestCheck(t *testing.T) {
	Convey("a sound table passes", t, func() {
		So(sample().Check(), ShouldBeNil)
	})
	for name, breakIt := range map[string]func(*Table){
		"an unknown service":             func(x *Table) { x.Routes[0].Split[0].Service = "gone" },
		"two routes at one place":        func(x *Table) { x.Routes[1].Prefix = "/x/" },
		"hosts that differ in case only": func(x *Table) { x.Routes[2].Host, x.Routes[2].Prefix = "a.EXAMPLE", "/" },
		"weights of 0":                   func(x *Table) { x.Routes[2].Split[0].Weight = 0 },
		"no split":                       func(x *Table) { x.Routes[2].Split = nil },
		"a timeout of 0":                 func(x *Table) { x.Routes[2].Timeout = 0 },
		"a shared key":                   func(x *Table) { x.Organisations[1].Keys = []string{Hash("k1")} },
		"a prefix without its slash":     func(x *Table) { x.Routes[2].Prefix = "/x" },
		"an unknown kind":                func(x *Table) { x.Routes[2].Kind = "both" },
	} {
		Convey(name+" is refused", t, func() {
			x := sample()
			breakIt(x)
			So(x.Check(), ShouldNotBeNil)
		})
	}
}
