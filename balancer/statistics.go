package balancer

import (
	"math"
	"time"
)

// statisticsSpan is over which answers decay, in time. Higher, a replica that recovered keeps its low weight
// for longer; lower, a broker with few requests knows too little to find an outlier.
const statisticsSpan = 20 * time.Second

// statistics is what a replica's answers showed. Its counts decay over statisticsSpan.
type statistics struct {
	successes  float64
	failures   float64
	samples    float64 // answers with a latency
	logSum     float64 // of the logarithms of their latencies
	logSquares float64 // and of their squares
	logMean    float64 // at the last evaluation; infinite where it is not known
	decayedAt  Time
	lastAnswer Time
}

// decayCache keeps the last factor of decay: most replicas decayed last at one time.
type decayCache struct {
	elapsed Time
	factor  float64
}

func (c *decayCache) update(elapsed Time) {
	c.elapsed = elapsed
	c.factor = math.Exp(-elapsed.Seconds() / statisticsSpan.Seconds())
}

// decayTo has the counts decay up to now.
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

// recordLatency counts the latency of an answer. One of 0 is not known.
func (s *statistics) recordLatency(latency time.Duration) {
	if latency <= 0 {
		return
	}
	log := math.Log(latency.Seconds())
	s.samples++
	s.logSum += log
	s.logSquares += log * log
}

// standardError is that of the mean logarithm. The variance counts as no less than minLogVariance.
func (s *statistics) standardError(mean float64) float64 {
	return math.Sqrt(max(minLogVariance, s.logSquares/s.samples-mean*mean) / s.samples)
}

// RecordAnswer notes an answer of a replica, after so long.
func (b *Balancer) RecordAnswer(now Time, r *Replica, latency time.Duration) {
	r.decayTo(now, &b.decay)
	r.successes++
	r.recordLatency(latency)
	r.lastAnswer = now
	if r.Unresponsive() {
		b.recoverReplica(now, r)
	}
}

// RecordFailure notes an error, a broken connection or a rejected attempt. alive tells that the replica
// itself answered.
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
