package table

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func sampleTable() *Table {
	return &Table{
		Version: 3,
		Routes: []Route{
			{Name: "all", Host: "A.example", PathPrefix: "/", Kind: Idempotent, Timeout: time.Second, TrafficSplit: []TrafficShare{{"s", 1}}},
			{
				Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Kind: NonIdempotent, Timeout: time.Second,
				TrafficSplit: []TrafficShare{{"s", 9}, {"t", 1}},
			},
			{Name: "mid", Host: "a.example", PathPrefix: "/x/", Kind: Streaming, Timeout: time.Second, TrafficSplit: []TrafficShare{{"t", 1}}},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Organisations: []Organisation{
			{Name: "o", KeyHashes: []string{HashKey("k1"), HashKey("k2")}}, {Name: "p", KeyHashes: []string{HashKey("k3")}},
		},
	}
}

func TestIndex(t *testing.T) {
	Convey("the longest prefix of the host wins", t, func() {
		idx := New(sampleTable())
		So(idx.Route("a.example", "/x/y/z").Name, ShouldEqual, "deep")
		So(idx.Route("a.example:80", "/x/yz").Name, ShouldEqual, "mid")
		So(idx.Route("A.EXAMPLE", "/x").Name, ShouldEqual, "all")
		So(idx.Route("b.example", "/x/"), ShouldBeNil)
	})
	Convey("an API key is found with its organisation, an unknown key or a hash is not", t, func() {
		idx := New(sampleTable())
		So(idx.OrganisationByKey("k2").Name, ShouldEqual, "o")
		So(idx.OrganisationByKey("k3").Name, ShouldEqual, "p")
		So(idx.OrganisationByKey(""), ShouldBeNil)
		So(idx.OrganisationByKey(HashKey("k1")), ShouldBeNil)
	})
	Convey("requests need a key while a table has organisations or requires keys, though it holds none", t, func() {
		tbl := sampleTable()
		So(New(tbl).RequiresKey(), ShouldBeTrue)
		tbl.Organisations[0].KeyHashes, tbl.Organisations[1].KeyHashes = nil, nil
		So(New(tbl).RequiresKey(), ShouldBeTrue)
		So(New(tbl).NumKeys(), ShouldEqual, 0)
		tbl.Organisations = nil
		So(New(tbl).RequiresKey(), ShouldBeFalse)
		tbl.RequireKeys = true
		So(New(tbl).RequiresKey(), ShouldBeTrue)
	})
	Convey("the traffic split follows the weights", t, func() {
		route := New(sampleTable()).Route("a.example", "/x/y/")
		So(route.PickService(0), ShouldEqual, "s")
		So(route.PickService(0.89), ShouldEqual, "s")
		So(route.PickService(0.91), ShouldEqual, "t")
	})
}

func TestCheck(t *testing.T) {
	Convey("a valid table passes", t, func() {
		So(sampleTable().Check(), ShouldBeNil)
	})
	for name, invalidate := range map[string]func(*Table){
		"an unknown service":             func(tbl *Table) { tbl.Routes[0].TrafficSplit[0].Service = "gone" },
		"two routes with one prefix":     func(tbl *Table) { tbl.Routes[1].PathPrefix = "/x/" },
		"hosts that differ in case only": func(tbl *Table) { tbl.Routes[2].Host, tbl.Routes[2].PathPrefix = "a.EXAMPLE", "/" },
		"weights of 0":                   func(tbl *Table) { tbl.Routes[2].TrafficSplit[0].Weight = 0 },
		"no split":                       func(tbl *Table) { tbl.Routes[2].TrafficSplit = nil },
		"a timeout of 0":                 func(tbl *Table) { tbl.Routes[2].Timeout = 0 },
		"a shared key":                   func(tbl *Table) { tbl.Organisations[1].KeyHashes = []string{HashKey("k1")} },
		"a prefix without its slash":     func(tbl *Table) { tbl.Routes[2].PathPrefix = "/x" },
		"an unknown kind":                func(tbl *Table) { tbl.Routes[2].Kind = "both" },
	} {
		Convey(name+" is refused", t, func() {
			tbl := sampleTable()
			invalidate(tbl)
			So(tbl.Check(), ShouldNotBeNil)
		})
	}
}
