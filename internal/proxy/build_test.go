package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// cutAfter streams events up to a number and breaks off inside the next one.
func cutAfter(last int) responder {
	return func(req receivedRequest, c net.Conn) bool {
		return streamThenClose(eventRange(1, last)+event(last + 1)[:7])(req, c)
	}
}

// newBuildHarness returns a harness whose endpoints have the given software versions.
func newBuildHarness(t *testing.T, builds string, responders ...responder) *harness {
	h := newHarness(t, responders...)
	for i, build := range strings.Fields(builds) {
		id := "e" + string(rune('0'+i))
		ep := h.view.Endpoints[id]
		ep.Build = strings.Trim(build, "-")
		h.view.Endpoints[id] = ep
	}
	return h
}

// TestStreamResumedAtAnotherBuild guards against one answer with events of endpoints of two software versions.
func TestStreamResumedAtAnotherBuild(t *testing.T) {
	Convey("a stream goes on at an endpoint of its version, whatever is chosen first", t, func() {
		h := newBuildHarness(t, "v1 v2 v1", cutAfter(5), streamUpTo(20, 0), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		So(h.chooser.endpoints[2].requests(), ShouldHaveLength, 1)
	})
	for name, builds := range map[string]string{
		"another one": "v1 v2", "one that differs in case": "v1 V1", "one that is not known": "v1 -", "no known one itself": "- -",
	} {
		Convey("a stream is broken off if what is left has "+name, t, func() {
			h := newBuildHarness(t, builds, cutAfter(5), streamUpTo(20, 0))
			resp := h.send(http.MethodPost, "/resume/", "x")
			So(resp.complete, ShouldBeFalse)
			So(resp.body, ShouldEqual, eventRange(1, 5))
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
		})
	}
	Convey("an answer that brought no event goes on at any version", t, func() {
		h := newBuildHarness(t, "v1 v2", streamThenClose(event(1)[:5]), streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		So(resp.body, ShouldEqual, eventRange(1, 20))
	})
	Convey("a stream is broken off if its endpoint turns out to have started again with another version", t, func() {
		var h *harness
		h = newBuildHarness(t, "v1 v1", func(req receivedRequest, c net.Conn) bool {
			streamThenClose(eventRange(1, 5))(req, c)
			<-h.chooser.firstAnswers
			view := *h.view
			view.Endpoints = map[string]roster.Endpoint{"e1": h.view.Endpoints["e1"]}
			restarted := h.view.Endpoints["e0"]
			restarted.StartedAtMS, restarted.Build = 1, "v2"
			view.Endpoints["e0"] = restarted
			h.newView.Store(&view)
			_, _ = c.Write([]byte(event(6)[:7]))
			return false
		}, streamUpTo(20, 0))
		resp := h.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeFalse)
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
}

// TestStreamTakenUpAtAnotherBuild guards against requests that go on with a stream at an endpoint of another software version.
func TestStreamTakenUpAtAnotherBuild(t *testing.T) {
	know := func(h *harness, organisation, id, build string) {
		h.origins.Record(origin.Record{
			Key: origin.KeyOf(organisation, id), Origin: origin.Origin{Build: build, EndpointID: "gone"}, Left: time.Minute,
		})
	}
	Convey("a request goes on at the version of the request that it names, and so does one that names it", t, func() {
		h := newBuildHarness(t, "v1 v2", streamUpTo(20, 0), streamUpTo(20, 0))
		know(h, "org", "first", "v2")
		for n := range 4 {
			resp := h.send(http.MethodPost, "/resume/", "x", "Id", "second", "Continues", "first", "After", "7")
			So(resp.status, ShouldEqual, http.StatusOK)
			So(h.chooser.endpoints[1].requests(), ShouldHaveLength, n+1)
		}
		So(h.send(http.MethodPost, "/resume/", "x", "Id", "third", "Continues", "second", "After", "9").status, ShouldEqual, http.StatusOK)
		So(h.chooser.endpoints[0].requests(), ShouldBeEmpty)
	})
	Convey("a request whose stream's version has no endpoint is told to come back, and nothing is sent", t, func() {
		h := newBuildHarness(t, "v1 v1", streamUpTo(20, 0), streamUpTo(20, 0))
		know(h, "org", "first", "v2")
		resp := h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "7", "Deadline", "4000")
		So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
		So(h.chooser.endpoints[0].requests(), ShouldBeEmpty)
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	for name, header := range map[string][]string{
		"an unknown request":                      {"Continues", "unknown", "After", "7"},
		"one of another organisation":             {"Continues", "foreign", "After", "7"},
		"an unknown request, and no last event":   {"Continues", "unknown"},
		"none, and there are several versions":    {"After", "7"},
		"a request that brought a head, no event": {"Continues", "headOnly", "After", "7"},
	} {
		Convey("a request that names "+name+" is refused as not run", t, func() {
			h := newBuildHarness(t, "v1 v2", streamUpTo(20, 0), streamUpTo(20, 0))
			know(h, "other", "foreign", "v2")
			resp := h.send(http.MethodPost, "/resume/", "x", header...)
			So(resp.status, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.header.Get("Retry-After"), ShouldNotBeEmpty)
			So(h.chooser.endpoints[0].requests(), ShouldBeEmpty)
			So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
			So(h.proxy.OriginsUnknown(), ShouldEqual, 1)
		})
	}
	Convey("a request that names no other goes on where there is but one version", t, func() {
		h := newBuildHarness(t, "v1 v1", streamUpTo(20, 0), streamUpTo(20, 0))
		So(h.send(http.MethodPost, "/resume/", "x", "After", "7").status, ShouldEqual, http.StatusOK)
	})
	Convey("the names are not looked at on routes whose streams may not be resumed", t, func() {
		h := newBuildHarness(t, "v1 v2", streamUpTo(20, 0), streamUpTo(20, 0))
		So(h.send(http.MethodPost, "/stream/", "x", "Continues", "unknown").status, ShouldEqual, http.StatusOK)
	})
}

// TestStreamSentToUnprovenProcess guards against streams that go on at a process which is not the start of the endpoint that was chosen.
func TestStreamSentToUnprovenProcess(t *testing.T) {
	engine := func(started string) responder {
		return func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/start" {
				writeResponse(c, req, http.StatusOK, started)
				return true
			}
			return streamUpTo(20, 0)(req, c)
		}
	}
	for started, status := range map[string]int{
		"7": http.StatusOK, "untold": http.StatusOK, "8": http.StatusServiceUnavailable, "x": http.StatusOK,
	} {
		Convey("an engine chosen as started at 7 that tells "+started, t, func() {
			h := newBuildHarness(t, "v1", engine(started))
			tbl := testTable()
			tbl.Services[0].Engine = &table.Engine{Slots: 8, Tokens: 1000}
			h.view.Table = table.New(tbl)
			ep := h.view.Endpoints["e0"]
			ep.StartedAtMS = 7
			h.view.Endpoints["e0"] = ep
			h.origins.Record(origin.Record{Key: origin.KeyOf("org", "first"), Origin: origin.Origin{Build: "v1"}, Left: time.Minute})
			for range 2 {
				So(h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "7").status, ShouldEqual, status)
			}
			targets := map[string]int{}
			for _, req := range h.chooser.endpoints[0].requests() {
				targets[req.URL.Path]++
			}
			if status == http.StatusOK {
				So(targets["/resume/"], ShouldEqual, 2)
			} else {
				So(targets["/resume/"], ShouldEqual, 0)
			}
			if started == "7" {
				So(targets["/start"], ShouldEqual, 1)
			}
		})
	}
}

// TestNoStreamGoesOnWithoutReports guards against streams that go on nowhere as the engines of their version give no usable report of their
// start, though they serve new streams.
func TestNoStreamGoesOnWithoutReports(t *testing.T) {
	silent := func(receivedRequest, net.Conn) bool { return true }
	reports := map[string]responder{
		"are missing": func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusNotFound, "none")
			return true
		},
		"are malformed": func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, "x")
			return true
		},
		"do not come": silent,
	}
	engine := func(report responder) responder {
		return func(req receivedRequest, c net.Conn) bool {
			if req.URL.Path == "/start" {
				return report(req, c)
			}
			return streamUpTo(20, 0)(req, c)
		}
	}
	newHarness := func(builds string, engines ...responder) *harness {
		h := newBuildHarness(t, builds, engines...)
		tbl := testTable()
		tbl.Services[0].Engine = &table.Engine{Slots: 8, Tokens: 1000}
		h.view.Table = table.New(tbl)
		for id, ep := range h.view.Endpoints {
			ep.StartedAtMS = 7
			h.view.Endpoints[id] = ep
		}
		h.origins.Record(origin.Record{Key: origin.KeyOf("org", "first"), Origin: origin.Origin{Build: "v1"}, Left: time.Minute})
		return h
	}
	takeUps := func(h *harness, n int) (served int) {
		for range n {
			if h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "7").status == http.StatusOK {
				served++
			}
		}
		return served
	}
	for name, report := range reports {
		Convey("streams go on at the announced engines if all reports "+name, t, func() {
			h := newHarness("v1 v1", engine(report), engine(report))
			So(takeUps(h, 6), ShouldEqual, 6)
		})
	}
	Convey("an engine that proves its start is tried before one that does not", t, func() {
		proven := func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusOK, "7")
			return true
		}
		h := newHarness("v1 v1", engine(reports["are missing"]), engine(proven))
		So(takeUps(h, 1), ShouldEqual, 1)
		for _, req := range h.chooser.endpoints[0].requests() {
			So(req.URL.Path, ShouldEqual, "/start")
		}
	})
}

// TestStreamTakenUpAtAnotherService guards against streams that go on at another service of their route than the one that began them.
func TestStreamTakenUpAtAnotherService(t *testing.T) {
	play := func(split ...table.TrafficShare) (statuses map[int]int, services map[string]int) {
		h := newBuildHarness(t, "v1", streamUpTo(20, 0))
		tbl := testTable()
		tbl.Services = append(tbl.Services, table.Service{Name: "t"})
		tbl.Routes[3].TrafficSplit = split
		h.view.Table = table.New(tbl)
		h.origins.Record(origin.Record{
			Key: origin.KeyOf("org", "first"), Origin: origin.Origin{Build: "v1", Service: "s", EndpointID: "gone"}, Left: time.Minute,
		})
		statuses, services = map[int]int{}, map[string]int{}
		for range 20 {
			statuses[h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "7").status]++
		}
		h.chooser.mu.Lock()
		defer h.chooser.mu.Unlock()
		for _, service := range h.chooser.services {
			services[service]++
		}
		return statuses, services
	}
	Convey("a stream goes on at its service, whatever its share of the route is", t, func() {
		statuses, services := play(table.TrafficShare{Service: "t", Weight: 99}, table.TrafficShare{Service: "s", Weight: 1})
		So(statuses, ShouldResemble, map[int]int{http.StatusOK: 20})
		So(services, ShouldResemble, map[string]int{"s": 20})
	})
	Convey("it is refused as not run if its service is no longer one of the route's", t, func() {
		statuses, services := play(table.TrafficShare{Service: "t", Weight: 1})
		So(statuses, ShouldResemble, map[int]int{http.StatusServiceUnavailable: 20})
		So(services, ShouldBeEmpty)
	})
}
