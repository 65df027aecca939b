package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// chunkTime is the time in which a simulated engine prefills a chunk of chunkTokens tokens; each running stream gets one token.
	chunkTime   = 50 * time.Millisecond
	chunkTokens = 2200
	// eventTokens is the number of tokens in an event. A stream whose engine prefills for as many chunks in a row pauses for a whole
	// event, which takes longer than its objective of steadyGap.
	eventTokens = 7
	steadyGap   = 300 * time.Millisecond
)

type (
	// chatClass is a class of requests in a simulated load. A prompt has sharedTokens tokens in common with others about the same of
	// things things, and ownTokens on average, lognormal with ownSpread. A stream is to begin within target and to pause for gap at most,
	// and lasts for length.
	chatClass struct {
		perSecond, sharedTokens int
		ownTokens               float64
		ownSpread               float64
		things                  int
		gap, target, length     time.Duration
	}

	// chatStream is a running request.
	chatStream struct {
		id                string
		class             int
		arrived, answered time.Time
		prefill           int
		pausedFor         time.Duration
	}

	// chatEngine is a simulated engine.
	chatEngine struct {
		queue, running []*chatStream
		busyChunks     int
		cached         map[uint64]bool
	}

	// chatResult holds, for each class, the shares of requests whose first event was in time and whose pauses were.
	chatResult struct {
		count, firstInTime, pausesInTime [3]float64
	}
)

// chatClasses are short chats with a tight objective for pauses, drafts, and reviews of long prompts.
var chatClasses = [3]chatClass{
	{
		perSecond: 143, sharedTokens: 170, ownTokens: 543, ownSpread: 0.9, things: 800,
		gap: steadyGap, target: time.Second, length: 1400 * time.Millisecond,
	},
	{
		perSecond: 150, sharedTokens: 570, ownTokens: 1800, ownSpread: 1.0, things: 1200,
		gap: 500 * time.Millisecond, target: time.Second, length: 100 * time.Millisecond,
	},
	{
		perSecond: 152, sharedTokens: 6300, ownTokens: 2890, ownSpread: 1.0, things: 660,
		gap: 1200 * time.Millisecond, target: 1500 * time.Millisecond, length: 250 * time.Millisecond,
	},
}

// playChats plays the load of the classes on 60 engines for 20 s and counts from the eighth second on.
func playChats(seed uint64, reserve bool) (r chatResult) {
	const engines, warmup, length = 60, 8 * time.Second, 20 * time.Second
	b, rng := New(), rand.New(rand.NewPCG(seed, 1))
	if !reserve {
		b.reservedPerBusyEngine = 0
	}
	eps, sims := map[string]roster.Endpoint{}, map[string]*chatEngine{}
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		eps[id] = roster.Endpoint{
			ID: id, Service: "m", Zone: string(rune('a' + i%3)), State: roster.Ready, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
		sims[id] = &chatEngine{cached: map[uint64]bool{}}
	}
	b.Sync(eps, table.New(&table.Table{Services: []table.Service{{Name: "m", Engine: &table.Engine{
		Slots: 64, Tokens: 243_000, TokensPerEvent: eventTokens,
	}}}}))
	begin := time.Unix(1000, 0)
	next := 0
	for now := begin; now.Before(begin.Add(length)); now = now.Add(chunkTime) {
		for class, c := range chatClasses {
			expected := float64(c.perSecond) * chunkTime.Seconds()
			for range int(expected + rng.Float64()) {
				next++
				own := int(min(c.ownTokens*math.Exp(rng.NormFloat64()*c.ownSpread-c.ownSpread*c.ownSpread/2), 12*c.ownTokens))
				part := uint64(class)<<32 | uint64(rng.IntN(c.things)) + 1
				req := Request{
					AttemptID: fmt.Sprint(next, "/1"), Service: "m", Zone: string(rune('a' + rng.IntN(3))), InputTokens: c.sharedTokens + own,
					BodyBytes: 3000, OutputTokens: 280, LatencyTarget: c.target, GapTarget: c.gap, TimeLeft: 5 * time.Second,
					Parts: []PromptPart{{ID: part, Tokens: c.sharedTokens}, {ID: uint64(1)<<40 | uint64(next), Tokens: own}},
				}
				choice, _ := b.Place(now, req)
				e, prefill := sims[choice.ID], own
				if !e.cached[part] && choice.FetchTokens < c.sharedTokens {
					prefill += c.sharedTokens
				}
				e.cached[part] = true
				e.queue = append(e.queue, &chatStream{id: req.AttemptID, class: class, arrived: now, prefill: prefill})
			}
		}
		for _, e := range sims {
			e.step(now, b)
			for _, s := range e.ended(now, b) {
				if s.arrived.Sub(begin) < warmup {
					continue
				}
				r.count[s.class]++
				if s.answered.Sub(s.arrived) <= chatClasses[s.class].target {
					r.firstInTime[s.class]++
				}
				if s.pausedFor <= chatClasses[s.class].gap {
					r.pausesInTime[s.class]++
				}
			}
		}
	}
	for class := range r.count {
		r.firstInTime[class] /= r.count[class]
		r.pausesInTime[class] /= r.count[class]
	}
	return r
}

// step prefills one chunk, of one or more prompts, and lets the running streams wait for it.
func (e *chatEngine) step(now time.Time, b *Balancer) {
	left := chunkTokens
	for len(e.queue) > 0 && left > 0 {
		s := e.queue[0]
		done := min(s.prefill, left)
		s.prefill, left = s.prefill-done, left-done
		if s.prefill > 0 {
			break
		}
		e.queue = e.queue[1:]
		s.answered = now.Add(chunkTime)
		e.running = append(e.running, s)
		b.Apply(now, Event{AttemptID: s.id, FirstAnswer: s.answered.Sub(s.arrived)})
	}
	if e.busyChunks++; left > chunkTokens/2 {
		e.busyChunks = 0
	}
	for _, s := range e.running {
		s.pausedFor = max(s.pausedFor, time.Duration(min(e.busyChunks, eventTokens))*chunkTime)
	}
}

// ended removes and returns the streams that have ended.
func (e *chatEngine) ended(now time.Time, b *Balancer) (ended []*chatStream) {
	running := e.running[:0]
	for _, s := range e.running {
		if now.Sub(s.answered) < chatClasses[s.class].length {
			running = append(running, s)
			continue
		}
		ended = append(ended, s)
		b.Apply(now, Event{AttemptID: s.id, LongestPause: s.pausedFor})
		b.Apply(now, Event{AttemptID: s.id, Outcome: Completed})
	}
	e.running = running
	return ended
}

// TestPrefillInterruptsSteadyStreams guards against streams with a tight objective for pauses that run on the same engines as the prefill of
// other prompts, whose chunks make each token late.
func TestPrefillInterruptsSteadyStreams(t *testing.T) {
	Convey("most steady streams have no long pause, and the other requests are still in time", t, func() {
		for seed := range uint64(3) {
			shared, reserved := playChats(seed, false), playChats(seed, true)
			t.Logf("seed %d: without reserved engines %+v, with %+v", seed, shared, reserved)
			So(reserved.pausesInTime[0], ShouldBeGreaterThan, 0.95)
			So(1-reserved.pausesInTime[0], ShouldBeLessThan, (1-shared.pausesInTime[0])/2)
			for class := range reserved.firstInTime {
				So(reserved.firstInTime[class], ShouldBeGreaterThan, 0.95)
			}
		}
	})
}

// TestReservationFollowsPauses guards against engines that are reserved although no stream is late, or no longer while streams are.
func TestReservationFollowsPauses(t *testing.T) {
	now := time.Unix(1000, 0)
	steadyReq := Request{GapTarget: steadyGap, LatencyTarget: time.Second}
	other := Request{GapTarget: 2 * time.Second, LatencyTarget: time.Second}
	Convey("short prompts are alike until many streams pause for too long", t, func() {
		d := &prefillDemand{}
		for n := range 100 {
			d.addPause(now, n%20 == 19)
		}
		So(d.isSteady(&other, shortPrefill, eventTokens), ShouldBeTrue)
		for range 20 {
			d.addPause(now, true)
		}
		So(d.isSteady(&other, shortPrefill, eventTokens), ShouldBeFalse)
		So(d.isSteady(&steadyReq, shortPrefill, eventTokens), ShouldBeTrue)
		So(d.isSteady(&steadyReq, 2*shortPrefill, eventTokens), ShouldBeFalse)
		for range 2000 {
			d.addPause(now, false)
		}
		So(d.isSteady(&other, shortPrefill, eventTokens), ShouldBeTrue)
	})
	Convey("few streams decide nothing, and a request that tells no pause is judged by its prompt", t, func() {
		d := &prefillDemand{}
		for range minPauses - 1 {
			d.addPause(now, true)
		}
		So(d.isSteady(&other, shortPrefill, eventTokens), ShouldBeTrue)
		d.addPause(now, true)
		So(d.isSteady(&other, shortPrefill, eventTokens), ShouldBeFalse)
		So(d.isSteady(&Request{}, shortPrefill, eventTokens), ShouldBeTrue)
	})
}
