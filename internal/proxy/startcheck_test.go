package proxy

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/origin"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

// announcedStart is the start time of the engines of these tests in the configuration.
const announcedStart = 7

// newEngineHarness returns a harness whose endpoints are engines of one version, announced as started at announcedStart.
func newEngineHarness(t *testing.T, engines ...responder) *harness {
	h := newHarness(t, engines...)
	tbl := testTable()
	tbl.Services[0].Engine = &table.Engine{Slots: 8, Tokens: 1000}
	h.view.Table = table.New(tbl)
	for i, e := range h.chooser.endpoints {
		id := "e" + strconv.Itoa(i)
		ep := h.view.Endpoints[id]
		ep.StartedAtMS, ep.Addr = announcedStart, e.addr
		h.view.Endpoints[id] = ep
	}
	return h
}

// engine answers a query for its start with report, and others with next.
func engine(report, next responder) responder {
	return func(req receivedRequest, c net.Conn) bool {
		if req.URL.Path == "/start" {
			return report(req, c)
		}
		return next(req, c)
	}
}

// tells answers with a text.
func tells(text string) responder {
	return func(req receivedRequest, c net.Conn) bool {
		writeResponse(c, req, http.StatusOK, text)
		return true
	}
}

// slowly streams events up to breakAt with a pause before each, and breaks off inside that event.
func slowly(breakAt int, pause time.Duration) responder {
	return func(req receivedRequest, c net.Conn) bool {
		writeStreamHeader(c, req)
		for i := 1; i < breakAt; i++ {
			writeChunk(c, event(i))
			time.Sleep(pause)
		}
		writeChunk(c, event(breakAt)[:7])
		return false
	}
}

// TestStreamBeganAtUnannouncedStart guards against streams that are bound to the version of an endpoint's announced start, though they began
// at a process that has started since under its ID.
func TestStreamBeganAtUnannouncedStart(t *testing.T) {
	const pause = 20 * time.Millisecond
	recorded := func(h *harness, id string) bool {
		_, found := h.origins.Find(t.Context(), origin.KeyOf("org", id))
		return found
	}
	Convey("a stream that began at a later start does not go on, and its origin is not recorded", t, func() {
		h := newEngineHarness(t, engine(tells("8"), slowly(10, pause)), engine(tells("7"), streamUpTo(20, 0)))
		h.firstTo()
		resp := h.send(http.MethodPost, "/resume/", "x", "Id", "first")
		So(resp.complete, ShouldBeFalse)
		So(resp.body, ShouldEqual, eventRange(1, 9))
		So(recorded(h, "first"), ShouldBeFalse)
		So(h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "9").status, ShouldEqual, http.StatusServiceUnavailable)
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	Convey("so it is if the process is gone before it told its start", t, func() {
		var e *fakeEndpoint
		h := newEngineHarness(t, func(req receivedRequest, c net.Conn) bool {
			writeStreamHeader(c, req)
			e.closeAfterNext.Store(true)
			writeChunk(c, event(1))
			return false
		}, engine(tells("7"), streamUpTo(20, 0)))
		e = h.chooser.endpoints[0]
		h.firstTo()
		So(h.send(http.MethodPost, "/resume/", "x", "Id", "first").complete, ShouldBeFalse)
		So(h.chooser.endpoints[1].requests(), ShouldBeEmpty)
	})
	for name, report := range map[string]responder{
		"the announced start": tells("7"), "no start": tells("untold"), "nothing sensible": tells("x"), "nothing": mute,
		"a failure": func(req receivedRequest, c net.Conn) bool {
			writeResponse(c, req, http.StatusNotFound, "none")
			return true
		},
	} {
		Convey("a stream goes on, and its first event comes at once, if the engine tells "+name, t, func() {
			h := newEngineHarness(t, engine(report, slowly(25, pause)), engine(tells("7"), streamUpTo(30, 0)))
			h.firstTo()
			began := time.Now()
			first := make(chan time.Duration, 1)
			go func() {
				<-h.chooser.firstAnswers
				first <- time.Since(began)
			}()
			resp := h.send(http.MethodPost, "/resume/", "x", "Id", "first")
			So(resp.complete, ShouldBeTrue)
			So(resp.body, ShouldEqual, eventRange(1, 30))
			So(<-first, ShouldBeLessThan, startQueryTimeout/2)
			So(recorded(h, "first"), ShouldBeTrue)
		})
	}
	Convey("streams on a connection that was proven cost no further query, and those that begin at once share some", t, func() {
		var queries atomic.Int64
		counted := func(req receivedRequest, c net.Conn) bool {
			queries.Add(1)
			time.Sleep(pause)
			return tells("7")(req, c)
		}
		h := newEngineHarness(t, engine(counted, func(req receivedRequest, c net.Conn) bool {
			time.Sleep(pause)
			return streamUpTo(20, 0)(req, c)
		}))
		const streams = 20
		for range streams {
			So(h.send(http.MethodPost, "/resume/", "x").status, ShouldEqual, http.StatusOK)
			time.Sleep(2 * pause)
		}
		So(queries.Load(), ShouldBeLessThanOrEqualTo, 2)
		queries.Store(0)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() { h.send(http.MethodPost, "/resume/", "x") })
		}
		wg.Wait()
		time.Sleep(100 * time.Millisecond)
		So(queries.Load(), ShouldBeLessThan, streams/2)
	})
	Convey("an engine that had no room for a connection is asked again", t, func() {
		var queries atomic.Int64
		h := newEngineHarness(t, engine(func(req receivedRequest, c net.Conn) bool {
			return queries.Add(1) > 2 && tells("7")(req, c)
		}, slowly(30, pause)), engine(tells("7"), streamUpTo(40, 0)))
		h.firstTo()
		resp := h.send(http.MethodPost, "/resume/", "x", "Id", "first")
		So(resp.body, ShouldEqual, eventRange(1, 40))
		So(queries.Load(), ShouldEqual, 3)
		So(recorded(h, "first"), ShouldBeTrue)
	})
	Convey("streams that may not be resumed cost none", t, func() {
		h := newEngineHarness(t, engine(tells("7"), streamUpTo(20, 0)))
		So(h.send(http.MethodPost, "/stream/", "x").status, ShouldEqual, http.StatusOK)
		time.Sleep(100 * time.Millisecond)
		So(h.proxy.StartsAsked(), ShouldEqual, 0)
	})
	Convey("by way of another instance, that one has the engine prove its start", t, func() {
		p := newPair(t, engine(tells("8"), slowly(10, pause)), engine(tells("7"), streamUpTo(20, 0)))
		tbl := testTable()
		tbl.Services[0].Engine = &table.Engine{Slots: 8, Tokens: 1000}
		p.view.Table = table.New(tbl)
		for id, ep := range p.view.Endpoints {
			ep.StartedAtMS = announcedStart
			p.view.Endpoints[id] = ep
		}
		p.cut(linksRefused)
		p.firstTo()
		resp := p.send(http.MethodPost, "/resume/", "x")
		So(resp.complete, ShouldBeTrue)
		for _, req := range p.chooser.endpoints[0].requests() {
			So(req.URL.Path, ShouldNotEqual, "/resume/")
		}
	})
}

// TestStreamOfProvenStartIsRefused guards against streams that are refused, or cut, though their version still serves, as their endpoint has
// started again under its ID with another one since they began.
func TestStreamOfProvenStartIsRefused(t *testing.T) {
	const pause = 20 * time.Millisecond
	// restart announces another start of e0, with another version.
	restart := func(h *harness) {
		next := *h.view
		next.Endpoints = maps.Clone(h.view.Endpoints)
		ep := next.Endpoints["e0"]
		ep.StartedAtMS, ep.Build = announcedStart+1, "v2"
		next.Endpoints["e0"] = ep
		h.newView.Store(&next)
	}
	for told, goesOn := range map[string]bool{"7": true, "untold": false} {
		Convey("a stream whose engine told "+told+" goes on within its answer, and over its caller's tries: "+strconv.FormatBool(goesOn), t, func() {
			h := newEngineHarness(t, engine(tells(told), slowly(25, pause)), engine(tells("7"), streamUpTo(30, 0)))
			h.firstTo()
			time.AfterFunc(10*pause, func() { restart(h) })
			resp := h.send(http.MethodPost, "/resume/", "x", "Id", "first")
			So(resp.complete, ShouldEqual, goesOn)
			if goesOn {
				So(resp.body, ShouldEqual, eventRange(1, 30))
			}
			h.chooser.next.Store(1)
			resp = h.send(http.MethodPost, "/resume/", "x", "Continues", "first", "After", "24")
			So(resp.status == http.StatusOK, ShouldEqual, goesOn)
		})
	}
}
