package scheduler

import (
	"log/slog"
	"math"
	"time"
)

const (
	// unresponsiveObjectives is how many of the smallest latency objectives a node with attempts in flight
	// may say nothing before it counts as unresponsive. Higher, requests pile up at a dead node for longer;
	// lower, a pause of a sound node takes it out of the capacity that tokens are granted from.
	unresponsiveObjectives = 3.0
	// faultsToBackOff is how many connections in a row must break before the node backs off. Higher, a node
	// that closes all of them is asked for longer; lower, one lost answer among good ones makes the requests
	// of its shard wait.
	faultsToBackOff = 2
)

// nodeHealth is what a node's outcomes show of it.
type nodeHealth struct {
	lastAnswer          Time          // of any kind
	waitingSince        Time          // the last outcome, or a later forward with nothing in flight
	backoffUntil        Time          // nothing is forwarded before: it rejected attempts
	backoff             time.Duration // doubles with each fault up to the smallest latency objective
	faults              int           // since the last success
	canceledSinceAnswer bool          // a late attempt was canceled since the last success
}

// unresponsive tells whether a node with attempts in flight has said nothing for long, be it dead, cut off or
// stuck. It holds for any shard and ends with the node's next outcome. balancer.Replica.Unresponsive is
// another state: the replica was silent while others of its shard answered, and its trials end that.
func (n *node) unresponsive(now Time, objective time.Duration) bool {
	if len(n.attempts) == 0 {
		return false
	}
	quiet := now - max(n.health.lastAnswer, n.health.waitingSince)
	return quiet > time.Duration(unresponsiveObjectives*float64(objective))
}

// recordOutcome takes what an outcome shows of its node.
func (s *Scheduler) recordOutcome(n *node, r *request, outcome Outcome, latency time.Duration) {
	if outcome.provesAlive() {
		n.health.lastAnswer = s.now
	}
	n.health.waitingSince = s.now
	switch outcome {
	case Success:
		s.recordSuccess(n, r, latency)
	case NotSent:
		s.recordNotSent(n, r)
	case Overloaded, Unreachable, ConnectionBroken:
		s.recordFault(n, outcome)
	}
}

// provesAlive tells whether an outcome came from the node itself.
func (o Outcome) provesAlive() bool {
	return o != TimedOut && o != Canceled && o != Unreachable && o != NotSent
}

func (s *Scheduler) recordSuccess(n *node, r *request, latency time.Duration) {
	n.finishedUnits += r.Units
	warmUp := s.settings.Rules.WarmUpTime.Seconds()
	if n.slowStart.warmingUp && r.sentAt >= n.slowStart.startedAt {
		n.slowStart.tokens += r.Units
	} else if !n.slowStart.warmingUp && warmUp > 0 {
		s.shards.byID[n.Shard].recordServed(s.now, r.Units, warmUp)
	}
	n.latency.answers++
	n.latency.sum += latency.Seconds()
	n.health.backoff = 0
	n.health.canceledSinceAnswer = false
	n.health.faults = 0
	for _, other := range n.attempts {
		if other.sentAt < r.sentAt {
			other.overtaken++
		}
	}
	if n.latency.smoothed == 0 {
		n.latency.smoothed = latency.Seconds()
	}
}

// recordServed takes units into the rate that warm nodes served this broker, in the mean over a span in
// seconds.
func (sh *shard) recordServed(now Time, units, span float64) {
	sh.servedRate = sh.servedRate*math.Exp(-(now-sh.servedAt).Seconds()/span) + units/span
	sh.servedAt = now
}

// recordNotSent undoes a forward that never left: the node can still bear its units, and a request that is
// over used up nothing of its volume's tokens and quota.
func (s *Scheduler) recordNotSent(n *node, r *request) {
	n.slowStart.tokens += r.Units
	if r.answered && r.attempts == 1 {
		r.volume.tokens += r.Units
		r.volume.quota.Refund(r.ID)
	}
}

// recordFault has a node back off that rejected an attempt, can't be reached, or broke connections in a row.
// An error that the node answers with is no fault in this sense: a shard may have no other node, and what
// waits while that one backs off is given up.
func (s *Scheduler) recordFault(n *node, outcome Outcome) {
	n.health.faults++
	if n.health.faults < faultsToBackOff && outcome == ConnectionBroken {
		return
	}
	n.limit.value = max(min(1, n.limit.value), n.limit.value*limitDecrease)
	n.health.backoff = min(max(2*n.health.backoff, s.tickPeriod), s.minObjective)
	n.health.backoffUntil = s.now + n.health.backoff
}

// reportToBalancer tells the shard's balancer what an outcome shows of its node.
func (s *Scheduler) reportToBalancer(n *node, r *request, outcome Outcome, latency time.Duration) {
	replicas := n.shard.balancer
	if replicas == nil || n.replica == nil {
		return
	}
	switch outcome {
	case Success:
		from := r.failover.from
		if from != nil && from != n && from.health.lastAnswer < r.failover.sentAt && from.replica != nil {
			s.reportUnresponsive(from) // it has said nothing since, and another answered
		}
		replicas.RecordAnswer(s.now, n.replica, s.latencyOfMeanRequest(latency, r.Units))
	case Failure, Overloaded:
		replicas.RecordFailure(s.now, n.replica, true)
	case Unreachable, ConnectionBroken:
		replicas.RecordFailure(s.now, n.replica, false)
	}
}

// latencyOfMeanRequest scales the latency of a request of so many units to that of a request of mean size.
func (s *Scheduler) latencyOfMeanRequest(latency time.Duration, units float64) time.Duration {
	return time.Duration(float64(latency) * max(1, s.settings.MeanUnits) / max(1, units))
}

// reportUnresponsive tells the balancer of a node's shard that it said nothing while others answered.
func (s *Scheduler) reportUnresponsive(n *node) {
	n.shard.balancer.RecordUnresponsive(s.now, n.replica)
	s.log(messageUnresponsiveReplica, slog.String("node", n.Name), slog.Int("shard", n.Shard))
}
