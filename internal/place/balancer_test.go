package place

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sort"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// Simulated engines prefill simPrefillRate tokens per second, one prompt at a time, and answer simBaseDelay later. Fetching a
	// cached token from another engine takes simFetchPerToken.
	simPrefillRate   = 22_000
	simBaseDelay     = 100 * time.Millisecond
	simFetchPerToken = time.Microsecond
	longTarget       = 2500 * time.Millisecond
	shortTarget      = 400 * time.Millisecond
)

type (
	// scenario is a simulated load: rates of requests per second with long and with short prompts. Each long prompt starts with
	// one of sharedPrefixes prefixes.
	scenario struct {
		engines        int
		longRate       float64
		shortRate      float64
		sharedPrefixes int
		duration       time.Duration
		// warmup is the time until the caches are filled; earlier requests are not counted.
		warmup time.Duration
		// noReserve disables the reservation of engines for short prompts.
		noReserve bool
		// choose replaces the balancer's choice, for comparison.
		choose func(balancer *Balancer, req *Request) string
	}

	// simResult is the result of a simulation: the fractions of requests answered on time, and the number of tokens prefilled.
	simResult struct {
		shortOnTime, longOnTime float64
		prefillTokens           int
	}

	// simEngine is a simulated engine: its queue of prompts to prefill and its cache.
	simEngine struct {
		queue []Request
		busy  bool
		cache *promptCache
	}

	// simEvent is a function to run at a time after the start.
	simEvent struct {
		at time.Duration
		do func(at time.Duration, now time.Time)
	}

	// simulation is the state of a running simulation. The maps arrived, sent and source are by attempt ID; source holds the
	// engine from which cached tokens are fetched.
	simulation struct {
		events   []simEvent
		warmup   time.Duration
		balancer *Balancer
		engines  map[string]*simEngine
		arrived  map[string]time.Duration
		sent     map[string]time.Duration
		source   map[string]string
		result   simResult
	}
)

func newEndpoints(n int) (map[string]roster.Endpoint, *table.Index) {
	eps := map[string]roster.Endpoint{}
	for i := range n {
		id := fmt.Sprint("e", i)
		eps[id] = roster.Endpoint{
			ID: id, Service: "s", Zone: "a", State: roster.Ready, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
	}
	return eps, table.New(&table.Table{Version: 1, Services: []table.Service{{Name: "s", Engine: &table.Engine{Slots: 64, Tokens: 500_000}}}})
}

// reportEmptyCaches reports to a balancer that the caches of the engines are empty.
func reportEmptyCaches(b *Balancer, engines []roster.Endpoint) {
	for _, e := range engines {
		b.RecordCached(e.ID, nil)
	}
}

func (s *simulation) schedule(at time.Duration, do func(at time.Duration, now time.Time)) {
	i := sort.Search(len(s.events), func(i int) bool { return s.events[i].at > at })
	s.events = slices.Insert(s.events, i, simEvent{at, do})
}

func (s *simulation) run() {
	start := time.Unix(1000, 0)
	for len(s.events) > 0 {
		next := s.events[0]
		s.events = s.events[1:]
		next.do(next.at, start.Add(next.at))
	}
}

// send adds a request to the queue of an engine.
func (s *simulation) send(at time.Duration, req Request, engineID string) {
	s.sent[req.AttemptID] = at
	eng := s.engines[engineID]
	eng.queue = append(eng.queue, req)
	s.startPrefill(at, eng)
}

// startPrefill lets an idle engine prefill the next prompt of its queue.
func (s *simulation) startPrefill(at time.Duration, eng *simEngine) {
	if eng.busy || len(eng.queue) == 0 {
		return
	}
	req := eng.queue[0]
	eng.queue = eng.queue[1:]
	eng.busy = true
	cached := eng.cache.cachedTokens(req.Parts)
	fetchTime := time.Duration(0)
	if source := s.source[req.AttemptID]; source != "" {
		if held := s.engines[source].cache.cachedTokens(req.Parts); held > cached {
			fetchTime, cached = time.Duration(held-cached)*simFetchPerToken, held
		}
	}
	prefillTokens := req.InputTokens - cached
	s.result.prefillTokens += prefillTokens
	eng.cache.touch(req.Parts)
	done := at + fetchTime + time.Duration(float64(prefillTokens)/simPrefillRate*float64(time.Second))
	s.schedule(done, func(at time.Duration, _ time.Time) {
		eng.busy = false
		s.startPrefill(at, eng)
	})
	answer := done + simBaseDelay
	if s.arrived[req.AttemptID] >= s.warmup && answer-s.arrived[req.AttemptID] <= req.LatencyTarget {
		if req.LatencyTarget == shortTarget {
			s.result.shortOnTime++
		} else {
			s.result.longOnTime++
		}
	}
	s.schedule(answer, func(at time.Duration, now time.Time) {
		s.balancer.Apply(now, Event{AttemptID: req.AttemptID, FirstAnswer: at - s.sent[req.AttemptID]})
	})
	s.schedule(answer+time.Second, func(_ time.Duration, now time.Time) {
		s.balancer.Apply(now, Event{AttemptID: req.AttemptID, Outcome: Completed})
	})
}

// simulate runs a scenario.
func simulate(sc scenario) simResult {
	eps, index := newEndpoints(sc.engines)
	s := &simulation{
		warmup: sc.warmup, balancer: New(), engines: map[string]*simEngine{},
		arrived: map[string]time.Duration{}, sent: map[string]time.Duration{}, source: map[string]string{},
	}
	if sc.noReserve {
		s.balancer.reservedPerBusyEngine = 0
	}
	reportEmptyCaches(s.balancer, s.balancer.Sync(eps, index))
	byAddr := map[netip.AddrPort]string{}
	for id, e := range eps {
		s.engines[id] = &simEngine{cache: newPromptCache(500_000)}
		byAddr[e.Addr] = id
	}
	rng := rand.New(rand.NewPCG(7, 7))
	var shortCount, longCount float64
	for at, n := time.Duration(0), 0; at < sc.duration; n++ {
		at += time.Duration(rng.ExpFloat64() / (sc.longRate + sc.shortRate) * float64(time.Second))
		req := Request{AttemptID: fmt.Sprint(n), Service: "s", Zone: "a", TimeLeft: 12 * time.Second}
		if rng.Float64()*(sc.longRate+sc.shortRate) < sc.shortRate {
			if at >= sc.warmup {
				shortCount++
			}
			req.InputTokens, req.LatencyTarget = 1200, shortTarget
		} else {
			if at >= sc.warmup {
				longCount++
			}
			prefix := rng.IntN(sc.sharedPrefixes)
			req.InputTokens, req.LatencyTarget, req.Priority = 17_000, longTarget, 2
			req.Parts = []PromptPart{{ID: uint64(prefix + 1), Tokens: 13_300}, {ID: uint64(100_000 + n), Tokens: 3_700}}
		}
		s.arrived[req.AttemptID] = at
		s.schedule(at, func(at time.Duration, now time.Time) {
			if sc.choose != nil {
				id := sc.choose(s.balancer, &req)
				s.balancer.Apply(now, Event{AttemptID: req.AttemptID, Start: &req, EndpointID: id})
				s.send(at, req, id)
				return
			}
			choice, _ := s.balancer.Place(now, req)
			s.source[req.AttemptID] = byAddr[choice.FetchFrom]
			s.send(at, req, choice.ID)
		})
	}
	s.run()
	s.result.shortOnTime /= shortCount
	s.result.longOnTime /= longCount
	return s.result
}

// leastRunning chooses the endpoint with the fewest requests in progress.
func leastRunning(b *Balancer, req *Request) string {
	best := b.byService[req.Service][0]
	for _, ep := range b.byService[req.Service] {
		if ep.running() < best.running() {
			best = ep
		}
	}
	return best.info.ID
}

// byPrefix chooses the endpoint by a hash of the first prompt part, regardless of load.
func byPrefix(b *Balancer, req *Request) string {
	if len(req.Parts) == 0 {
		return leastRunning(b, req)
	}
	eps := b.byService[req.Service]
	return eps[int(req.Parts[0].ID*2654435761>>8)%len(eps)].info.ID
}

// TestBurstOfLongPrompts simulates twice the usual rate of long prompts, starting with empty caches. Short requests must not
// miss their target behind long prefills, and shared prefixes must not be prefilled on several engines.
func TestBurstOfLongPrompts(t *testing.T) {
	// Prefilling each shared prefix once takes 3.3 s on all engines. The other prompts take half of the engines' time, so the
	// caches are full after 7 s.
	sc := scenario{engines: 12, longRate: 30, shortRate: 19, sharedPrefixes: 66, duration: 17 * time.Second, warmup: 7 * time.Second}
	simulateWith := func(choose func(*Balancer, *Request) string) simResult {
		sc.choose = choose
		return simulate(sc)
	}
	balanced, least, prefixOnly := simulateWith(nil), simulateWith(leastRunning), simulateWith(byPrefix)
	t.Logf("balancer %+v, least running %+v, by prefix %+v", balanced, least, prefixOnly)
	Convey("short and long requests are on time, more of them than with simpler policies", t, func() {
		So(balanced.shortOnTime, ShouldBeGreaterThan, 0.95)
		So(balanced.longOnTime, ShouldBeGreaterThan, 0.95)
		So(balanced.shortOnTime+balanced.longOnTime, ShouldBeGreaterThan, least.shortOnTime+least.longOnTime)
		So(balanced.shortOnTime+balanced.longOnTime, ShouldBeGreaterThan, prefixOnly.shortOnTime+prefixOnly.longOnTime)
	})
	Convey("shared prefixes are rarely prefilled more than once", t, func() {
		So(balanced.prefillTokens, ShouldBeLessThan, least.prefillTokens)
		// The prompts of short requests, and the parts of long prompts after the shared prefix.
		unsharedTokens := 19*17*1200 + 30*17*3700
		So(balanced.prefillTokens, ShouldBeLessThan, unsharedTokens+2*66*13_300)
	})
}

// TestColdCaches simulates the same load and counts requests from the start, while caches are empty and the engines are
// overloaded. Without reserved engines, short requests wait behind long prefills on every engine.
func TestColdCaches(t *testing.T) {
	sc := scenario{engines: 12, longRate: 30, shortRate: 19, sharedPrefixes: 66, duration: 10 * time.Second}
	Convey("reserved engines answer more short requests on time, and long requests are still on time", t, func() {
		sc.noReserve = true
		unreserved := simulate(sc)
		sc.noReserve = false
		reserved := simulate(sc)
		So(reserved.shortOnTime, ShouldBeGreaterThan, unreserved.shortOnTime)
		So(reserved.longOnTime, ShouldBeGreaterThan, 0.95)
	})
	Convey("no engine is reserved if all prompts are short or there are few engines, and at most a third", t, func() {
		now := time.Unix(1000, 0)
		demand := &prefillDemand{}
		reserved := func(engines int) int { return demand.reservedEngines(engines, 64, defaultReservedPerBusyEngine) }
		demand.add(now, shortPrefill/2, true)
		So(reserved(12), ShouldEqual, 0)
		demand.add(now, 10*shortPrefill, false)
		So(reserved(12), ShouldEqual, 1)
		So(reserved(2), ShouldEqual, 0)
		for range 1000 {
			demand.add(now, shortPrefill/2, true)
		}
		So(reserved(12), ShouldEqual, 4)
	})
}

// TestSlowEndpoint simulates an endpoint that is eight times slower than the others but reports to be ready. It must not keep
// its equal share of the requests.
func TestSlowEndpoint(t *testing.T) {
	Convey("a slow endpoint receives fewer requests", t, func() {
		b := New()
		b.Sync(newEndpoints(4))
		now := time.Unix(1000, 0)
		slowChosen := 0
		for i := range 400 {
			id := fmt.Sprint(i)
			c, ok := b.Place(now, Request{
				AttemptID: id, Service: "s", Zone: "a", InputTokens: 1000, LatencyTarget: shortTarget, TimeLeft: 12 * time.Second,
			})
			So(ok, ShouldBeTrue)
			first := 125 * time.Millisecond
			if c.ID == "e0" {
				first *= 8
				if i >= 100 {
					slowChosen++
				}
			}
			b.Apply(now.Add(first), Event{AttemptID: id, FirstAnswer: first})
			b.Apply(now.Add(first), Event{AttemptID: id, Outcome: Completed})
			now = now.Add(50 * time.Millisecond)
		}
		So(slowChosen, ShouldBeLessThan, 300/4/3)
	})
}

// TestFailingEndpoint simulates an endpoint that refuses connections and then recovers. It must not be tried again and again
// while it is down, nor be excluded for good.
func TestFailingEndpoint(t *testing.T) {
	Convey("an unreachable endpoint is avoided for a while and then used again", t, func() {
		b := New()
		b.Sync(newEndpoints(3))
		now := time.Unix(1000, 0)
		countChosen := func(unreachable bool) (n int) {
			var running []string
			for i := range 60 {
				id := fmt.Sprint(now.UnixNano(), "/", i)
				c, _ := b.Place(now, Request{
					AttemptID: id, Service: "s", Zone: "a", InputTokens: 1000, LatencyTarget: shortTarget, TimeLeft: 12 * time.Second,
				})
				if c.ID == "e1" {
					n++
				}
				if c.ID == "e1" && unreachable {
					b.Apply(now, Event{AttemptID: id, Outcome: ConnectFailed})
				} else {
					running = append(running, id)
				}
				if len(running) > 10 {
					b.Apply(now, Event{AttemptID: running[0], FirstAnswer: 200 * time.Millisecond})
					b.Apply(now, Event{AttemptID: running[0], Outcome: Completed})
					running = running[1:]
				}
				now = now.Add(20 * time.Millisecond)
			}
			return n
		}
		chosenWhileDown := countChosen(true)
		So(chosenWhileDown, ShouldBeGreaterThan, 0)
		So(chosenWhileDown, ShouldBeLessThan, 6)
		now = now.Add(20 * time.Second)
		So(countChosen(false), ShouldBeGreaterThan, 0)
	})
}

// TestFetchFromAnotherEngine sends many prompts with the same prefix, more than the engine that holds it can serve. The other
// engines must fetch the prefix instead of prefilling it again.
func TestFetchFromAnotherEngine(t *testing.T) {
	Convey("a prefix cached by an engine with a long backlog is fetched, not prefilled again", t, func() {
		b := New()
		eps, index := newEndpoints(3)
		reportEmptyCaches(b, b.Sync(eps, index))
		now := time.Unix(1000, 0)
		prefillTokens, fetchTokens := 0, 0
		for i := range 30 {
			c, ok := b.Place(now, Request{
				AttemptID: fmt.Sprint(i), Service: "s", Zone: "a", InputTokens: 17_000, LatencyTarget: longTarget, TimeLeft: 12 * time.Second,
				Parts: []PromptPart{{ID: 1, Tokens: 13_300}, {ID: uint64(100 + i), Tokens: 3_700}},
			})
			So(ok, ShouldBeTrue)
			prefillTokens += c.PrefillTokens
			if fetchTokens += c.FetchTokens; c.FetchTokens > 0 {
				So(c.FetchFrom.IsValid(), ShouldBeTrue)
				So(c.FetchFrom, ShouldNotEqual, c.Addr)
			}
		}
		So(prefillTokens, ShouldEqual, 13_300+30*3_700)
		So(fetchTokens, ShouldBeGreaterThanOrEqualTo, 13_300)
	})
}

// TestPendingPrefillTokensMatchAttempts checks that the incremental counter of tokens to prefill equals the sum over the attempts
// after any sequence of events. A difference would distort the backlog for as long as the endpoint exists.
func TestPendingPrefillTokensMatchAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New()
		b.Sync(newEndpoints(3))
		now := time.Unix(1000, 0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "run"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				b.Place(now, Request{
					AttemptID: id, Service: "s", Zone: "a", InputTokens: rapid.IntRange(0, 20_000).Draw(t, "input"), TimeLeft: 12 * time.Second,
				})
			case 2:
				b.Apply(now, Event{AttemptID: id, FirstAnswer: 100 * time.Millisecond})
			case 3:
				b.Apply(now, Event{AttemptID: id, Outcome: Completed})
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond)
				b.Tick(now)
			}
			for _, ep := range b.endpoints {
				want := 0
				for _, a := range ep.attempts {
					if !a.answered {
						want += a.prefillTokens
					}
				}
				if ep.pendingPrefillTokens != want {
					t.Fatalf("endpoint %s: want %d tokens to prefill, pendingPrefillTokens is %d", ep.info.ID, want, ep.pendingPrefillTokens)
				}
			}
		}
	})
}

// TestEntriesWithoutLeader simulates the loss of the leader while caches are cold. Many entry instances then place requests on
// their own, and could each have the same prefix prefilled on a different engine.
func TestEntriesWithoutLeader(t *testing.T) {
	const entries, prefixes, prefixTokens = 60, 300, 13_300
	eps, index := newEndpoints(40)
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(3, 3))
	request := func(n int) Request {
		return Request{
			AttemptID: fmt.Sprint(n), Service: "s", Zone: "a", InputTokens: prefixTokens + 3_700,
			LatencyTarget: longTarget, TimeLeft: 12 * time.Second,
			Parts: []PromptPart{{ID: uint64(rng.IntN(prefixes) + 1), Tokens: prefixTokens}, {ID: uint64(100_000 + n), Tokens: 3_700}},
		}
	}
	Convey("requests with the same prefix go to the same engine", t, func() {
		leader, enginesByPrefix := New(), map[uint64]map[string]bool{}
		leader.Sync(eps, index)
		entryBalancers := make([]*Balancer, entries)
		for i := range entryBalancers {
			entryBalancers[i] = New()
			entryBalancers[i].Sync(eps, index)
		}
		sent := map[string]int{}
		for n := range 1500 {
			req := request(n)
			c, ok := entryBalancers[rng.IntN(entries)].Place(now, req)
			So(ok, ShouldBeTrue)
			sent[c.ID]++
			if enginesByPrefix[req.Parts[0].ID] == nil {
				enginesByPrefix[req.Parts[0].ID] = map[string]bool{}
			}
			enginesByPrefix[req.Parts[0].ID][c.ID] = true
			now = now.Add(2 * time.Millisecond)
		}
		prefills := 0
		for _, engines := range enginesByPrefix {
			prefills += len(engines)
		}
		So(prefills, ShouldBeLessThan, prefixes*5/4)
		for _, n := range sent {
			So(n, ShouldBeLessThan, 4*1500/40)
		}
		Convey("and a new leader without any state sends them to that engine as well", func() {
			misplaced := 0
			for n := range 300 {
				req := request(10_000 + n)
				c, ok := leader.Place(now, req)
				So(ok, ShouldBeTrue)
				if len(enginesByPrefix[req.Parts[0].ID]) > 0 && !enginesByPrefix[req.Parts[0].ID][c.ID] {
					misplaced++
				}
				now = now.Add(2 * time.Millisecond)
			}
			So(misplaced, ShouldBeLessThan, 30)
		})
	})
}
