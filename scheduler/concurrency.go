package scheduler

import (
	"cmp"
	"log/slog"
	"math"
	"time"
)

// Limits on the attempts in flight at a node, as a count of attempts.
const (
	// limitInitial is the limit of a new node. It is enough to keep most nodes busy. With a larger value all
	// brokers together overload a node that has just started. With a smaller value nodes idle in the first
	// ticks.
	limitInitial = 2.0
	// limitMax is the largest limit. With a larger value the queue forms at the node, which does not order
	// requests by deadline or value, so that urgent requests wait. With a smaller value a fast node idles
	// between a broker's requests.
	limitMax = 8.0
	// limitIncrease is added to the limit after a tick in which the limit delayed a request and answers were
	// in time. With a larger value the limit oscillates. With a smaller value a recovered node stays
	// underused for longer.
	limitIncrease = 0.25
	// limitDecrease is the factor applied to the limit after a tick with slow answers. With a larger value
	// congestion lasts longer. With a smaller value one pause of a node leaves the node without requests.
	limitDecrease = 0.9
	// attemptsMax bounds all attempts at a node, including those presumed lost. With a larger value
	// connections accumulate at a node that does not answer. With a smaller value a few lost answers block a
	// healthy node.
	attemptsMax = 2 * limitMax
	// catchUpTicksMax is the maximum number of ticks by which one adjustment changes the limit. The ticks
	// since the last adjustment, in which no answer arrived, are included up to this number. With a larger
	// value one late answer moves the limit as much as many answers. With a smaller value brokers with few
	// requests react late to congestion.
	catchUpTicksMax = 3
)

// Latency thresholds, as fractions of the smallest latency objective.
const (
	// targetLatencyShare is the fraction that answers may take before the limit falls. With a larger value
	// too little time remains for the queue, and requests miss the objective. With a smaller value healthy
	// nodes are used below their capacity.
	targetLatencyShare = 0.22
	// congestedLatencyShare is the fraction that even the fastest answers of a congested node exceed. With a
	// larger value congested nodes are overloaded for longer. With a smaller value nodes that are slow
	// without congestion stay idle.
	congestedLatencyShare = 0.36
)

// latencyFade is the fraction by which a node's smoothed latency falls in a tick without attempts in flight,
// while it is above the target. With a larger value a congested node is overloaded again at once. With a
// smaller value a broker with few requests avoids a recovered node for longer.
const latencyFade = 0.03

// concurrencyLimit is the limit on attempts in flight at a node. With a limit below 1, forwards are paced.
type concurrencyLimit struct {
	value       float64 // attempts
	reached     bool    // the limit delayed a request since the last adjustment
	changedTick int     // tick in which the limit was last adjusted to answers
	lastForward Time    // a limit below 1 delays the next forward relative to this time
}

// latencyStats holds statistics of the latencies of a node's answers, in seconds.
type latencyStats struct {
	smoothed float64
	min      float64 // running minimum of the mean latency of each tick; rises slowly
	answers  int     // in this tick
	sum      float64 // sum of the latencies of these answers
}

// targetLatency returns the latency above which a node's limit falls, in seconds.
func targetLatency(objective time.Duration) float64 { return targetLatencyShare * objective.Seconds() }

// hasFreeSlot reports whether another attempt would keep a node within its limit, rounded down and at least
// 1, and within attemptsMax.
func (n *node) hasFreeSlot() bool {
	return float64(n.inFlight) < max(1, math.Floor(n.limit.value)) && len(n.attempts) < attemptsMax
}

// isPaced reports whether the last forward to a node is too recent for a request with the given value share.
// The smaller the share, the longer the request waits after that forward.
func (n *node) isPaced(now Time, valueShare float64) bool {
	return (now-n.limit.lastForward).Seconds()*valueShare < n.latency.smoothed/n.limit.value
}

// belowLimit reports whether the concurrency limit and the backoff of a node admit a request now. Forwards
// are paced if the limit is below 1. At a congested node, requests with a value share below 1, which are
// beyond their volume's reserved rate, are always paced. During a surge this protects the reserved requests
// of other brokers, which this broker does not see. As a trade-off, nodes that are slow without congestion
// lose some throughput.
func (s *Scheduler) belowLimit(n *node, r *request) bool {
	free := n.hasFreeSlot()
	paced := n.limit.value < 1 || r.valueShare < 1 && n.congested(s.minObjective)
	free = free && !(paced && n.isPaced(s.now, r.valueShare))
	n.limit.reached = n.limit.reached || !free
	return free && s.now >= n.health.backoffUntil
}

// congested reports whether even the fastest recent answers of a node are slow, so that requests queue there.
func (n *node) congested(objective time.Duration) bool {
	return n.latency.min > congestedLatencyShare*objective.Seconds()
}

// adjustLimit adjusts a node's limit to the latency of the last tick's answers. The limit decreases
// multiplicatively while answers are slow. It increases additively while answers are in time and the limit
// delayed a request.
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

// update adds the mean latency of a tick's answers to smoothed and min, and clears the sums of the tick.
// smoothed changes as if this mean had been measured in each of the given number of ticks.
func (l *latencyStats) update(ticks float64) {
	mean := l.sum / float64(l.answers)
	l.smoothed += (1 - math.Pow(1-smoothing, ticks)) * (mean - l.smoothed)
	l.min = min(mean, l.min+smoothing*(mean-l.min))
	l.answers = 0
	l.sum = 0
}

// adjust adjusts the limit for a number of ticks. slow is positive if the latency is above the target, and
// negative if it is below.
//
// A limit below 1 is meant for a node that many brokers use with a few requests each. While such a node is
// congested, the limit of each broker can fall to limitMax divided by the number of brokers. Pauses, flushes
// and large requests of a healthy node do not count as congestion, because some of its answers are fast. As a
// trade-off, a congested node loses throughput if only a few of many brokers use it.
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
