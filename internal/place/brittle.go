package place

import (
	"errors"
	"math"
	"time"
)

const (
	// brittleShare is the part of a brittle endpoint's slots that is used, so that requests which are not known of find room: those of
	// callers that left, and those that another instance has just sent.
	brittleShare = 0.85
	// aloneBrittleShare is the part of it that entry instances use together which do not know of one another's requests, as these come
	// at random.
	aloneBrittleShare = 0.4
	// settleTime is how long a brittle endpoint gets only settleShare of its room after that has become known, as a new leader does
	// not know yet what runs there.
	settleTime  = 500 * time.Millisecond
	settleShare = 0.25
	// refusalWindow is the time in which refusals of a brittle endpoint are counted, refusalShare the part of those it bears that is
	// risked before it gets nothing for the rest of that time.
	refusalWindow = time.Second
	refusalShare  = 0.5
	// lingerTime is how long a request counts whose end the endpoint may not have noticed.
	lingerTime = time.Second
	// roomRegain is the time after the last refusal in which a brittle endpoint gets one place back.
	roomRegain = 2 * time.Second
	// fallFactor is the part of its room that each endpoint of a service still gets after a fall of one of them, fallMemory the time
	// after which that has ended, and minFallFactor its lowest value.
	fallFactor    = 0.7
	minFallFactor = 0.3
	fallMemory    = 30 * time.Second
	// fallSuspicion is the time after a refusal in which an endpoint that goes down has fallen. What is reported so long after a fall
	// belongs to it.
	fallSuspicion = 2 * time.Second
	// defaultServiceTime is the time that a request takes at an endpoint as long as none has ended.
	defaultServiceTime = 500 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the moving average of the service time.
	serviceTimeWeight = 0.1
)

type (
	// Brittle is what an endpoint says of how many requests it bears to turn away.
	Brittle struct {
		EndpointID string `json:"i"`
		// StartedAtMS is the start time of the endpoint in Unix milliseconds.
		StartedAtMS int64 `json:"b"`
		// Refusals is the number of requests that it can turn away in a second without falling over.
		Refusals int `json:"n,omitempty"`
		// Lifted means that the endpoint does not say that it is brittle.
		Lifted bool `json:"l,omitempty"`
		// SentAgo is the time since the request was sent whose answer told this, EndedAgo, in a report of the leader, the time since the
		// brittleness ended.
		SentAgo  time.Duration `json:"a,omitempty"`
		EndedAgo time.Duration `json:"e,omitempty"`
	}

	// brittleness is the state of an endpoint that is brittle. knownAt is when this became known, namedAt when the endpoint last said so,
	// and liftedAt when it no longer did, or zero.
	brittleness struct {
		refusals int
		knownAt  time.Time
		namedAt  time.Time
		liftedAt time.Time
		// room is the number of requests that the endpoint gets at the same time, as of roomAt; top is the most that it may become.
		room   float64
		roomAt time.Time
		top    float64
		// refusedAt holds the times of the refusals within refusalWindow.
		refusedAt []time.Time
		// suspectAt is the time of the last refusal of a request that was sent while the endpoint was known to be brittle, fellAt that of its
		// last fall.
		suspectAt, fellAt time.Time
		// lingering holds the times until which requests count that have ended here.
		lingering []time.Time
		// limiter spaces out the requests of an entry instance that chooses alone and whose part of the room is less than one.
		limiter limiter
	}

	// fallRecord is what is remembered of the falls of a service's endpoints.
	fallRecord struct {
		factor float64
		at     time.Time
	}
)

// Check returns an error if the message is invalid.
func (m *Brittle) Check() error {
	if m.EndpointID == "" || m.Refusals < 0 || m.SentAgo < 0 || m.EndedAgo < 0 {
		return errors.New("brittle: endpoint is missing, or a number is negative")
	}
	return nil
}

// newBrittleness returns the state of an endpoint with a number of slots that says it is brittle.
func newBrittleness(now time.Time, slots, refusals int) *brittleness {
	top := max(1, math.Floor(float64(max(1, slots))*brittleShare))
	return &brittleness{refusals: refusals, knownAt: now, namedAt: now, room: top, roomAt: now, top: top}
}

// regained returns the room with what it has got back since it was last reduced.
func (br *brittleness) regained(now time.Time) float64 {
	return min(br.top, br.room+now.Sub(br.roomAt).Seconds()/roomRegain.Seconds())
}

// roomNow returns the number of requests that the endpoint gets at the same time, or 0 if its brittleness has long ended.
func (br *brittleness) roomNow(now time.Time) float64 {
	room := br.regained(now)
	if now.Sub(br.knownAt) < settleTime {
		room *= settleShare
	}
	if br.liftedAt.IsZero() {
		return room
	}
	elapsed := now.Sub(br.liftedAt)
	if elapsed >= rampTime {
		return 0
	}
	return room * math.Exp2(elapsed.Seconds()/rampDoubling.Seconds())
}

// refused records that the endpoint turned away a request that was sent at a time, while it had a number of others. Requests that were
// sent before the room was last reduced reduce it no further.
func (br *brittleness) refused(now, sentAt time.Time, running int) {
	br.prune(now)
	br.refusedAt = append(br.refusedAt, now)
	if !sentAt.Before(br.knownAt) {
		br.suspectAt = now
	}
	if sentAt.After(br.roomAt) {
		br.room, br.roomAt = max(1, min(br.regained(now), float64(running))-1), now
	}
}

// prune forgets refusals and ended requests that no longer count.
func (br *brittleness) prune(now time.Time) {
	for len(br.refusedAt) > 0 && now.Sub(br.refusedAt[0]) > refusalWindow {
		br.refusedAt = br.refusedAt[1:]
	}
	for len(br.lingering) > 0 && !now.Before(br.lingering[0]) {
		br.lingering = br.lingering[1:]
	}
}

// refusalWait returns the time until a refusal may be risked, or 0.
func (br *brittleness) refusalWait(now time.Time) time.Duration {
	risked := max(1, int(float64(br.refusals)*refusalShare))
	if len(br.refusedAt) < risked {
		return 0
	}
	return max(0, br.refusedAt[len(br.refusedAt)-risked].Add(refusalWindow).Sub(now))
}

// brittleWait returns the time until a brittle endpoint takes another request, or 0.
func (b *Balancer) brittleWait(now time.Time, ep *endpoint) time.Duration {
	br := ep.brittle
	if br == nil {
		return 0
	}
	room := br.roomNow(now) * b.fallFactor(now, ep.info.Service)
	if room == 0 {
		ep.brittle = nil
		return 0
	}
	br.prune(now)
	if wait := br.refusalWait(now); wait > 0 {
		return wait
	}
	room = max(1, room)
	turnover := b.serviceTime(ep.info.Service)
	if b.instances <= 1 {
		return placeWait(ep.running()+len(br.lingering), room, turnover)
	}
	share := room * aloneBrittleShare / float64(b.instances)
	if share >= 1 {
		return placeWait(len(ep.attempts)+len(br.lingering), share, turnover)
	}
	return b.spacedWait(now, ep, time.Duration(float64(turnover)/share))
}

// placeWait returns the time until one of room places is expected to be free, each of which is used for turnover, or 0 if one is.
func placeWait(used int, room float64, turnover time.Duration) time.Duration {
	if float64(used) < math.Floor(room) {
		return 0
	}
	return time.Duration(float64(turnover) / room)
}

// spacedWait returns the time until this entry instance, which chooses alone and has less than one place, may send the next request to
// a brittle endpoint, or 0. Its requests are at least period apart; after a refusal, so far that the refusals of all instances together
// stay within what the endpoint bears.
func (b *Balancer) spacedWait(now time.Time, ep *endpoint, period time.Duration) time.Duration {
	br := ep.brittle
	if len(br.refusedAt) > 0 {
		period = max(period, refusalWindow*time.Duration(b.instances)/time.Duration(max(1, br.refusals)))
	}
	if br.limiter.period == 0 {
		br.limiter = newLimiter(now, period, b.slotPart(ep))
	}
	br.limiter.setPeriod(now, period)
	return br.limiter.wait(now)
}

// waitOf returns the time until an endpoint takes another request, for its limit and its brittleness, or 0.
func (b *Balancer) waitOf(now time.Time, ep *endpoint) time.Duration {
	return max(b.limitWait(now, ep), b.brittleWait(now, ep))
}

// RecordBrittle records what an endpoint said of its brittleness, and reports whether that is news. As with limits, it ends only by an
// answer to a request that was sent after it was last named.
func (b *Balancer) RecordBrittle(now time.Time, told Brittle) bool {
	ep := b.endpoints[told.EndpointID]
	if ep == nil || ep.info.StartedAtMS != told.StartedAtMS || told.Check() != nil {
		return false
	}
	known := ep.brittle
	switch {
	case told.Lifted && (known == nil || !known.liftedAt.IsZero() || !now.Add(-told.SentAgo-liftMargin).After(known.namedAt)):
		return false
	case told.Lifted:
		known.liftedAt = now
		return true
	case known == nil:
		ep.brittle = newBrittleness(now, ep.slots, told.Refusals)
		return true
	}
	news := known.refusals != told.Refusals || !known.liftedAt.IsZero()
	known.refusals, known.namedAt, known.liftedAt = told.Refusals, now, time.Time{}
	return news
}

// Brittles returns the brittleness that is in force or has just ended, of the endpoints of one service, or of all if service is empty.
func (b *Balancer) Brittles(now time.Time, service string) (told []Brittle) {
	for id, ep := range b.endpoints {
		if ep.brittle == nil || service != "" && ep.info.Service != service || ep.brittle.roomNow(now) == 0 {
			continue
		}
		m := Brittle{EndpointID: id, StartedAtMS: ep.info.StartedAtMS, Refusals: ep.brittle.refusals}
		if !ep.brittle.liftedAt.IsZero() {
			m.Lifted, m.EndedAgo = true, now.Sub(ep.brittle.liftedAt)
		}
		told = append(told, m)
	}
	return told
}

// setBrittles takes over what the leader knows of the endpoints of a service. What it does not report is kept for limitLife if an
// endpoint has said it here.
func (b *Balancer) setBrittles(now time.Time, service string, told []Brittle) {
	reported := map[string]Brittle{}
	for _, m := range told {
		reported[m.EndpointID] = m
	}
	for _, ep := range b.byService[service] {
		m, ok := reported[ep.info.ID]
		ok = ok && m.StartedAtMS == ep.info.StartedAtMS
		switch known := ep.brittle; {
		case ok && !m.Lifted && known == nil:
			b.RecordBrittle(now, m)
		case ok && !m.Lifted:
			known.refusals, known.liftedAt = m.Refusals, time.Time{}
		case known == nil || now.Sub(known.namedAt) <= limitLife:
		case ok && known.liftedAt.IsZero():
			known.liftedAt = now.Add(-m.EndedAgo)
		case !ok:
			ep.brittle = nil
		}
	}
}

// inheritBrittleness makes a new endpoint as brittle as others of its service are, until it says otherwise.
func (b *Balancer) inheritBrittleness(ep *endpoint) {
	for _, other := range b.byService[ep.info.Service] {
		if br := other.brittle; br != nil && br.liftedAt.IsZero() {
			ep.brittle = newBrittleness(time.Time{}, ep.slots, br.refusals)
			return
		}
	}
}

// recordBrittleEnd records how an attempt at a brittle endpoint ended.
func (b *Balancer) recordBrittleEnd(now time.Time, ep *endpoint, a *attempt, outcome Outcome) {
	br := ep.brittle
	if br == nil {
		return
	}
	switch outcome {
	case Declined:
		br.refused(now, a.startedAt, ep.running())
	case CallerLeft, TimedOut:
		br.prune(now)
		br.lingering = append(br.lingering, now.Add(lingerTime))
	case ConnectionLost, ConnectFailed:
		// All entry instances report the connections that they have lost by one fall.
		if now.Sub(br.suspectAt) <= fallSuspicion && now.Sub(br.fellAt) > fallSuspicion {
			br.fellAt = now
			b.falls[ep.info.Service] = fallRecord{max(minFallFactor, b.fallFactor(now, ep.info.Service)*fallFactor), now}
		}
	}
}

// fallFactor returns the part of their room that brittle endpoints of a service get, as some have fallen.
func (b *Balancer) fallFactor(now time.Time, service string) float64 {
	fall, ok := b.falls[service]
	if !ok || now.Sub(fall.at) >= fallMemory {
		return 1
	}
	return fall.factor + (1-fall.factor)*now.Sub(fall.at).Seconds()/fallMemory.Seconds()
}

// serviceTime returns the mean time that requests of a service take at an endpoint.
func (b *Balancer) serviceTime(service string) time.Duration {
	if mean, ok := b.serviceTimes[service]; ok {
		return mean
	}
	return defaultServiceTime
}

// recordServiceTime adds the time that a request took.
func (b *Balancer) recordServiceTime(service string, took time.Duration) {
	mean, ok := b.serviceTimes[service]
	if !ok {
		mean = took
	}
	b.serviceTimes[service] = max(time.Millisecond, mean+time.Duration(serviceTimeWeight*float64(took-mean)))
}

// BrittleEndpoints returns the number of endpoints that say that they are brittle.
func (b *Balancer) BrittleEndpoints() (n int) {
	for _, ep := range b.endpoints {
		if ep.brittle != nil && ep.brittle.liftedAt.IsZero() {
			n++
		}
	}
	return n
}
