package blame

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/seed"
)

// history applies reports at times, in milliseconds, to a tracker as the log does.
type history struct {
	tracker Tracker
	nowMS   int64
	boots   int
}

func newHistory() *history {
	return &history{tracker: NewTracker(), nowMS: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()}
}

func (h *history) report(r Report) {
	h.tracker.Add(h.nowMS, &r)
}

// down counts an endpoint of a service that went down.
func (h *history) down(service, boot string) {
	h.report(Report{Service: service, Boot: boot})
}

// crash reports a new crash of an endpoint of a service under a request with the given parts, a second after the last one.
func (h *history) crash(service string, parts ...uint64) {
	h.nowMS += 1000
	h.boots++
	h.report(Report{Service: service, Boot: fmt.Sprint("b", h.boots), Parts: parts})
}

func (h *history) sound(service string, parts ...uint64) {
	h.report(Report{Service: service, Parts: parts, Sound: true})
}

func (h *history) held(service string, parts ...uint64) bool {
	for _, part := range parts {
		if rec := h.tracker.Records[part]; rec != nil && rec.HeldAt(service) {
			return true
		}
	}
	return false
}

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	seed.Fix()
	os.Exit(m.Run())
}

// TestPartIsHeldTooLate guards against a part that goes on crashing endpoints, wherever it stands and whatever stands before it.
func TestPartIsHeldTooLate(t *testing.T) {
	const bad = 99
	places := map[string]func(i uint64) []uint64{
		"first":                 func(i uint64) []uint64 { return []uint64{bad, 10 + i} },
		"in the middle":         func(i uint64) []uint64 { return []uint64{10 + i, bad, 20 + i} },
		"last":                  func(i uint64) []uint64 { return []uint64{10 + i, 20 + i, bad} },
		"after one shared part": func(uint64) []uint64 { return []uint64{1, bad} },
		"alone":                 func(uint64) []uint64 { return []uint64{bad} },
	}
	for place, parts := range places {
		Convey("a part that stands "+place+" is held after its third crash", t, func() {
			h := newHistory()
			for i := range uint64(crashesToHold) {
				So(h.held("m", bad), ShouldBeFalse)
				h.crash("m", parts(i)...)
			}
			So(h.held("m", parts(7)...), ShouldBeTrue)
		})
	}
	Convey("two such parts at once are both held", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1, 98)
			h.crash("m", 2, 99)
		}
		So(h.held("m", 98), ShouldBeTrue)
		So(h.held("m", 99), ShouldBeTrue)
	})
	Convey("crashes at one service count at another, until that one has answered on the part", t, func() {
		h := newHistory()
		h.crash("m", 99)
		h.crash("n", 99)
		h.crash("m", 99)
		So(h.held("m", 99) && h.held("n", 99), ShouldBeTrue)
		h.sound("n", 99)
		So(h.held("n", 99), ShouldBeFalse)
		h.crash("m", 99)
		So(h.held("m", 99), ShouldBeTrue)
		So(h.held("n", 99), ShouldBeFalse)
	})
}

// TestSoundPartIsHeld guards against refusing requests whose endpoints went down for another reason.
func TestSoundPartIsHeld(t *testing.T) {
	Convey("a part on which answers go on between the crashes is not held", t, func() {
		h := newHistory()
		for range 10 {
			h.crash("m", 1, 99)
			h.sound("m", 1)
		}
		So(h.held("m", 1), ShouldBeFalse)
		So(h.held("m", 99), ShouldBeTrue)
	})
	Convey("a crash that several requests and instances report, at different times, counts once", t, func() {
		h := newHistory()
		for i := range uint64(5) {
			h.nowMS += 700
			h.report(Report{Service: "m", Boot: "b", Parts: []uint64{1, 10 + i}})
		}
		So(h.held("m", 1), ShouldBeFalse)
		So(len(h.tracker.Records[1].Crashes), ShouldEqual, 1)
	})
	Convey("endpoints that go down together count once", t, func() {
		h := newHistory()
		for i := range 5 {
			h.nowMS += coincidence.Milliseconds() / 5
			h.report(Report{Service: "m", Boot: fmt.Sprint("rack", i), Parts: []uint64{1}})
		}
		So(h.held("m", 1), ShouldBeFalse)
	})
	Convey("a part is not held if many more endpoints go down each time, before or after its own", t, func() {
		h := newHistory()
		for i := range 7 {
			h.down("m", fmt.Sprint("before", i))
			h.crash("m", 1)
			h.nowMS += coincidence.Milliseconds() / 2
			for j := range 5 {
				h.down("m", fmt.Sprint("after", i, "-", j))
			}
		}
		So(h.held("m", 1), ShouldBeFalse)
	})
	Convey("a part is held although other endpoints go down with some of its own", t, func() {
		h := newHistory()
		for i := range 4 {
			h.crash("m", 1)
			if i%2 == 0 {
				h.down("m", fmt.Sprint("other", i))
			}
		}
		So(h.held("m", 1), ShouldBeTrue)
	})
	Convey("crashes that are long past do not count", t, func() {
		h := newHistory()
		for range 5 {
			h.nowMS += evidenceLife.Milliseconds() + 1
			h.crash("m", 1)
		}
		So(h.held("m", 1), ShouldBeFalse)
	})
	Convey("a part that waited where a held part crashed endpoints is not held", t, func() {
		h := newHistory()
		for range 6 {
			h.crash("m", 99)
			h.report(Report{Service: "m", Boot: fmt.Sprint("b", h.boots), Parts: []uint64{1}})
			h.crash("m", 99)
		}
		So(h.held("m", 99), ShouldBeTrue)
		So(h.held("m", 1), ShouldBeFalse)
	})
	Convey("parts with the same crashes are both held, until one of them is answered", t, func() {
		h := newHistory()
		for range 3 {
			h.crash("m", 1, 99)
		}
		So(h.held("m", 1) && h.held("m", 99), ShouldBeTrue)
		h.sound("m", 1)
		So(h.held("m", 1), ShouldBeFalse)
		So(h.held("m", 99), ShouldBeTrue)
	})
	Convey("an answer on a held part that was under way frees it", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1)
		}
		So(h.held("m", 1), ShouldBeTrue)
		h.sound("m", 1)
		So(h.held("m", 1), ShouldBeFalse)
	})
}

// TestTrialsOfHeldPart guards against a part that is held for good, and against trials that crash endpoint after endpoint.
func TestTrialsOfHeldPart(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("a request without the parts that were there in each crash may try at once, but only the first time", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1, 99)
		}
		rec := h.tracker.Records[1]
		So(rec.TrialDue(now, now, []uint64{1, 99}), ShouldBeFalse)
		So(rec.TrialDue(now, now, []uint64{1, 50}), ShouldBeTrue)
		So(rec.grantTrial(0, "a"), ShouldBeTrue)
		So(rec.TrialDue(now, now, []uint64{1, 50}), ShouldBeFalse)
	})
	Convey("a request may try at once that has some of the parts that were there in each crash, but not all", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1, 2, 99)
		}
		rec := h.tracker.Records[1]
		So(rec.TrialDue(now, now, []uint64{1, 2, 99}), ShouldBeFalse)
		So(rec.TrialDue(now, now, []uint64{1, 2, 50}), ShouldBeTrue)
	})
	Convey("after a trial that crashed, it may be one that lacks a part which was there in that crash too, once it was waited for", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1, 2, 99)
		}
		rec := h.tracker.Records[1]
		So(rec.TrialDue(now, now, []uint64{1, 99, 50}), ShouldBeTrue)
		So(rec.grantTrial(0, "a"), ShouldBeTrue)
		h.crash("m", 1, 99, 50)
		So(rec.TrialDue(now, now, []uint64{1, 2, 51}), ShouldBeFalse)
		So(rec.TrialDue(now.Add(trialTime), now, []uint64{1, 99, 51}), ShouldBeFalse)
		So(rec.TrialDue(now.Add(trialTime), now, []uint64{1, 2, 51}), ShouldBeTrue)
		So(rec.grantTrial(1, "b"), ShouldBeTrue)
		So(rec.TrialDue(now.Add(trialTime), now, []uint64{1, 2, 51}), ShouldBeFalse)
	})
	Convey("a part that is in a crash without the others may be tried by a request without them", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1, 99)
		}
		h.crash("m", 1)
		rec := h.tracker.Records[1]
		So(rec.TrialDue(now, now, []uint64{1, 50}), ShouldBeTrue)
		So(rec.grantTrial(0, "a"), ShouldBeTrue)
		So(rec.TrialDue(now.Add(trialTime), now, []uint64{1, 50}), ShouldBeFalse)
	})
	Convey("one request gets a trial, also when it asks twice", t, func() {
		var rec Record
		So(rec.grantTrial(0, "a"), ShouldBeTrue)
		So(rec.grantTrial(0, "b"), ShouldBeFalse)
		So(rec.grantTrial(0, "a"), ShouldBeTrue)
		So(rec.Trials, ShouldEqual, 1)
		So(rec.grantTrial(1, "b"), ShouldBeTrue)
	})
	Convey("trials are ever further apart, up to a limit", t, func() {
		h := newHistory()
		for range crashesToHold {
			h.crash("m", 1)
		}
		rec := h.tracker.Records[1]
		var last time.Duration
		for range 12 {
			rec.Trials++
			delay := time.Duration(0)
			for !rec.TrialDue(now.Add(delay), now, nil) {
				delay += time.Minute
			}
			So(delay, ShouldBeGreaterThanOrEqualTo, last)
			last = delay
		}
		So(last, ShouldEqual, maxTrialDelay)
	})
}

// TestHoldingRandomCrashes guards against records that grow without bound, and against a part that is held although it was answered.
func TestHoldingRandomCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory()
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			parts := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 1, 5, rapid.ID[uint64]).Draw(t, "parts")
			service := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "service")
			if rapid.Bool().Draw(t, "sound") {
				h.sound(service, parts...)
				if h.held(service, parts...) {
					t.Fatal("a part is held after an answer on it")
				}
				continue
			}
			h.crash(service, parts...)
		}
		for part, rec := range h.tracker.Records {
			if len(rec.Crashes) > maxCrashes || len(rec.Crashes) == 0 {
				t.Fatalf("part %d has %d crashes", part, len(rec.Crashes))
			}
			if i := slices.IndexFunc(rec.Crashes, func(c Crash) bool { return slices.Contains(rec.SoundAt, c.Service) }); i >= 0 {
				t.Fatalf("part %d has a crash at a service that answered since", part)
			}
		}
	})
}

// BenchmarkHolding measures the work for a request of 20 parts while a thousand other parts are known.
func BenchmarkHolding(b *testing.B) {
	const known, parts = 1000, 20
	records, request := Records{}, make([]uint64, parts)
	for i := range uint64(known) {
		records[i] = Record{Crashes: []Crash{{Service: "m", Boot: fmt.Sprint(i)}}, Held: true}
	}
	for i := range request {
		request[i] = uint64(known + i)
	}
	b.ResetTimer()
	for range b.N {
		if _, held := records.Holding("m", request); held {
			b.Fatal("a part is held that is not known")
		}
	}
}

// BenchmarkAdd measures the work for a report of a crash while a thousand parts are known, a hundred of which are held.
func BenchmarkAdd(b *testing.B) {
	const known, held = 1000, 100
	h := newHistory()
	for i := range uint64(known) {
		crashes := 1
		if i < held {
			crashes = 4
		}
		for range crashes {
			h.crash("m", i)
		}
	}
	b.ResetTimer()
	for range b.N {
		h.crash("m", 5, known+1)
	}
}
