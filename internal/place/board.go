package place

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// others weighs the time for which reading a prompt delays the requests of others against the request's own.
	others = 9
	// callDelay is the time that a plain service takes for a call, until its answers tell otherwise.
	callDelay = 50 * time.Millisecond
	// perRun is what each running request adds to the time of a new one on an engine.
	perRun = time.Millisecond
	// otherZone is what an endpoint of another zone must be faster by: a trip there and back, and the price of the bytes.
	otherZone = 15 * time.Millisecond
	// zoneByte is what a byte between zones counts beside a faster answer.
	zoneByte = 20 * time.Microsecond
	// tokenBytes is the size of a generated token on the wire, with its part of the event around it.
	tokenBytes = 20
	// fullDelay is added for an endpoint whose slots are all taken.
	fullDelay = time.Second
	// troubleDelay is added for each failure in an endpoint's recent past.
	troubleDelay = 400 * time.Millisecond
	// troubleHalf is the time after which a failure counts half.
	troubleHalf = 2 * time.Second
	// slowMost bounds the factor by which an endpoint is taken to be slower than expected.
	slowMost = 16
	// slowWeight is the weight of the newest answer in that factor.
	slowWeight = 0.3
	// slowHalf is the time without answers after which half of that factor is forgotten.
	slowHalf = 4 * time.Second
	// overtime is how long after its caller's deadline a run whose end was never told is forgotten.
	overtime = 2 * time.Second
	// firstAnswer is the factor over the expected time after which a run without an answer counts against its endpoint.
	firstAnswer = 4
	// leastPatience is the shortest such time.
	leastPatience = 700 * time.Millisecond
)

type (
	// run is one request at an endpoint.
	run struct {
		q        Request
		need     int
		began    time.Time
		expected time.Duration
		alone    bool
		first    bool
		late     bool
	}

	// load is what is known of one endpoint.
	load struct {
		ep     roster.Endpoint
		engine bool
		slots  int
		runs   map[string]*run
		// unread are the runs whose prompts are not read yet, and free is when all of them are likely read.
		unread    int
		free      time.Time
		speed     *speed
		cache     *cache
		trouble   float64
		troubleAt time.Time
		slow      float64
		slowAt    time.Time
		elsewhere Summary
	}

	// Board is the state from which endpoints are chosen; its owner calls it from one goroutine at a time.
	Board struct {
		loads    map[string]*load
		services map[string][]*load
		runs     map[string]*load
		speeds   map[string]*speed
		queue    []waiting
	}
)

// New returns a board without endpoints.
func New() *Board {
	return &Board{loads: map[string]*load{}, services: map[string][]*load{}, runs: map[string]*load{}, speeds: map[string]*speed{}}
}

// Sync makes the board's endpoints those given, of the services of a table, and returns the engines that are new.
func (b *Board) Sync(eps map[string]roster.Endpoint, t *table.Index) (engines []roster.Endpoint) {
	for id, l := range b.loads {
		if e, ok := eps[id]; !ok || e.Born != l.ep.Born || e.Addr != l.ep.Addr {
			b.drop(l)
		}
	}
	b.services = map[string][]*load{}
	for id, e := range eps {
		l := b.loads[id]
		if l == nil {
			l = &load{runs: map[string]*run{}, slow: 1}
			b.loads[id] = l
		}
		l.ep, l.slots, l.engine = e, e.Slots, false
		if s := t.Service(e.Service); s != nil && s.Engine != nil {
			l.engine = true
			l.speed = b.speedOf(e.Service)
			if l.cache == nil {
				l.cache = newCache(s.Engine.Tokens)
				engines = append(engines, e)
			}
			if s.Engine.Slots > 0 {
				l.slots = s.Engine.Slots
			}
		}
		b.services[e.Service] = append(b.services[e.Service], l)
	}
	for _, ls := range b.services {
		sort.Slice(ls, func(i, j int) bool { return ls[i].ep.ID < ls[j].ep.ID })
	}
	return engines
}

func (b *Board) speedOf(service string) *speed {
	s := b.speeds[service]
	if s == nil {
		s = newSpeed()
		b.speeds[service] = s
	}
	return s
}

func (b *Board) drop(l *load) {
	for id := range l.runs {
		delete(b.runs, id)
	}
	delete(b.loads, l.ep.ID)
}

// Place chooses the endpoint for a request and enters its run; false tells that no endpoint can take it.
func (b *Board) Place(now time.Time, q Request) (Choice, bool) {
	if l := b.runs[q.Run]; l != nil {
		return l.choice(l.runs[q.Run]), true
	}
	best := b.best(now, &q)
	if best == nil {
		return Choice{}, false
	}
	return best.choice(b.enter(now, best, q)), true
}

func (l *load) choice(r *run) Choice {
	return Choice{
		ID: l.ep.ID, Addr: l.ep.Addr, Born: l.ep.Born, Zone: l.ep.Zone, Need: r.need, Expected: r.expected, Running: l.running(),
	}
}

func (b *Board) enter(now time.Time, l *load, q Request) *run {
	r := &run{q: q, need: l.need(&q), began: now, expected: l.expect(now, &q), alone: l.unread == 0}
	l.runs[q.Run] = r
	l.unread++
	b.runs[q.Run] = l
	if l.cache != nil {
		l.free = now.Add(l.backlog(now) + l.speed.reading(r.need))
		l.cache.touch(q.Parts)
	}
	return r
}

// backlog returns how long an engine likely still reads the prompts that it has.
func (l *load) backlog(now time.Time) time.Duration {
	return max(0, l.free.Sub(now))
}

// reread sets the backlog anew from the prompts that are not read yet.
func (l *load) reread(now time.Time) {
	if l.cache == nil {
		return
	}
	tokens := 0
	for _, r := range l.runs {
		if !r.first {
			tokens += r.need
		}
	}
	if at := now.Add(l.speed.reading(tokens)); at.Before(l.free) || l.unread == 0 {
		l.free = at
	}
}

// need returns the prompt tokens that an endpoint must likely read for a request.
func (l *load) need(q *Request) int {
	if l.cache == nil {
		return 0
	}
	return max(0, q.Input-l.cache.hit(q.Parts))
}

// expect returns the time to the first answer of a request at an endpoint that is as fast as it should be.
func (l *load) expect(now time.Time, q *Request) time.Duration {
	if !l.engine {
		waiting := max(0, l.running()-l.slots+1)
		return callDelay + callDelay*time.Duration(waiting)/time.Duration(max(1, l.slots))
	}
	return l.speed.base + l.backlog(now) + l.elsewhere.Backlog + l.speed.reading(l.need(q)) + time.Duration(l.running())*perRun
}

func (l *load) running() int {
	return len(l.runs) + l.elsewhere.Running
}

// cost returns what speaks against an endpoint, as a time.
func (l *load) cost(now time.Time, q *Request) time.Duration {
	c := time.Duration(float64(l.expect(now, q)) * l.slowness(now))
	if l.engine {
		c += others * l.speed.reading(l.need(q))
	}
	if !l.engine {
		c += time.Duration(l.running()) * callDelay / time.Duration(max(1, 4*l.slots))
	}
	if l.slots > 0 && l.running() >= l.slots {
		c += fullDelay
	}
	if l.ep.Zone != q.Zone {
		c += otherZone + time.Duration(q.Bytes+tokenBytes*q.Output)*zoneByte
	}
	return c + time.Duration((l.troubles(now)+float64(l.elsewhere.Trouble)/troubleUnit)*float64(troubleDelay))
}

// troubles returns the number of recent failures, each of which counts less as time passes.
func (l *load) troubles(now time.Time) float64 {
	return l.trouble * math.Exp2(-now.Sub(l.troubleAt).Seconds()/troubleHalf.Seconds())
}

func (l *load) addTrouble(now time.Time, n float64) {
	l.trouble = l.troubles(now) + n
	l.troubleAt = now
}

// slowness returns the factor by which an endpoint was slower than expected of late.
func (l *load) slowness(now time.Time) float64 {
	return 1 + (l.slow-1)*math.Exp2(-now.Sub(l.slowAt).Seconds()/slowHalf.Seconds())
}

// Take takes in what became of a run.
func (b *Board) Take(now time.Time, e Event) {
	if e.Start != nil {
		b.Cancel(now, e.Run)
		if l := b.loads[e.At]; l != nil {
			b.enter(now, l, *e.Start)
		}
	}
	l := b.runs[e.Run]
	if l == nil {
		b.unqueue(e.Run)
		return
	}
	r := l.runs[e.Run]
	if e.First > 0 {
		l.answered(now, r, e.First)
	}
	if e.End != 0 {
		b.end(now, l, r, e.End)
	}
}

// Cancel forgets a request that waits or a run that was never sent.
func (b *Board) Cancel(now time.Time, id string) {
	b.unqueue(id)
	l := b.runs[id]
	if l == nil {
		return
	}
	r := l.runs[id]
	delete(l.runs, id)
	delete(b.runs, id)
	if !r.first {
		l.unread--
		l.reread(now)
	}
}

// answered notes the first answer of a run.
func (l *load) answered(now time.Time, r *run, after time.Duration) {
	if r.first {
		return
	}
	r.first = true
	l.unread--
	l.reread(now)
	if r.alone && l.engine {
		l.speed.observe(r.need, after)
	}
	if r.expected > 0 {
		ratio := min(max(after.Seconds()/r.expected.Seconds(), 1), slowMost)
		l.slow = l.slowness(now)*(1-slowWeight) + ratio*slowWeight
		l.slowAt = now
	}
}

func (b *Board) end(now time.Time, l *load, r *run, o Outcome) {
	b.Cancel(now, r.q.Run)
	switch o {
	case Unreached, Misled:
		l.addTrouble(now, 4)
	case Broken, Silent:
		l.addTrouble(now, 2)
	case Failed:
		l.addTrouble(now, 0.5)
	case Declined:
		l.addTrouble(now, 1)
	}
}

// Tick forgets runs whose end was never told, and notes endpoints that are long over the expected time of a first answer.
func (b *Board) Tick(now time.Time) {
	b.queue = slices.DeleteFunc(b.queue, func(w waiting) bool { return now.Sub(w.arrived) > w.q.Left+w.q.Waited+overtime })
	for _, l := range b.loads {
		for _, r := range l.runs {
			age := now.Sub(r.began)
			if age > r.q.Left+overtime {
				b.end(now, l, r, Left)
				continue
			}
			if !r.first && !r.late && age > max(leastPatience, firstAnswer*r.expected) {
				r.late = true
				l.addTrouble(now, 1)
			}
		}
	}
}

// Cached enters what an engine says that it has in its prompt cache, the part used last at the end.
func (b *Board) Cached(id string, parts []Part) {
	l := b.loads[id]
	if l == nil || l.cache == nil {
		return
	}
	for _, p := range parts {
		l.cache.touch([]Part{p})
	}
}

// Heard notes that an endpoint was heard after its failures, so that a restarted one is used again.
func (b *Board) Heard(now time.Time, id string) {
	if l := b.loads[id]; l != nil {
		l.trouble, l.troubleAt = min(l.troubles(now), 1), now
	}
}

// Lost forgets the runs of an entry that has started anew.
func (b *Board) Lost(now time.Time, entry string) {
	for _, l := range b.loads {
		for _, r := range l.runs {
			if r.q.Entry == entry {
				b.end(now, l, r, Left)
			}
		}
	}
}
