package scheduler

import (
	"log/slog"
	"math"
	"time"
)

const (
	// overtakesToLose is how many later attempts a node must answer before an earlier one is presumed lost.
	// Higher, a lost answer holds its slot for longer; lower, a node that serves out of order loses sound
	// attempts.
	overtakesToLose = 4
	// lateFactor is how many times its expected latency an attempt must be in flight before it may be
	// presumed lost. Higher, clients wait longer behind lost answers; lower, large requests are cut off.
	lateFactor = 3.0
	// failoverTicks is the least time in flight before an attempt is moved to another node of its shard, in
	// ticks. Higher, clients wait longer behind a dead node; lower, short pauses double the work of a shard.
	failoverTicks = 4
	// suspicionEarned is how many attempts may be moved for each forward where no node of the shard has
	// answered since. Higher, retries add to the load of a shard that is slow as a whole; lower, a dead node
	// blocks a quiet shard.
	suspicionEarned = 0.1
	// suspicionMax is how many such moves may be made in a row. Higher, a shard that is slow as a whole gets
	// a burst of retries; lower, the first requests behind a dead node wait longer.
	suspicionMax = 5.0
	// stallTicks is how many ticks late a tick comes when this broker itself stood still. Higher, a starved
	// broker blames nodes for answers that it did not read; lower, it looks for dead nodes late on a busy
	// machine.
	stallTicks = 3
	// settleTicks is how long a broker that stood still judges nobody, in ticks, while it reads what came
	// meanwhile. Higher, dead nodes are found later; lower, answers already received count as missing.
	settleTicks = 2
)

// failover says that a request was moved to another node on suspicion alone.
type failover struct {
	from   *node // nil for none
	sentAt Time  // when its attempt there was sent
}

// failoverGuard bounds what failOver does on suspicion, and by a broker that stood still.
type failoverGuard struct {
	lastTick       int // in which attempts were last looked at, and its time
	lastTickAt     Time
	stalledUntil   Time
	suspicionSpent float64 // moves on suspicion, less what forwards have earned
}

// observeTick notes a tick, and whether it came so late that this broker itself stood still.
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

// recordForward earns part of a move on suspicion.
func (f *failoverGuard) recordForward() { f.suspicionSpent = max(0, f.suspicionSpent-suspicionEarned) }

// exhausted tells whether another move on suspicion would be one too many.
func (f *failoverGuard) exhausted() bool { return f.suspicionSpent > suspicionMax-1 }

// detectLost finds attempts at a node whose answers will not come: a lost message, a stuck request, a dead
// node or path. It shows as an attempt that later ones overtook, or that is in flight for far longer than any
// answer takes. Such an attempt gives its slot back; unless it is just late it is canceled and retried where
// the rules allow. The guard holds since each attempt is looked at in each tick. It costs nodes that serve
// out of order, or became slower at one stroke, some retries.
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

// relativeSize is how many times larger than the mean a request is, at least 1.
func (s *Scheduler) relativeSize(units float64) float64 {
	return max(1, units/max(1, s.settings.MeanUnits))
}

// presumeLost gives an attempt's slot back after so many seconds in flight, and cancels it where a retry is
// allowed and is no second run of what is only late.
func (s *Scheduler) presumeLost(n *node, r *request, inFlight float64) {
	r.lost = true
	n.inFlight--
	if r.overtaken < overtakesToLose { // as far as seen, the node is that slow
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

// cancelUseless cancels an attempt that is better made elsewhere or not at all, and tells whether it did.
func (s *Scheduler) cancelUseless(n *node, r *request) bool {
	return s.failOver(n, r) || s.cancelLate(n, r)
}

// cancelLate frees a congested node from work that earns next to nothing: an attempt after its soft deadline
// is canceled and the request answered, so that the node serves what can still be in time. A node that goes
// on with what was canceled would hide how slow it is: so after one cancellation the next attempt runs to its
// end. It costs classes whose late answers earn much.
func (s *Scheduler) cancelLate(n *node, r *request) bool {
	if r.answered || s.now <= r.softDeadline || !n.congested(s.minObjective) {
		return false
	}
	if n.health.canceledSinceAnswer || !s.settings.Capabilities.Cancel {
		return false
	}
	n.health.canceledSinceAnswer = true
	n.latency.answers++ // it would have taken this long at least
	n.latency.sum += (s.now - r.sentAt).Seconds()
	s.cancelAttempt(r)
	s.giveUp(r)
	return true
}

// cancelAttempt cancels a request's last attempt.
func (s *Scheduler) cancelAttempt(r *request) {
	s.emit(Cancel{ID: r.ID, Attempt: r.attempts - 1})
}

// failOver moves a request of a shard with several nodes away from a node that says nothing, and tells
// whether it did. It shows as an attempt that is in flight for far longer than expected while others of the
// shard answer. The attempt is canceled and made at another node where it may run twice; what was written to
// the first node stays its own. Where no other has answered since, the moves are bounded: were all nodes
// slow, they would only add to it. A broker that stood still itself judges nobody until it has read what came
// meanwhile. It costs a sound node that pauses for as long some of its requests.
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

// alternative is the node of the same shard, besides this one, that may be asked and answered last; nil for
// none.
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
