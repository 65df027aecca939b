package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// silentEngines engines are played, of which a third is silent at a time, for silentFor in each silencePeriod.
	silentEngines = 9
	silentFor     = 1200 * time.Millisecond
	silencePeriod = 6 * time.Second
	// silenceStart is the time before the first silence.
	silenceStart = 6 * time.Second
	// silences is the number of silences.
	silences = 6
)

// silencePlay is a load of prompts on engines of which a third goes silent in turns. What a silent engine has to send comes at the end of
// its silence.
type silencePlay struct {
	balancer *Balancer
	// slow is the factor by which the answers of engine e0 take longer in the whole play, or 0.
	slow float64
	// chosenAfter counts, for the engines that were silent, the requests placed in the second after each silence, and fairShare
	// how many they would be with an equal share.
	chosenAfter, fairShare float64
	// chosen counts all requests by engine.
	chosen map[string]int
	// maxBaseDelay is the highest estimate of the base delay a second after a silence or later, before the next.
	maxBaseDelay time.Duration
}

// silentUntil returns when the silence of an engine at a time ends, or 0 if it is not silent then.
func silentUntil(engine int, at time.Duration) time.Duration {
	if at < silenceStart {
		return 0
	}
	n := int((at - silenceStart) / silencePeriod)
	end := silenceStart + time.Duration(n)*silencePeriod + silentFor
	if n < silences && engine%3 == n%3 && at < end {
		return end
	}
	return 0
}

// sinceSilence returns the time since the end of the silence of the current period, and its number. It is negative before that end.
func sinceSilence(at time.Duration) (time.Duration, int) {
	n := int((at - silenceStart) / silencePeriod)
	if at < silenceStart || n >= silences {
		return -1, 0
	}
	return at - silenceStart - time.Duration(n)*silencePeriod - silentFor, n
}

// run plays requests at a rate per second until the end of the last silence, with silences or without.
func (p *silencePlay) run(rate float64, silent bool) {
	p.balancer, p.chosen = New(), map[string]int{}
	eps, index := newEndpoints(silentEngines)
	reportEmptyCaches(p.balancer, p.balancer.Sync(eps, index))
	s := &simulation{balancer: p.balancer}
	busyUntil := make([]time.Duration, silentEngines)
	random := rand.New(rand.NewPCG(5, 5))
	end, n := silenceStart+silences*silencePeriod, 0
	for at := time.Duration(0); at < end; n++ {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		id, tokens := fmt.Sprint(n), 300+random.IntN(2700)
		s.schedule(at, func(at time.Duration, now time.Time) {
			choice, _ := p.balancer.Place(now, Request{
				AttemptID: id, Service: "s", Zone: "a", InputTokens: tokens, LatencyTarget: shortTarget, TimeLeft: 12 * time.Second,
			})
			var engine int
			_, _ = fmt.Sscanf(choice.ID, "e%d", &engine)
			p.chosen[choice.ID]++
			if since, round := sinceSilence(at); silent && since >= 0 && since < time.Second {
				p.fairShare += 1.0 / 3
				if engine%3 == round%3 {
					p.chosenAfter++
				}
			} else if since >= time.Second {
				p.maxBaseDelay = max(p.maxBaseDelay, p.balancer.endpoints["e0"].latency.baseDelay)
			}
			busyUntil[engine] = max(at, busyUntil[engine]) + time.Duration(float64(tokens)/simPrefillRate*float64(time.Second))
			answer := busyUntil[engine] + simBaseDelay
			if engine == 0 && p.slow > 0 {
				answer = at + time.Duration(float64(answer-at)*p.slow)
			}
			if silent {
				answer = max(answer, silentUntil(engine, answer))
			}
			s.schedule(answer, func(_ time.Duration, now time.Time) {
				p.balancer.Apply(now, Event{AttemptID: id, FirstAnswer: answer - at})
			})
			over := answer + 500*time.Millisecond
			if silent {
				over = max(over, silentUntil(engine, over))
			}
			s.schedule(over, func(_ time.Duration, now time.Time) {
				p.balancer.Apply(now, Event{AttemptID: id, Outcome: Completed})
			})
		})
	}
	for at := time.Duration(0); at < end; at += 100 * time.Millisecond {
		s.schedule(at, func(_ time.Duration, now time.Time) { p.balancer.Tick(now) })
	}
	s.run()
}

// TestSilentEngineIsAvoidedForLong guards against engines that get less than their share long after they were silent for a second, as
// their answers then were taken for slow.
func TestSilentEngineIsAvoidedForLong(t *testing.T) {
	for _, rate := range []float64{15, 40, 80} {
		Convey(fmt.Sprint("engines get their share in the second after they were silent, at requests a second of ", rate), t, func() {
			p := &silencePlay{}
			p.run(rate, true)
			t.Logf("rate %v: %v of %.0f, base delay at most %v", rate, p.chosenAfter, p.fairShare, p.maxBaseDelay)
			So(p.chosenAfter, ShouldBeGreaterThanOrEqualTo, 0.8*p.fairShare)
			So(p.maxBaseDelay, ShouldBeLessThan, simBaseDelay*3/2)
		})
		Convey(fmt.Sprint("an engine that is slow all the time gets little, at requests a second of ", rate), t, func() {
			p := &silencePlay{slow: 8}
			p.run(rate, false)
			total := 0
			for _, n := range p.chosen {
				total += n
			}
			fair := total / silentEngines
			t.Logf("rate %v: %d of %d", rate, p.chosen["e0"], fair)
			So(p.chosen["e0"], ShouldBeLessThan, fair/3)
		})
	}
}
