package balancer

import (
	"cmp"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// A broker has only a few answers from each replica, so outlier detection uses confidence intervals. An error rate
// counts with the lower bound of its interval. Slowness counts in full once it is significant.
const (
	// unresponsivePeriod is the minimum time between two accepted calls of RecordUnresponsive for the same replica.
	// With a longer period, trials of a dead replica begin late. With a shorter period, a burst of lost attempts
	// doubles the trial backoff many times.
	unresponsivePeriod = 100 * time.Millisecond
	// trialBackoffMin is the first backoff before a trial of an unresponsive replica. The trial follows after half to
	// one and a half times the backoff. With a longer backoff, a short pause ejects the replica for longer. With a
	// shorter backoff, more requests are lost to dead replicas.
	trialBackoffMin = time.Second
	// trialBackoffMax bounds the doubling of the backoff. With a larger bound, a replica that was dead for long
	// gets requests later after its recovery. With a smaller bound, more requests are lost while it is dead.
	trialBackoffMax = 30 * time.Second
	// recoveryFactor is the share of its weight that an unresponsive replica regains with its first answer. The
	// second answer restores the whole weight. With a larger share, brokers overload a replica that has just
	// recovered. With a smaller share, the replica gets its load back later.
	recoveryFactor = 0.5
	// doubtFactor is the share of its weight that a replica keeps if only peers found it unresponsive. With a
	// larger share, requests are lost to a dead replica for longer. With a smaller share, a network fault between
	// peers and a replica moves the load of all brokers.
	doubtFactor = 0.25
	// normalErrorRate is the share of answers that may be errors or rejections. With a larger share, a failing
	// replica keeps its load. With a smaller share, common client errors eject sound replicas.
	normalErrorRate = 0.1
	// errorQuantile is the quantile of the error rate's distribution that is compared with normalErrorRate. With a
	// larger quantile, a few errors eject a replica by chance. With a smaller quantile, a failing replica keeps
	// its load for longer.
	errorQuantile = 0.05
	// minFailures is the decayed number of failures above which the error rate is computed. With a larger number,
	// errors are detected late. With a smaller number, each single error costs processor time.
	minFailures = 0.5
	// priorSuccesses and priorFailures are the answers that are assumed for a new replica. With larger numbers,
	// the errors of a new replica take effect later. With smaller numbers, its first error ejects it.
	priorSuccesses = 9.0
	priorFailures  = 0.5
	// slowRatio is the multiple of the shard's median latency above which a replica is slow. With a larger ratio,
	// slow replicas keep their load. With a smaller ratio, load moves between equally fast replicas.
	slowRatio = 1.25
	// slowErrors is the number of standard errors by which a replica must exceed slowRatio. With a larger number,
	// slow replicas are found late. With a smaller number, sound replicas are found slow by chance.
	slowErrors = 1.96
	// minSlowFactor is the share of its weight that a slow replica keeps. With a larger share, more answers are
	// late. With a smaller share, the replica's recovery is detected late.
	minSlowFactor = 0.05
	// minLogVariance is the minimum variance of the logarithm of latency. With a larger minimum, slow replicas are
	// found late. With a smaller minimum, a few equal latencies appear significant.
	minLogVariance = 0.04
	// minSamples is the decayed number of latencies above which a replica can be found slow. With a larger number,
	// slow replicas are found late. With a smaller number, a single latency is enough.
	minSamples = 2
	// minMedianReplicas is the minimum number of replicas with latencies for a median. With a larger number, small
	// shards have no median. With a smaller number, a slow replica would be compared with itself.
	minMedianReplicas = 3
	// returnRatio is the factor by which a weight must rise for the replica to get a new random position. With a
	// larger factor, brokers send to a recovered replica at once. With a smaller factor, positions of sound
	// replicas jump.
	returnRatio = 2
)

// slowLogRatio is the natural logarithm of slowRatio.
var slowLogRatio = math.Log(slowRatio)

// The reasons for a replica's factor, as the console shows them.
const (
	reasonSound        = "sound"
	reasonUnresponsive = "silent"
	reasonDoubted      = "peers find it silent"
	reasonErrors       = "errors"
	reasonSlow         = "slow"
	reasonBounded      = ", bounded" // appended where the shard's bound raised the factor
)

// outlierState is the state of a replica in outlier detection.
type outlierState struct {
	unresponsiveSince Time          // when the replica was last found unresponsive; 0 if it is responsive
	trialBackoff      time.Duration // the wait until the next trial is 0.5 to 1.5 times as long
	nextTrial         Time
	recovery          float64 // factor that an unresponsive replica has regained by an answer; 0 before the answer
	reason            string  // reason for the factor
	reports           []gossipReport
}

// Unresponsive reports whether the replica was found unresponsive and has not answered twice since.
func (o *outlierState) Unresponsive() bool { return o.unresponsiveSince > 0 }

// Reason returns the reason for the replica's factor, as the console shows it.
func (r *Replica) Reason() string { return cmp.Or(r.reason, reasonSound) }

// Factor returns the share of the replica's weight that outlier detection allows, from 0 to 1.
func (r *Replica) Factor() float64 { return r.factor }

// RecordUnresponsive records that an attempt at a replica has had no answer for far longer than usual, while other
// replicas of the shard answer.
func (b *Balancer) RecordUnresponsive(now Time, r *Replica) {
	if r.Unresponsive() && now-r.unresponsiveSince < unresponsivePeriod {
		return
	}
	if !r.Unresponsive() {
		b.gossip.unresponsive = appendName(b.gossip.unresponsive, r.Name)
	}
	r.unresponsiveSince = max(1, now)
	b.alarmAt = r.unresponsiveSince
	b.postponeTrial(now, r)
	b.stale = true
}

// recoverReplica records an answer of an unresponsive replica. The first answer restores a part of its weight, the
// second the whole weight.
func (b *Balancer) recoverReplica(now Time, r *Replica) {
	if r.recovery > 0 {
		r.unresponsiveSince = 0
		r.trialBackoff = 0
		r.recovery = 0
	} else {
		r.recovery = recoveryFactor
		r.nextTrial = now
		b.gossip.recovered = appendName(b.gossip.recovered, r.Name)
	}
	r.reports = nil
	b.stale = true
}

// postponeTrial sets the next trial of an unresponsive replica, with exponential backoff. Jitter separates the trials
// of different brokers.
func (b *Balancer) postponeTrial(now Time, r *Replica) {
	r.recovery = 0
	r.trialBackoff = min(trialBackoffMax, max(trialBackoffMin, 2*r.trialBackoff))
	r.nextTrial = now + r.trialBackoff/2 + time.Duration(b.jitter(now, r)*float64(r.trialBackoff))
}

// detectOutliers computes the factor of each replica of the subset, and keeps the weight that all factors remove
// together within MaxEjectedShare.
func (b *Balancer) detectOutliers(now Time) {
	median := b.medianLatency(now)
	total, ejected := 0.0, 0.0
	for _, r := range b.subset {
		r.previousFactor = r.factor
		r.factor, r.reason = b.factorOf(now, r, median)
		total += r.size()
		ejected += r.size() * (1 - r.factor)
	}
	if bound := b.options.MaxEjectedShare * total; ejected > bound {
		for _, r := range b.subset {
			if r.factor < 1 {
				r.factor = 1 - (1-r.factor)*bound/ejected
				r.reason += reasonBounded
			}
		}
	}
	for _, r := range b.subset {
		b.moveTurn(now, r)
	}
}

// moveTurn adapts the position of a replica to a changed factor: a lower factor delays the next turn in proportion, and
// a higher factor brings it forward. A replica whose factor rises by more than returnRatio gets a random position
// within its next turn, since other brokers raise the factor at the same time.
func (b *Balancer) moveTurn(now Time, r *Replica) {
	if r.previousFactor == r.factor {
		return
	}
	r.position = b.virtualNow + max(0, r.position-b.virtualNow)*r.previousFactor/r.factor
	if r.factor > returnRatio*r.previousFactor {
		r.position = b.virtualNow + b.jitter(now, r)/r.weight()
	}
}

// factorOf returns the factor that a replica should have and the reason for it. median is the logarithm of the median
// latency over the subset, or NaN if it is unknown.
func (b *Balancer) factorOf(now Time, r *Replica, median float64) (factor float64, reason string) {
	r.decayTo(now, &b.decay)
	if r.Unresponsive() {
		return max(b.options.TrialShare, r.recovery), reasonUnresponsive
	}
	if r.isDoubted(now) {
		return max(b.options.TrialShare, doubtFactor), reasonDoubted
	}
	factor = 1.0
	if rate := r.errorRateLowerBound(); rate > normalErrorRate {
		factor = max(b.options.TrialShare, (1-rate)*(1-rate))
		reason = reasonErrors
	}
	if slowness := r.significantSlowness(median); slowness > 0 {
		factor = max(minSlowFactor, factor*math.Exp(-slowness))
		reason = reasonSlow
	}
	return factor, reason
}

// errorRateLowerBound returns the lower bound of a replica's error rate, or 0 if there are too few failures.
func (s *statistics) errorRateLowerBound() float64 {
	if s.failures <= minFailures {
		return 0
	}
	rate := distuv.Beta{Alpha: priorFailures + s.failures, Beta: priorSuccesses + s.successes}
	return rate.Quantile(errorQuantile)
}

// significantSlowness returns the difference between a replica's mean logarithm of latency and the median, or 0 if the
// difference is not significant.
func (s *statistics) significantSlowness(median float64) float64 {
	if s.samples <= minSamples || math.IsNaN(median) {
		return 0
	}
	mean := s.logSum / s.samples
	excess := mean - median
	if excess > slowLogRatio && excess-slowErrors*s.standardError(mean) > slowLogRatio {
		return excess
	}
	return 0
}

// medianLatency returns the median over the subset of each replica's mean logarithm of latency, or NaN if too few
// replicas have a mean. A minority of slow or fast replicas hardly changes the median.
func (b *Balancer) medianLatency(now Time) float64 {
	if len(b.byLatency) != len(b.subset) {
		b.byLatency = append(b.byLatency[:0], b.subset...)
	}
	known := 0
	for i, r := range b.byLatency {
		r.decayTo(now, &b.decay)
		r.logMean = math.Inf(1)
		if r.samples > 1 {
			r.logMean = r.logSum / r.samples
			known++
		}
		// Insertion sort: the replicas are still nearly in the order of the last call.
		for ; i > 0 && b.byLatency[i-1].logMean > r.logMean; i-- {
			b.byLatency[i] = b.byLatency[i-1]
		}
		b.byLatency[i] = r
	}
	if known < minMedianReplicas {
		return math.NaN()
	}
	return b.byLatency[(known-1)/2].logMean
}
