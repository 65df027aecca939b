package place

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// newBuildBalancer returns a balancer of engines with the given software versions, e0 and so on.
func newBuildBalancer(builds ...string) *Balancer {
	b := New()
	endpoints := map[string]roster.Endpoint{}
	for i, build := range builds {
		id := fmt.Sprint("e", i)
		endpoints[id] = roster.Endpoint{
			ID: id, Service: "m", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80), State: roster.Ready, Build: build,
		}
	}
	b.Sync(endpoints, table.New(&table.Table{Services: []table.Service{{Name: "m", Engine: &table.Engine{Slots: 8, Tokens: 100_000}}}}))
	return b
}

// TestAnotherBuildIsChosen guards against the choice of an endpoint of another software version than the stream's.
func TestAnotherBuildIsChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("only endpoints of the version are chosen, one of many too, until none is left", t, func() {
		b := newBuildBalancer("v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v2")
		for n := range 20 {
			choice, ok := b.Place(now, Request{AttemptID: fmt.Sprint(n), Service: "m", Build: "v2", InputTokens: 5000, TimeLeft: time.Second})
			So(ok, ShouldBeTrue)
			So(choice.ID, ShouldEqual, "e9")
			So(choice.Build, ShouldEqual, "v2")
			So(choice.Alternatives, ShouldEqual, 0)
		}
		req := Request{AttemptID: "x", Service: "m", Build: "v2", ExcludedIDs: []string{"e9"}, TimeLeft: time.Second}
		_, ok := b.Place(now, req)
		So(ok, ShouldBeFalse)
		So(b.LimitedFor(now, &req), ShouldEqual, 0)
	})
	Convey("a request without a version is placed anywhere", t, func() {
		b := newBuildBalancer("v1", "v2")
		chosen := map[string]bool{}
		for n := range 10 {
			choice, _ := b.Place(now, Request{AttemptID: fmt.Sprint(n), Service: "m", InputTokens: 5000, TimeLeft: time.Second})
			chosen[choice.Build] = true
		}
		So(chosen, ShouldHaveLength, 2)
	})
	Convey("a version that has reached its limit tells when it takes the request, though another is free", t, func() {
		b := newBuildBalancer("v1", "v2")
		b.RecordLimit(now, Limit{EndpointID: "e1", PerSecond: 1})
		req := Request{AttemptID: "x", Service: "m", Build: "v2", TimeLeft: time.Second}
		_, ok := b.Place(now, req)
		So(ok, ShouldBeFalse)
		So(b.LimitedFor(now, &req), ShouldBeBetween, 0, time.Second+1)
	})
}

// TestCacheIsFetchedFromAnotherBuild guards against prompts that an engine fetches from the cache of one of another software version.
func TestCacheIsFetchedFromAnotherBuild(t *testing.T) {
	now := time.Unix(1000, 0)
	parts := []PromptPart{{ID: 1, Tokens: 4000}, {ID: 2, Tokens: 100}}
	req := func(id string, excluded ...string) Request {
		return Request{
			AttemptID: id, Service: "m", InputTokens: 4100, Parts: parts, ExcludedIDs: excluded, TimeLeft: time.Second,
		}
	}
	Convey("a prompt is fetched from an engine of the same version, though another holds more of it", t, func() {
		b := newBuildBalancer("v1", "v2", "v2")
		b.RecordCached("e0", parts)
		b.RecordCached("e1", parts[:1])
		b.RecordCached("e2", nil)
		choice, ok := b.Place(now, req("a", "e0", "e1"))
		So(ok, ShouldBeTrue)
		So(choice.FetchTokens, ShouldEqual, 4000)
		So(choice.FetchFrom, ShouldEqual, b.endpoints["e1"].info.Addr)
		So(choice.PrefillTokens, ShouldEqual, 100)
	})
	Convey("it is read again if only engines of another version hold it", t, func() {
		b := newBuildBalancer("v1", "v2")
		b.RecordCached("e0", parts)
		b.RecordCached("e1", nil)
		choice, ok := b.Place(now, req("a", "e0"))
		So(ok, ShouldBeTrue)
		So(choice.FetchTokens, ShouldEqual, 0)
		So(choice.FetchFrom.IsValid(), ShouldBeFalse)
		So(choice.PrefillTokens, ShouldEqual, 4100)
	})
}
