package place

import "time"

const (
	// initialPrefillRate is the prefill rate in tokens per second that is assumed before there are enough samples.
	initialPrefillRate = 45_000
	// minPrefillRate and maxPrefillRate bound the estimated rate, in tokens per second.
	minPrefillRate = 5_000
	maxPrefillRate = 1_000_000
	// initialBaseDelay is the time to the first answer of an idle engine for an empty prompt, before there are enough samples.
	initialBaseDelay = 100 * time.Millisecond
	// maxBaseDelay bounds the estimated base delay.
	maxBaseDelay = time.Second
	// sampleDecay is the factor applied to the weight of past samples at each new one.
	sampleDecay = 0.98
	// minLatencyRatio is the lower bound of the mean ratio, so that a service that is faster than expected does not make an
	// ordinary endpoint look slow.
	minLatencyRatio = 0.5
	// minSampleWeight is the total weight of samples below which the estimates are not updated.
	minSampleWeight = 8
	// minTokenVariance is the variance of the prompt lengths, in tokens squared, below which the samples do not determine the rate.
	minTokenVariance = 1e6
)

// latencyModel estimates the time to the first answer of a service's engines from the number of tokens to prefill. It is a
// weighted linear regression over the answers of engines that had nothing else to prefill.
type latencyModel struct {
	// Weighted sums over the samples: x is the number of tokens, y the time to the first answer in seconds.
	weight, sumX, sumY, sumXX, sumXY float64
	baseDelay                        time.Duration
	// prefillRate is in tokens per second.
	prefillRate float64
	// meanRatio is the moving average of the ratio of measured to expected latency.
	meanRatio float64
}

func newLatencyModel() *latencyModel {
	return &latencyModel{baseDelay: initialBaseDelay, prefillRate: initialPrefillRate, meanRatio: 1}
}

// prefillTime returns the estimated time to prefill a number of tokens.
func (m *latencyModel) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / m.prefillRate * float64(time.Second))
}

// relativeLatency returns the ratio of measured to expected latency, relative to the service's usual ratio, and updates the
// latter.
func (m *latencyModel) relativeLatency(latency, expected time.Duration) float64 {
	ratio := min(latency.Seconds()/expected.Seconds(), maxSlowFactor)
	m.meanRatio += (ratio - m.meanRatio) * (1 - sampleDecay)
	return ratio / max(m.meanRatio, minLatencyRatio)
}

// observe adds a sample: the number of prefilled tokens and the time to the first answer.
func (m *latencyModel) observe(tokens int, latency time.Duration) {
	x, y := float64(tokens), latency.Seconds()
	m.weight, m.sumX, m.sumY = m.weight*sampleDecay+1, m.sumX*sampleDecay+x, m.sumY*sampleDecay+y
	m.sumXX, m.sumXY = m.sumXX*sampleDecay+x*x, m.sumXY*sampleDecay+x*y
	if m.weight < minSampleWeight {
		return
	}
	meanX, meanY := m.sumX/m.weight, m.sumY/m.weight
	variance := m.sumXX/m.weight - meanX*meanX
	if variance < minTokenVariance {
		return
	}
	slope := (m.sumXY/m.weight - meanX*meanY) / variance
	m.prefillRate = min(max(1/max(slope, 1/float64(maxPrefillRate)), minPrefillRate), maxPrefillRate)
	baseDelay := time.Duration((meanY - meanX/m.prefillRate) * float64(time.Second))
	m.baseDelay = min(max(baseDelay, 0), maxBaseDelay)
}
