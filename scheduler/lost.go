package scheduler

import (
	"log/slog"
	"math"
	"time"
)

const (
	// overtakesToLose is the number of later attempts that a node must serve before an earlier attempt is
	// presumed lost within the smallest latency objective. With a larger value a lost attempt occupies its
	// slot for longer. With a smaller value attempts that would succeed are presumed lost at a node that
	// answers out of order.
	overtakesToLose = 4
	// lateFactor is the minimum time in flight of an attempt that is presumed lost or moved to another node,
	// as a multiple of its expected latency. With a larger value clients wait longer behind lost attempts.
	// With a smaller value large requests are canceled.
	lateFactor = 3.0
	// failoverTicks is the minimum time in flight before an attempt is moved to another node of its shard,
	// in ticks. With a larger value clients wait longer for a dead node. With a smaller value short pauses
	// double the work of a shard.
	failoverTicks = 4
	// suspicionEarned is the number of moves without proof that each forward earns. A move has proof if
	// another node of the shard has answered since the attempt was sent, or if the balancer considers the
	// attempt's node unresponsive. With a larger value retries add to the load of a shard that is slow as a
	// whole. With a smaller value a dead node blocks a shard with few requests.
	suspicionEarned = 0.1
	// suspicionMax is the maximum number of moves without proof that forwards have not yet earned back. With
	// a larger value a shard that is slow as a whole receives a burst of retries. With a smaller value the
	// first requests at a dead node wait longer.
	suspicionMax = 5.0
	// stallTicks is the interval between two ticks, in tick periods, above which this broker itself counts
	// as stalled. With a larger value a broker without processor time blames nodes for answers that it has
	// not read. With a smaller value a broker on a busy machine detects dead nodes late.
	stallTicks = 3
	// settleTicks is the time after a stall, in ticks, in which a broker does not fail over, because it reads
	// the answers that arrived during the stall. With a larger value dead nodes are found later. With a
	// smaller value answers that were already received count as missing.
	settleTicks = 2
)

// failover describes the move of a request away from a node without proof that the node failed.
type failover struct {
	from   *node // nil for none
	sentAt Time  // when the attempt at from was sent
}

// failoverGuard limits the moves that failOver makes without proof, and prevents moves after a stall.
type failoverGuard struct {
	lastTick       int // tick in which attempts were last checked
	lastTickAt     Time
	stalledUntil   Time
	suspicionSpent float64 // moves without proof that forwards have not yet earned back
}

// observeTick records a tick in which attempts were checked. If the last such tick is too long ago, it
// assumes a stall of this broker. A longer time without attempts in flight has the same effect.
func (f *failoverGuard) observeTick(tick int, now Time, period time.Duration) {
	if tick == f.lastTick {
		return
	}
	if f.lastTick > 0 && now-f.lastTickAt > stallTicks*period {
		f.stalledUntil = now + settleTicks*period
	}
	f.lastTick = tick
	f.lastTickAt = now
}

// recordForward earns a part of a move without proof.
func (f *failoverGuard) recordForward() { f.suspicionSpent = max(0, f.suspicionSpent-suspicionEarned) }

// exhausted reports whether another move without proof would exceed the limit.
func (f *failoverGuard) exhausted() bool { return f.suspicionSpent > suspicionMax-1 }

// detectLost presumes attempts at a node lost if their answers probably will not arrive, because of a lost
// message, a stuck request, or a dead node or network path. An attempt is presumed lost if it is in flight
// for lateFactor times its expected latency and if, in addition, the node has served overtakesToLose later
// attempts or the attempt is in flight for the smallest latency objective. Before that check, failOver and
// cancelLate may cancel the attempt. Each tick checks all attempts, so that no lost attempt is missed. As a
// trade-off, nodes that answer out of order, or suddenly become slower, cause some retries.
func (s *Scheduler) detectLost(n *node) {
	for _, r := range n.attempts {
		inFlight := (s.now - r.sentAt).Seconds()
		expected := lateFactor * n.latency.smoothed * s.relativeSize(r.Units)
		if s.cancelUseless(n, r) || r.lost || inFlight < expected {
			continue
		}
		if r.overtaken < overtakesToLose && inFlight < s.minObjective.Seconds() {
			continue
		}
		s.presumeLost(n, r, inFlight)
	}
}

// relativeSize returns the size of a request as a multiple of the mean size, at least 1.
func (s *Scheduler) relativeSize(units float64) float64 {
	return max(1, units/max(1, s.settings.MeanUnits))
}

// presumeLost frees the slot of an attempt that is in flight for the given number of seconds. It cancels the
// attempt, so that the request is retried, if later attempts were served or the node is unresponsive.
// Otherwise the attempt may only be late, and a retry would double the work. It does not cancel if the class
// is not Idempotent, the soft deadline has passed or the request may not be retried.
func (s *Scheduler) presumeLost(n *node, r *request, inFlight float64) {
	r.lost = true
	n.inFlight--
	if r.overtaken < overtakesToLose { // no sign of a loss: treat the node as slow
		n.latency.answers++
		n.latency.sum += inFlight
	}
	milliseconds := math.RoundToEven(inFlight * 1000)
	s.log(messageAttemptLost, slog.String("node", n.Name), slog.Float64("after_ms", milliseconds))
	retry := !r.answered && (r.overtaken >= overtakesToLose || n.unresponsive(s.now, s.minObjective))
	retry = retry && s.settings.Capabilities.Cancel && r.class.Idempotency == Idempotent
	if retry && s.now < r.softDeadline && s.mayRetry(r) {
		s.cancelAttempt(r)
	}
}

// cancelUseless fails over or cancels an attempt that is no longer useful at its node. It reports whether it
// canceled the attempt.
func (s *Scheduler) cancelUseless(n *node, r *request) bool {
	return s.failOver(n, r) || s.cancelLate(n, r)
}

// cancelLate cancels an attempt at a congested node after its soft deadline and answers the request. The
// node can then serve requests that can still be in time. If a node continues to execute canceled attempts,
// further cancellations would hide how slow it is. Therefore, after one cancellation no other late attempt at
// the node is canceled until the next success. As a trade-off, classes whose late answers still earn much
// lose value. cancelLate reports whether it canceled the attempt.
func (s *Scheduler) cancelLate(n *node, r *request) bool {
	if r.answered || s.now <= r.softDeadline || !n.congested(s.minObjective) {
		return false
	}
	if n.health.canceledSinceAnswer || !s.settings.Capabilities.Cancel {
		return false
	}
	n.health.canceledSinceAnswer = true
	n.latency.answers++ // the answer would have taken at least this long
	n.latency.sum += (s.now - r.sentAt).Seconds()
	s.cancelAttempt(r)
	s.giveUp(r)
	return true
}

// cancelAttempt cancels a request's last attempt.
func (s *Scheduler) cancelAttempt(r *request) {
	s.emit(Cancel{ID: r.ID, Attempt: r.attempts - 1})
}

// failOver cancels an attempt at a node that does not answer, so that the request is retried at another node
// of its shard. It acts if the node has not answered since the attempt was sent, and the attempt is in flight
// for far longer than expected from the latency of another node. Only requests that are safe to repeat are
// moved; other requests stay at their first node. Moves without proof (see suspicionEarned) are limited: if
// all nodes are slow, moves would only add load. If there is proof, failOver reports the node to the balancer
// as unresponsive, even if the request is not moved. A broker that was stalled does not fail over while it
// reads the answers that arrived during the stall. As a trade-off, a healthy node that pauses for that long
// loses some requests. failOver reports whether it canceled the attempt.
func (s *Scheduler) failOver(n *node, r *request) bool {
	s.failovers.observeTick(s.ticks, s.now, s.tickPeriod)
	if n.replica == nil || n.shard.balancer == nil || r.answered || s.now < s.failovers.stalledUntil {
		return false
	}
	if s.now-r.sentAt < failoverTicks*s.tickPeriod || n.health.lastAnswer > r.sentAt {
		return false
	}
	other := n.alternative()
	if other == nil {
		return false
	}
	expected := lateFactor * other.latency.smoothed * s.relativeSize(r.Units)
	if (s.now - r.sentAt).Seconds() < expected {
		return false
	}
	proven := other.health.lastAnswer > r.sentAt || n.replica.Unresponsive()
	if proven {
		s.reportUnresponsive(n)
	}
	if !proven && s.failovers.exhausted() || !s.settings.Capabilities.Cancel {
		return false
	}
	if !r.safeToRepeat() || !s.mayRetry(r) || s.now+answerTicks*s.tickPeriod >= r.deadline {
		return false
	}
	if !proven {
		s.failovers.suspicionSpent++
		r.failover = failover{n, r.sentAt}
	}
	s.extendSoftDeadline(r)
	s.cancelAttempt(r)
	return true
}

// alternative returns, of the other ready and responsive nodes of the shard, the one with the latest answer,
// or nil if there is none.
func (n *node) alternative() *node {
	var latest *node
	for _, other := range n.shard.nodes {
		if other == n || other.state != Ready || other.replica == nil || other.replica.Unresponsive() {
			continue
		}
		if latest == nil || other.health.lastAnswer > latest.health.lastAnswer {
			latest = other
		}
	}
	return latest
}
