package place

import (
	"math"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewheel/greengagewheel/internal/roster"
	"github.com/greengagewheel/greengagewheel/pkg/table"
)

const (
	// others and moving weigh what reading a token, and fetching it from another engine, cost others and the operator against
	// the request's own time, as times of reading it.
	others = 9
	moving = 5.0
	// moveToken is the time that fetching a token takes, and leastMove the number of tokens below which none are fetched.
	moveToken = 2 * time.Microsecond
	leastMove = 64
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
		moved    int
		source   netip.AddrPort
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
		// reading is the run whose prompt an engine likely reads now, since a moment; an engine reads one after the other.
		reading *run
		since   time.Time
		// unread is the sum of the prompt tokens that are still to be read.
		unread int
		speed  *speed
		cache  *cache
		// known tells that the cache is what the engine said and this board has entered since; hash names the engine in choices of a
		// home.
		known     bool
		hash      uint64
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
		demands  map[string]*demand
		spare    float64
	}
)

// New returns a board without endpoints.
func New() *Board {
	return &Board{loads: map[string]*load{}, services: map[string][]*load{}, runs: map[string]*load{}, speeds: map[string]*speed{}, demands: map[string]*demand{}, spare: apartSpare}
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
			l = &load{runs: map[string]*run{}, slow: 1, hash: xxhash.Sum64String(id)}
			b.loads[id] = l
		}
		l.ep, l.slots, l.engine, l.speed = e, e.Slots, false, b.speedOf(e.Service)
		if s := t.Service(e.Service); s != nil && s.Engine != nil {
			l.engine = true
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

func (b *Board) demandOf(service string) *demand {
	d := b.demands[service]
	if d == nil {
		d = &demand{}
		b.demands[service] = d
	}
	return d
}

func (b *Board) drop(l *load) {
	for id := range l.runs {
		delete(b.runs, id)
	}
	delete(b.loads, l.ep.ID)
}

// Place chooses the endpoint for a request and enters its run; false tells that no endpoint can take it.
func (b *Board) Place(now time.Time, q Request) (Choice, bool) {
	usable := b.usable(&q)
	if l := b.runs[q.Run]; l != nil {
		return l.choice(l.runs[q.Run], usable-1), true
	}
	p := b.prompt(&q)
	best := b.best(now, &q, p)
	if best == nil {
		return Choice{}, false
	}
	return best.choice(b.enter(now, best, q, p), usable-1), true
}

// usable returns the number of endpoints that could take a request.
func (b *Board) usable(q *Request) (n int) {
	for _, l := range b.services[q.Service] {
		if l.takes(q) {
			n++
		}
	}
	return n
}

// takes reports whether an endpoint may be chosen for a request.
func (l *load) takes(q *Request) bool {
	return l.ep.State == roster.Ready && !slices.Contains(q.Avoid, l.ep.ID)
}

// best returns the endpoint that suits a request best, or nil.
func (b *Board) best(now time.Time, q *Request, p prompt) *load {
	var best *load
	var bestCost time.Duration
	apart := b.demandOf(q.Service).apart(len(b.services[q.Service]), b.spare)
	for i, l := range b.services[q.Service] {
		if !l.takes(q) {
			continue
		}
		cost := b.cost(now, l, q, p, i < apart)
		if best == nil || cost < bestCost {
			best, bestCost = l, cost
		}
	}
	return best
}

func (l *load) choice(r *run, others int) Choice {
	return Choice{
		ID: l.ep.ID, Addr: l.ep.Addr, Born: l.ep.Born, Zone: l.ep.Zone, Need: r.need, Moved: r.moved, Source: r.source,
		Expected: r.expected, Running: l.running(), Others: max(0, others),
	}
}

func (b *Board) enter(now time.Time, l *load, q Request, p prompt) *run {
	need, moved, source := l.work(&q, p)
	r := &run{q: q, need: need, moved: moved, began: now, expected: l.expect(now, need, moved), alone: l.reading == nil}
	if source != nil {
		r.source = source.ep.Addr
	}
	l.runs[q.Run] = r
	l.unread += need
	b.runs[q.Run] = l
	if l.cache != nil {
		l.cache.touch(q.Parts)
	}
	if l.engine {
		b.demandOf(q.Service).add(now, l.speed.reading(need))
		if l.reading == nil {
			l.reading, l.since = r, now
		}
	}
	return r
}

// backlog returns how long an engine likely reads the prompts that it has.
func (l *load) backlog(now time.Time) time.Duration {
	if l.reading == nil {
		return 0
	}
	return max(0, l.speed.reading(l.reading.need)-now.Sub(l.since)) + l.speed.reading(l.unread-l.reading.need)
}

// readOn takes the next prompt for the one that is read since a moment.
func (l *load) readOn(since time.Time) {
	l.reading, l.since = nil, since
	for _, r := range l.runs {
		if !r.first && (l.reading == nil || r.before(l.reading)) {
			l.reading = r
		}
	}
}

// before reports whether a run's prompt is read before another one's.
func (r *run) before(o *run) bool {
	if !r.began.Equal(o.began) {
		return r.began.Before(o.began)
	}
	return r.q.Run < o.q.Run
}

// expect returns the time to the first answer of a request at an endpoint that is as fast as it should be.
func (l *load) expect(now time.Time, need, moved int) time.Duration {
	if !l.engine {
		waiting := max(0, l.running()-l.slots+1)
		return callDelay + callDelay*time.Duration(waiting)/time.Duration(max(1, l.slots))
	}
	return l.speed.base + l.backlog(now) + l.elsewhere.Backlog + l.speed.reading(need) + time.Duration(moved)*moveToken + time.Duration(l.running())*perRun
}

func (l *load) running() int {
	return len(l.runs) + l.elsewhere.Running
}

// cost returns what speaks against an endpoint, as a time; apart tells that it is kept for short prompts.
func (b *Board) cost(now time.Time, l *load, q *Request, p prompt, apart bool) time.Duration {
	need, moved, _ := l.work(q, p)
	c := time.Duration(float64(l.expect(now, need, moved)) * l.slowness(now))
	if l.engine {
		if apart && l.speed.reading(need) > shortRead {
			c += apartDelay
		}
		c += others*l.speed.reading(need) + time.Duration(moving*float64(l.speed.reading(moved)))
		if p.home == l && p.held < p.shared {
			c -= time.Duration(homeGain * float64(l.speed.reading(p.shared)))
		}
	} else {
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
		b.Cancel(e.Run)
		if l := b.loads[e.At]; l != nil {
			b.enter(now, l, *e.Start, b.prompt(e.Start))
		}
	}
	l := b.runs[e.Run]
	if l == nil {
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

// Cancel forgets a run that was never sent.
func (b *Board) Cancel(id string) {
	l := b.runs[id]
	if l == nil {
		return
	}
	r := l.runs[id]
	delete(l.runs, id)
	delete(b.runs, id)
	if !r.first {
		l.unread -= r.need
	}
	if r == l.reading {
		l.readOn(l.since)
	}
}

// answered notes the first answer of a run.
func (l *load) answered(now time.Time, r *run, after time.Duration) {
	if r.first {
		return
	}
	r.first = true
	l.unread -= r.need
	if l.engine {
		// Its prompt was read a base time ago.
		l.readOn(now.Add(-l.speed.base))
		if r.alone {
			l.speed.observe(r.need, after)
		}
	}
	if r.expected > 0 {
		ratio := min(max(l.speed.relative(after, r.expected), 1), slowMost)
		l.slow = l.slowness(now)*(1-slowWeight) + ratio*slowWeight
		l.slowAt = now
	}
}

func (b *Board) end(now time.Time, l *load, r *run, o Outcome) {
	b.Cancel(r.q.Run)
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
	l.known = true
	for _, p := range parts {
		l.cache.touch([]Part{p})
	}
}

// Knows reports whether a run is under way.
func (b *Board) Knows(run string) bool {
	return b.runs[run] != nil
}

// Heard notes that an endpoint was heard at a time, so that one that has failed before is used again.
func (b *Board) Heard(now, at time.Time, id string) {
	if l := b.loads[id]; l != nil && at.After(l.troubleAt) {
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
