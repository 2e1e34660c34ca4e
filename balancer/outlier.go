package balancer

import (
	"cmp"
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// What a broker knows of a replica rests on few answers, so outlier detection goes by intervals. An error rate
// counts by the lower end of its interval; slowness counts in full once it is significant.
const (
	// unresponsivePeriod is the least time between two findings of one replica's silence. Higher, trials of a
	// dead replica begin late; lower, a burst of lost attempts doubles its backoff many times.
	unresponsivePeriod = 100 * time.Millisecond
	// trialBackoffMin is after which an unresponsive replica is asked once more. Higher, a short pause ejects
	// it for longer; lower, more requests are lost to dead replicas.
	trialBackoffMin = time.Second
	// trialBackoffMax bounds the doubling of that wait. Higher, a replica that was dead for long gets nothing
	// for longer after its return; lower, more requests are lost to it meanwhile.
	trialBackoffMax = 30 * time.Second
	// recoveryFactor is the part of its weight that an unresponsive replica has with its first answer; it has
	// all with the second. Higher, brokers rush at a replica that is just back; lower, it takes its load
	// again later.
	recoveryFactor = 0.5
	// doubtFactor is the part of its weight that a replica keeps that only peers found unresponsive. Higher,
	// requests are lost to a dead one for longer; lower, a fault between peers and a replica moves load of
	// all brokers.
	doubtFactor = 0.25
	// normalErrorRate is the part of answers that may be errors or rejections. Higher, a failing replica
	// keeps its load; lower, common errors of clients eject sound replicas.
	normalErrorRate = 0.1
	// errorQuantile is the lower end of the interval of a rate of errors that counts. Higher, few errors
	// eject a replica by chance; lower, a failing one keeps its load for longer.
	errorQuantile = 0.05
	// minFailures is how many failures, decayed, are looked at. Higher, errors are found late; lower, each
	// single error costs processor time.
	minFailures = 0.5
	// priorSuccesses and priorFailures are the answers that a new replica counts as having given. Higher,
	// errors of a new replica count later; lower, its first error ejects it.
	priorSuccesses = 9.0
	priorFailures  = 0.5
	// slowRatio is how many times the shard's median latency a replica may take. Higher, slow replicas keep
	// their load; lower, load moves between equal ones.
	slowRatio = 1.25
	// slowErrors is by how many standard errors a replica must be slower. Higher, slow replicas are found
	// late; lower, by chance.
	slowErrors = 1.96
	// minSlowFactor is the part of its weight that a slow replica keeps. Higher, more answers are late;
	// lower, its recovery is found late.
	minSlowFactor = 0.05
	// minLogVariance is the least variance of the logarithm of latency. Higher, slow replicas are found late;
	// lower, a few equal latencies prove too much.
	minLogVariance = 0.04
	// minSamples is how many latencies, decayed, a replica must have to be found slow. Higher, slow replicas
	// are found late; lower, by one latency.
	minSamples = 2
	// minMedianReplicas is how many replicas with latencies there must be for a median. Higher, small shards
	// have none; lower, a slow replica is its own measure.
	minMedianReplicas = 3
	// returnRatio is by how many times a weight must rise for its replica's turn to begin anew at a random
	// position. Higher, brokers meet at a replica that is back; lower, turns of sound replicas jump.
	returnRatio = 2
)

// slowLogRatio is slowRatio as a difference of logarithms.
var slowLogRatio = math.Log(slowRatio)

// The reasons of a factor, as the console shows them.
const (
	reasonSound        = "sound"
	reasonUnresponsive = "silent"
	reasonDoubted      = "peers find it silent"
	reasonErrors       = "errors"
	reasonSlow         = "slow"
	reasonBounded      = ", bounded" // added where the bound of the shard gave weight back
)

// outlierState is what outlier detection keeps of a replica.
type outlierState struct {
	unresponsiveSince Time          // when it was last found unresponsive, 0 for not
	trialBackoff      time.Duration // between two trials
	nextTrial         Time
	recovery          float64 // the factor that an unresponsive replica has earned by answers
	reason            string  // of its factor
	reports           []gossipReport
}

// Unresponsive tells whether the replica was found unresponsive and has not earned its weight again.
func (o *outlierState) Unresponsive() bool { return o.unresponsiveSince > 0 }

// Reason tells in a word what the replica's weight rests on.
func (r *Replica) Reason() string { return cmp.Or(r.reason, reasonSound) }

// Factor is what outlier detection leaves of the replica's weight, from 0 to 1.
func (r *Replica) Factor() float64 { return r.factor }

// RecordUnresponsive notes that a replica has left an attempt without an answer for far longer than usual,
// while others of the shard answer.
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

// recoverReplica notes an answer of an unresponsive replica: it has a part of its weight with the first, and
// all with the second.
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

// postponeTrial sets the next trial of an unresponsive replica, with exponential backoff and apart from those
// of other brokers.
func (b *Balancer) postponeTrial(now Time, r *Replica) {
	r.recovery = 0
	r.trialBackoff = min(trialBackoffMax, max(trialBackoffMin, 2*r.trialBackoff))
	r.nextTrial = now + r.trialBackoff/2 + time.Duration(b.jitter(now, r)*float64(r.trialBackoff))
}

// detectOutliers works out the factor of each replica of the subset, and bounds what they take away together.
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

// moveTurn has a replica's turn come as much later or sooner as its weight is less or more than it was. One
// that has most of its weight back at once comes at a random position of its next turn: other brokers find
// the same at the same time.
func (b *Balancer) moveTurn(now Time, r *Replica) {
	if r.previousFactor == r.factor {
		return
	}
	r.position = b.virtualNow + max(0, r.position-b.virtualNow)*r.previousFactor/r.factor
	if r.factor > returnRatio*r.previousFactor {
		r.position = b.virtualNow + b.jitter(now, r)/r.weight()
	}
}

// factorOf is the part of its weight that a replica should have, and why. median is the logarithm of the
// shard's median latency, NaN where it is not known.
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

// errorRateLowerBound is the lower end of the interval of a replica's rate of errors, 0 where there are too few.
func (s *statistics) errorRateLowerBound() float64 {
	if s.failures <= minFailures {
		return 0
	}
	rate := distuv.Beta{Alpha: priorFailures + s.failures, Beta: priorSuccesses + s.successes}
	return rate.Quantile(errorQuantile)
}

// significantSlowness is by how much a replica's mean logarithm of latency is above the median: the whole excess, 0
// where it is not significant.
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

// medianLatency is the median over the subset of the mean logarithm of latency, NaN without enough replicas.
// A slow or quick minority does not move it.
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
		// insertion sort: they are nearly in order since the last time
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
