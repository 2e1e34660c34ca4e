package balancer

import (
	"math"
	"time"
)

// statisticsSpan is the time constant of the decay of answers. With a longer span, a recovered replica keeps its low
// weight for longer. With a shorter span, a broker with few requests has too few answers to find an outlier.
const statisticsSpan = 20 * time.Second

// statistics summarizes a replica's answers. Its counts decay over statisticsSpan.
type statistics struct {
	successes  float64
	failures   float64
	samples    float64 // answers with a known latency
	logSum     float64 // sum of the logarithms of their latencies
	logSquares float64 // sum of the squares of these logarithms
	logMean    float64 // mean logarithm at the last evaluation; infinite if unknown
	decayedAt  Time
	lastAnswer Time
}

// decayCache caches the last decay factor, since the counts of most replicas decay over the same time.
type decayCache struct {
	elapsed Time
	factor  float64
}

func (c *decayCache) update(elapsed Time) {
	c.elapsed = elapsed
	c.factor = math.Exp(-elapsed.Seconds() / statisticsSpan.Seconds())
}

// decayTo applies the decay up to now.
func (s *statistics) decayTo(now Time, cache *decayCache) {
	elapsed := now - s.decayedAt
	if elapsed <= 0 {
		return
	}
	if elapsed != cache.elapsed {
		cache.update(elapsed)
	}
	factor := cache.factor
	s.successes *= factor
	s.failures *= factor
	s.samples *= factor
	s.logSum *= factor
	s.logSquares *= factor
	s.decayedAt = now
}

// recordLatency adds the latency of an answer. A latency of 0 is unknown and is ignored.
func (s *statistics) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	log := math.Log(latency.Seconds())
	s.samples++
	s.logSum += log
	s.logSquares += log * log
}

// standardError returns the standard error of the mean logarithm. It uses a variance of at least minLogVariance.
func (s *statistics) standardError(mean float64) float64 {
	return math.Sqrt(max(minLogVariance, s.logSquares/s.samples-mean*mean) / s.samples)
}

// RecordAnswer records an answer of a replica and its latency, or 0 if the latency is unknown.
func (b *Balancer) RecordAnswer(now Time, r *Replica, latency time.Duration) {
	r.decayTo(now, &b.decay)
	r.successes++
	r.recordLatency(latency)
	r.lastAnswer = now
	if r.Unresponsive() {
		b.recoverReplica(now, r)
	}
}

// RecordFailure records an error, a broken connection or a rejected attempt. alive means that the replica itself
// answered.
func (b *Balancer) RecordFailure(now Time, r *Replica, alive bool) {
	r.decayTo(now, &b.decay)
	r.failures++
	if alive {
		r.lastAnswer = now
	}
	if r.Unresponsive() {
		b.postponeTrial(now, r)
	}
	b.stale = true
}
