package scheduler

import (
	"cmp"
	"log/slog"
	"math"
	"time"
)

// The limit on attempts in flight at a node, as a count of attempts.
const (
	// limitInitial is that of a new node: it keeps most nodes at work. Higher, all brokers together flood a
	// node that has just started; lower, nodes idle in the first ticks.
	limitInitial = 2.0
	// limitMax is the highest. Higher, the queue forms at the node, where neither deadlines nor values order
	// it, and urgent requests wait; lower, a quick node idles between a broker's requests.
	limitMax = 8.0
	// limitIncrease is added in a tick in which the limit held a request back and answers were in time.
	// Higher, the limit swings between too many and too few; lower, a recovered node stays underused for
	// longer.
	limitIncrease = 0.25
	// limitDecrease is the factor for a tick with slow answers. Higher, a congestion lasts longer; lower, one
	// pause of a node empties it.
	limitDecrease = 0.9
	// attemptsMax bounds all attempts at a node, also those presumed lost. Higher, a node that answers
	// nothing piles up connections; lower, a few lost answers block a sound node.
	attemptsMax = 2 * limitMax
	// catchUpTicksMax is the most ticks without an answer that the next one makes up for. Higher, one late
	// answer moves the limit as much as many; lower, brokers with few requests follow a congestion late.
	catchUpTicksMax = 3
)

// Latencies, as parts of the smallest latency objective.
const (
	// targetLatencyShare is the part that answers may take before the limit falls. Higher, too little is left
	// for the queue and requests miss the objective; lower, sound nodes are held under what they can do.
	targetLatencyShare = 0.22
	// congestedLatencyShare is the part that even the quickest answers take at a congested node. Higher,
	// congested nodes are flooded for longer; lower, nodes that are slow by themselves idle.
	congestedLatencyShare = 0.36
)

// latencyFade is the part by which a node's latency falls in a tick in which nothing is in flight there.
// Higher, a congested node is flooded again at once; lower, a broker with few requests avoids a recovered
// node for longer.
const latencyFade = 0.03

// concurrencyLimit is the limit on attempts in flight at a node. Below one, forwards are paced instead.
type concurrencyLimit struct {
	value       float64 // attempts
	reached     bool    // it held a request back since it was adjusted
	changedTick int     // in which answers last adjusted it
	lastForward Time    // from which a limit below one paces the next
}

// latencyStats is what a node's answers took, in seconds.
type latencyStats struct {
	smoothed float64
	min      float64 // the least of the recent means, which rises slowly
	answers  int     // in this tick
	sum      float64 // of their latencies
}

// targetLatency is up to which a node's latency leaves its limit alone, in seconds.
func targetLatency(objective time.Duration) float64 { return targetLatencyShare * objective.Seconds() }

// hasFreeSlot tells whether a node has fewer attempts in flight than its limit.
func (n *node) hasFreeSlot() bool {
	return float64(n.inFlight) < max(1, math.Floor(n.limit.value)) && len(n.attempts) < attemptsMax
}

// isPaced tells whether the last forward to a node was too lately for a request that earns this part of its
// value: the less it earns, the longer it waits.
func (n *node) isPaced(now Time, valueShare float64) bool {
	return (now-n.limit.lastForward).Seconds()*valueShare < n.latency.smoothed/n.limit.value
}

// belowLimit tells whether a node may get a request now. With a limit below one forwards are paced, and at a
// congested node so are requests beyond their volume's reserved rate in any case. That guards the reserved
// requests of other brokers, which this one does not see, against a surge. It costs nodes that are slow by
// themselves some of their throughput.
func (s *Scheduler) belowLimit(n *node, r *request) bool {
	free := n.hasFreeSlot()
	paced := n.limit.value < 1 || r.valueShare < 1 && n.congested(s.minObjective)
	free = free && !(paced && n.isPaced(s.now, r.valueShare))
	n.limit.reached = n.limit.reached || !free
	return free && s.now >= n.health.backoffUntil
}

// congested tells whether even the quickest of a node's recent answers are slow: a queue stands there.
func (n *node) congested(objective time.Duration) bool {
	return n.latency.min > congestedLatencyShare*objective.Seconds()
}

// adjustLimit moves a node's limit by the latency of the last tick's answers: multiplicative decrease while
// they are slow, additive increase while they are in time and the limit held something back.
func (s *Scheduler) adjustLimit(n *node) {
	if n.unresponsive(s.now, s.minObjective) {
		s.log(messageUnresponsive, slog.String("node", n.Name), slog.Int("in_flight", n.inFlight))
		n.limit.value = min(n.limit.value, 1)
	}
	target := targetLatency(s.minObjective)
	if n.latency.answers == 0 {
		if len(n.attempts) == 0 && n.latency.smoothed > target {
			n.latency.smoothed *= 1 - latencyFade
		}
		return
	}
	ticks := float64(min(s.ticks-n.limit.changedTick, catchUpTicksMax))
	n.latency.update(ticks)
	slow := cmp.Compare(n.latency.smoothed, target)
	n.limit.adjust(ticks, slow, n.congested(s.minObjective), s.settings.Brokers)
	n.limit.reached = false
	n.limit.changedTick = s.ticks
}

// update takes the answers of a tick into the smoothed and the least latency, with the weight of so many
// ticks.
func (l *latencyStats) update(ticks float64) {
	mean := l.sum / float64(l.answers)
	l.smoothed += (1 - math.Pow(1-smoothing, ticks)) * (mean - l.smoothed)
	l.min = min(mean, l.min+smoothing*(mean-l.min))
	l.answers = 0
	l.sum = 0
}

// adjust moves the limit for so many ticks. slow is above 0 if the latency is above the target, and
// below 0 if it is below.
//
// A limit below one is for a node that many brokers share with a few requests each: while it is congested,
// each goes down to its part of what one broker alone may have in flight. Pauses, flushes and large requests
// of a sound node don't count as congestion, since some answers are quick then. It costs throughput where
// only a few of many brokers use a congested node.
func (l *concurrencyLimit) adjust(ticks float64, slow int, congested bool, brokers int) {
	switch {
	case slow > 0 && l.value > 1:
		l.value = max(1, l.value*math.Pow(limitDecrease, ticks))
	case congested:
		l.value = max(min(1, limitMax/float64(brokers)), l.value*math.Pow(limitDecrease, ticks))
	case l.reached && slow < 0 || l.value < 1:
		l.value = min(limitMax, l.value+limitIncrease*min(1, l.value)*ticks)
	}
}
