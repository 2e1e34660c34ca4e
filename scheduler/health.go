package scheduler

import (
	"log/slog"
	"math"
	"time"
)

const (
	// unresponsiveObjectives is the time without an answer after which a node with attempts in flight counts
	// as unresponsive, as a multiple of the smallest latency objective. With a larger value requests pile up
	// at a dead node for longer. With a smaller value a pause of a healthy node removes the node from the
	// capacity from which tokens are granted.
	unresponsiveObjectives = 3.0
	// faultsToBackOff is the number of faults since the last success from which a broken connection makes the
	// node back off. Other faults do so at once. With a larger value a node that closes all connections
	// receives requests for longer. With a smaller value one lost answer among successful ones makes the
	// requests of its shard wait.
	faultsToBackOff = 2
)

// nodeHealth is the health of a node as its attempts show it.
type nodeHealth struct {
	lastAnswer          Time          // last outcome that proves the node alive, or when the node was added
	waitingSince        Time          // last outcome, or a later forward while no slot was occupied
	backoffUntil        Time          // no request is forwarded to the node before this time
	backoff             time.Duration // last backoff: doubles up to the smallest objective, 0 after a success
	faults              int           // faults since the last success
	canceledSinceAnswer bool          // a late attempt was canceled since the last success
}

// unresponsive reports whether a node with attempts in flight has not answered for long, because it is dead,
// disconnected or stuck. The state applies to nodes of any shard and ends with the next outcome of an attempt
// at the node. balancer.Replica.Unresponsive reports another state: the replica did not answer while other
// nodes of its shard did, and trial requests end that state.
func (n *node) unresponsive(now Time, objective time.Duration) bool {
	if len(n.attempts) == 0 {
		return false
	}
	quiet := now - max(n.health.lastAnswer, n.health.waitingSince)
	return quiet > time.Duration(unresponsiveObjectives*float64(objective))
}

// recordOutcome updates a node's health with the outcome of an attempt.
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

// provesAlive reports whether an outcome shows that the node was alive: the node answered, or had a
// connection that broke.
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

// recordServed updates the rate at which warm nodes of the shard serve this broker, after a request with the
// given units. The rate is an exponential mean over span seconds.
func (sh *shard) recordServed(now Time, units, span float64) {
	sh.servedRate = sh.servedRate*math.Exp(-(now-sh.servedAt).Seconds()/span) + units/span
	sh.servedAt = now
}

// recordNotSent undoes the charges for a forward that was never sent. The node's slow-start budget regains
// the units. If the request is answered and this was its only attempt, its volume's tokens and quota are
// refunded too.
func (s *Scheduler) recordNotSent(n *node, r *request) {
	n.slowStart.tokens += r.Units
	if r.answered && r.attempts == 1 {
		r.volume.tokens = min(r.volume.tokens+r.Units, max(r.volume.tokens, r.volume.capacity))
		r.volume.quota.Refund(r.ID)
	}
}

// recordFault makes a node back off, and lowers its limit, after the node rejected an attempt, could not be
// reached, or broke several connections in a row. An error answer (Failure) does not count as a fault here:
// the shard may not have another node, and the requests that wait during the backoff would be given up.
func (s *Scheduler) recordFault(n *node, outcome Outcome) {
	n.health.faults++
	if n.health.faults < faultsToBackOff && outcome == ConnectionBroken {
		return
	}
	n.limit.value = max(min(1, n.limit.value), n.limit.value*limitDecrease)
	n.health.backoff = min(max(2*n.health.backoff, s.tickPeriod), s.minObjective)
	n.health.backoffUntil = s.now + n.health.backoff
}

// reportToBalancer reports the outcome of an attempt to the balancer of the node's shard.
func (s *Scheduler) reportToBalancer(n *node, r *request, outcome Outcome, latency time.Duration) {
	replicas := n.shard.balancer
	if replicas == nil || n.replica == nil {
		return
	}
	switch outcome {
	case Success:
		from := r.failover.from
		if from != nil && from != n && from.health.lastAnswer < r.failover.sentAt && from.replica != nil {
			s.reportUnresponsive(from) // from has not answered since the request was moved away, and n has
		}
		replicas.RecordAnswer(s.now, n.replica, s.latencyOfMeanRequest(latency, r.Units))
	case Failure, Overloaded:
		replicas.RecordFailure(s.now, n.replica, true)
	case Unreachable, ConnectionBroken:
		replicas.RecordFailure(s.now, n.replica, false)
	}
}

// latencyOfMeanRequest scales the latency of a request with the given units to a request of mean size.
func (s *Scheduler) latencyOfMeanRequest(latency time.Duration, units float64) time.Duration {
	return time.Duration(float64(latency) * max(1, s.settings.MeanUnits) / max(1, units))
}

// reportUnresponsive reports to the balancer of a node's shard that the node did not answer while others did.
func (s *Scheduler) reportUnresponsive(n *node) {
	n.shard.balancer.RecordUnresponsive(s.now, n.replica)
	s.log(messageUnresponsiveReplica, slog.String("node", n.Name), slog.Int("shard", n.Shard))
}
