package place

import (
	"math"
	"time"
)

const (
	// speedSampleDecay is the factor applied to the weight of an engine's earlier samples at each new one: some 20 samples count.
	speedSampleDecay = 0.95
	// minSpeedWeight is the total weight of samples below which an engine counts as running at the mean speed of its service.
	minSpeedWeight = 8
	// toldSpeedWeight is the weight of a speed that was learned by an earlier leader. A few samples that contradict it outweigh it.
	toldSpeedWeight = 10
	// speedSampleSpacing is the minimum time between two samples of an engine, as noise lasts for some hundred milliseconds: closer samples
	// would be disturbed alike.
	speedSampleSpacing = 700 * time.Millisecond
	// minSamplePrefill is the prefill time below which an answer is no sample, and minSampleRatio the same in multiples of the base delay.
	// Short prompts may be all that a reserved engine gets, and an error of the base delay would count as its speed.
	minSamplePrefill = 20 * time.Millisecond
	minSampleRatio   = 1.5
	// minQueuedRatio is the same for a prompt that waited. Its time is the difference of two answers, which holds the differences of both
	// base delays.
	minQueuedRatio = 3
	// minModelWeight is the total weight of the service's samples below which expected times are those assumed at the start.
	minModelWeight = 20
	// minSpeedEngines is the number of engines below which there is no mean to compare them with.
	minSpeedEngines = 3
	// minSpeedDifference is the difference from the mean, as a logarithm, below which an engine runs at the mean speed: balancing by
	// load makes up for smaller ones.
	minSpeedDifference = 0.12
	// An engine counts as different once it differs from the mean by more than speedOnErrors standard errors, until it differs by less
	// than speedOffErrors. With 140 engines that give a sample a second each, four standard errors are seldom exceeded by chance.
	speedOnErrors  = 4.5
	speedOffErrors = 2
	// maxSpeedFactor bounds the factor of an engine, and 1/maxSpeedFactor. An engine that is slower is out of order, which slowness tells.
	maxSpeedFactor = 3
	// speedVarianceDecay is the weight of a new sample in the variance of a service's samples, and initialSpeedVariance the variance before
	// the first one. Samples of an engine count from a weight of minVarianceWeight on.
	speedVarianceDecay   = 0.02
	minVarianceWeight    = 3
	initialSpeedVariance = 0.05
	// speedKeptFor is the time without samples after which what is known of an engine fades, with a half-life of speedHalfLife. An engine
	// wrongly taken for slow gets few requests, which could not show its speed.
	speedKeptFor  = 20 * time.Second
	speedHalfLife = 20 * time.Second
	// percent is the fixed-point scale of Speed.Percent: the value of an engine at the mean speed.
	percent = 100
)

type (
	// Speed tells how long an engine takes for its work, in percent of the mean of its service.
	Speed struct {
		EndpointID string `json:"i"`
		Percent    int    `json:"p"`
	}

	// serviceSpeed is what the engines of a service have in common.
	serviceSpeed struct {
		// variance is the moving average of the samples' variance around the mean of their engine.
		variance float64
		// sum, squares and count are of the means of the engines with enough samples.
		sum, squares float64
		count        int
		// different is the number of engines that differ from the mean by more than the noise. While there is one, all speeds take effect.
		different int
	}

	// speed estimates the time that an engine takes for its work, relative to its service, from the times to first answer of prompts that
	// it began at once, and for those that waited from the time since the answer before. It is separate from load, which delays requests
	// that wait, and from slowness, which tells of seconds. Samples are logarithms of the ratio of measured to expected time; of two in a
	// row the lower one counts, as a silence or a span of noise seldom covers both.
	speed struct {
		service      *serviceSpeed
		mean, weight float64
		// newest is the last sample, of sampledAt, and at is the time of the last answer.
		newest        float64
		sampledAt, at time.Time
		// answeredAt is the moment of the last first answer, and overtaken is set if its prompt was prefilled before an earlier one.
		answeredAt time.Time
		overtaken  bool
		// counted is set while mean is part of service.sum.
		counted bool
		// differs is set while the engine is part of service.different.
		differs bool
		// factor is the factor on expected times that is in effect, 1 at the mean speed.
		factor float64
	}
)

func newServiceSpeed() *serviceSpeed {
	return &serviceSpeed{variance: initialSpeedVariance}
}

func newSpeed(service *serviceSpeed) speed {
	return speed{service: service, factor: 1}
}

// add adds a sample: the measured time and that of an engine at the mean speed.
func (s *speed) add(now time.Time, measured, expected time.Duration) {
	if measured <= 0 || expected <= 0 || !s.sampledAt.IsZero() && now.Sub(s.sampledAt) < speedSampleSpacing {
		return
	}
	first := s.sampledAt.IsZero()
	sample := math.Log(boundedFactor(measured.Seconds() / expected.Seconds()))
	lower := min(sample, s.newest)
	s.newest, s.sampledAt = sample, now
	if first {
		return
	}
	s.uncount()
	if s.weight >= minVarianceWeight {
		deviation := lower - s.mean
		s.service.variance += (deviation*deviation - s.service.variance) * speedVarianceDecay
	}
	s.weight = s.weight*speedSampleDecay + 1
	s.mean += (lower - s.mean) / s.weight
	s.update()
}

// learn takes over the factor that the leader learned, unless there are own samples.
func (s *speed) learn(now time.Time, factor float64) {
	if !s.sampledAt.IsZero() || factor <= 0 {
		return
	}
	s.uncount()
	s.factor = boundedFactor(factor)
	s.mean, s.weight, s.at = math.Log(s.factor), toldSpeedWeight, now
	s.count()
	s.setDiffers(math.Abs(s.mean) >= minSpeedDifference)
}

// fade lets what is known of the engine fade if nothing was heard of it for long; elapsed is the time since the last call.
func (s *speed) fade(now time.Time, elapsed time.Duration) {
	if s.weight == 0 || now.Sub(s.at) < speedKeptFor {
		return
	}
	s.uncount()
	keep := math.Exp2(-elapsed.Seconds() / speedHalfLife.Seconds())
	s.mean = s.service.mean() + (s.mean-s.service.mean())*keep
	if s.factor = math.Pow(s.factor, keep); math.Abs(math.Log(s.factor)) < minSpeedDifference/2 {
		s.factor = 1
	}
	if s.weight *= keep; s.weight < 1 {
		s.setDiffers(false)
		*s = newSpeed(s.service)
		return
	}
	if s.weight >= minSpeedWeight {
		s.count()
	}
}

// update counts the mean of the engine and decides whether and how far its speed takes effect.
func (s *speed) update() {
	if s.weight < minSpeedWeight {
		return
	}
	s.count()
	difference, noise := s.mean-s.service.mean(), s.service.variance/s.effectiveSamples()
	switch distance := math.Abs(difference); {
	case s.service.count < minSpeedEngines || distance < minSpeedDifference/2 || distance < speedOffErrors*math.Sqrt(noise):
		s.setDiffers(false)
	case distance > minSpeedDifference && distance > speedOnErrors*math.Sqrt(noise):
		s.setDiffers(true)
	}
	if s.service.different == 0 {
		s.factor = 1
		return
	}
	// The less the engines differ beside the noise, the closer to the mean an engine is taken to be.
	spread := max(0, s.service.spread()-noise)
	s.factor = boundedFactor(math.Exp(difference * spread / (spread + noise)))
}

func (s *speed) setDiffers(differs bool) {
	switch {
	case differs && !s.differs:
		s.service.different++
	case !differs && s.differs:
		s.service.different--
	}
	s.differs = differs
}

// effectiveSamples returns the number of samples of equal weight with the same standard error. Each sample belongs to two pairs, so that
// neighbouring values are not independent; half of the number is reckoned with.
func (s *speed) effectiveSamples() float64 {
	return s.weight * (1 + speedSampleDecay) / (2 - s.weight*(1-speedSampleDecay)) / 2
}

func (s *speed) count() {
	if !s.counted {
		s.counted = true
		s.service.sum += s.mean
		s.service.squares += s.mean * s.mean
		s.service.count++
	}
}

// uncount must be called before the mean changes.
func (s *speed) uncount() {
	if s.counted {
		s.counted = false
		s.service.sum -= s.mean
		s.service.squares -= s.mean * s.mean
		s.service.count--
	}
}

// remove takes the engine out of the sums of its service.
func (s *speed) remove() {
	s.uncount()
	s.setDiffers(false)
}

func (s *serviceSpeed) mean() float64 {
	if s.count == 0 {
		return 0
	}
	return s.sum / float64(s.count)
}

// spread returns the variance of the engines' means.
func (s *serviceSpeed) spread() float64 {
	mean := s.mean()
	return max(0, s.squares/float64(max(1, s.count))-mean*mean)
}

func boundedFactor(factor float64) float64 {
	return min(max(factor, 1.0/maxSpeedFactor), maxSpeedFactor)
}

// scaled returns a time that an engine at the mean speed takes, as it is at this engine.
func (s *speed) scaled(d time.Duration) time.Duration {
	if s.factor == 1 {
		return d
	}
	return time.Duration(float64(d) * s.factor)
}

// nominal returns the time that an engine at the mean speed takes for what this engine took a time for.
func (s *speed) nominal(d time.Duration) time.Duration {
	if s.factor == 1 {
		return d
	}
	return time.Duration(float64(d) / s.factor)
}

// speedPercent returns the factor in effect in percent, or 0 if it is not known.
func (s *speed) speedPercent() int {
	if s.weight < minSpeedWeight {
		return 0
	}
	return int(math.Round(s.factor * percent))
}

func (b *Balancer) speedOf(service string) *serviceSpeed {
	speed := b.speeds[service]
	if speed == nil {
		speed = newServiceSpeed()
		b.speeds[service] = speed
	}
	return speed
}

// addSpeedSample adds a sample for an engine from the first answer of an attempt, the latency after its start; inOrder is set if the
// engine was assumed to prefill its prompt. An instance that knows only its own requests of several adds none, as the engine may have
// had others.
func (b *Balancer) addSpeedSample(now time.Time, ep *endpoint, a *attempt, latency time.Duration, inOrder bool) {
	s, answeredAt, before, overtaken := &ep.speed, a.startedAt.Add(latency), ep.speed.answeredAt, ep.speed.overtaken
	s.at, s.overtaken = now, !inOrder
	if answeredAt.After(before) {
		s.answeredAt = answeredAt
	}
	prefill, fetch := ep.latency.prefillTime(a.prefillTokens), time.Duration(a.fetchTokens)*fetchTimePerToken
	if b.instances > 1 || b.ignoreSpeeds || !inOrder || overtaken || fetch > 0 ||
		prefill < minSamplePrefill || ep.latency.weight < minModelWeight {
		return
	}
	switch ratio := prefill.Seconds() / max(ep.latency.baseDelay.Seconds(), minSamplePrefill.Seconds()/minQueuedRatio); {
	case a.engineWasIdle && ratio >= minSampleRatio:
		s.add(now, latency, ep.latency.baseDelay+prefill)
	case !a.engineWasIdle && ratio >= minQueuedRatio && a.startedAt.Before(before.Add(-ep.latency.baseDelay)):
		s.add(now, answeredAt.Sub(before), prefill)
	}
}

// fadeSpeeds is called periodically.
func (b *Balancer) fadeSpeeds(now time.Time) {
	elapsed := now.Sub(b.fadedAt)
	if !b.fadedAt.IsZero() {
		for _, ep := range b.endpoints {
			ep.speed.fade(now, elapsed)
		}
	}
	b.fadedAt = now
}

// RecordSpeed records the speed of an engine that an earlier leader learned.
func (b *Balancer) RecordSpeed(now time.Time, told Speed) {
	if ep := b.endpoints[told.EndpointID]; ep != nil && ep.isEngine && !b.ignoreSpeeds {
		ep.speed.learn(now, float64(told.Percent)/percent)
	}
}

// Speeds returns the known speeds of all engines of services with engines that differ.
func (b *Balancer) Speeds() (speeds []Speed) {
	for service := range b.byService {
		speeds = append(speeds, b.speedsOf(service)...)
	}
	return speeds
}

// speedsOf returns the known speeds of a service's engines, or none if all run at the mean speed.
func (b *Balancer) speedsOf(service string) (speeds []Speed) {
	differ := false
	for _, ep := range b.byService[service] {
		if p := ep.speed.speedPercent(); p > 0 {
			speeds = append(speeds, Speed{ep.info.ID, p})
			differ = differ || p != percent
		}
	}
	if !differ {
		return nil
	}
	return speeds
}
