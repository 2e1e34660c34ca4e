package fleetharness

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// protocolSlack is how long after a request's deadline the protocol still allows an answer.
	protocolSlack = 58 * time.Millisecond
	// maxLatencyMicros is the largest latency that a histogram records, 100 s in µs. Longer latencies are recorded as
	// this value.
	maxLatencyMicros = 100_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency.
	latencyDigits = 3
)

// Phase holds the figures of an interval in which no event begins or ends. A request belongs to the phase in which it
// was sent.
type Phase struct {
	FromS       float64 `json:"from_s"`
	ToS         float64 `json:"to_s"`
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	InObjective int     `json:"in_aim"`
	Rejected    int     `json:"busy"`
	Failed      int     `json:"failed"`
	Lost        int     `json:"lost"`
	// Excluded counts requests that were sent or pending while their broker was down, and requests that their client
	// did not send completely. No other field counts these requests.
	Excluded      int     `json:"broker_down"`
	Late          int     `json:"late"` // answered more than protocolSlack after the deadline
	P50           int64   `json:"p50_us"`
	P99           int64   `json:"p99_us"`
	MaxOverMean   float64 `json:"fullest_over_mean"` // largest number of attempts at a node, divided by the mean
	WorstSecond   float64 `json:"worst_second"`      // largest MaxOverMean of a single second
	IdleNodes     int     `json:"idle_nodes"`
	WorstSecondAt string  `json:"worst_at"`
	// RandomWorstSecond is the median WorstSecond over draws in which each request goes to a random usable node.
	RandomWorstSecond float64 `json:"random_worst_second"`
}

// phaseReport returns the figures of the interval between two times, in seconds.
func (f *Fleet) phaseReport(from, to float64) Phase {
	p := Phase{FromS: from, ToS: to}
	f.recorder.mu.Lock()
	f.recorder.countOutcomes(&p)
	counts := f.attemptsBetween(from, to)
	bySecond := f.attemptsBySecond(from, to)
	startedAt := f.recorder.startedAt
	f.recorder.mu.Unlock()

	p.MaxOverMean, p.IdleNodes = maxOverMean(counts)
	for _, n := range f.nodes {
		if (n.startedAt - startedAt).Seconds() >= to {
			p.IdleNodes-- // the node joined later
		}
	}
	p.RandomWorstSecond = f.randomWorstSecond(from, bySecond)
	for i, second := range bySecond {
		ratio, _ := maxOverMean(second)
		if ratio > p.WorstSecond {
			p.WorstSecond = ratio
			fullest := f.nodes[slices.Index(second, slices.Max(second))]
			p.WorstSecondAt = fmt.Sprintf("%s at %g s", fullest.name, from+float64(i))
		}
	}
	return p
}

// countOutcomes counts the outcomes of the requests that were sent within a phase. The caller must hold r.mu.
func (r *recorder) countOutcomes(p *Phase) {
	latency := hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	for _, s := range r.sequence {
		sentAt := (s.sentAt - r.startedAt).Seconds()
		if sentAt < p.FromS || sentAt >= p.ToS {
			continue
		}
		if s.excused || s.outcome == OutcomeCut {
			p.Excluded++
			continue
		}
		p.Sent++
		if !p.countAnswer(s) {
			p.Lost++
			continue
		}
		micros := (s.answeredAt - s.sentAt).Microseconds()
		_ = latency.RecordValue(max(1, min(micros, maxLatencyMicros)))
	}
	p.P50 = latency.ValueAtPercentile(50)
	p.P99 = latency.ValueAtPercentile(99)
}

// countAnswer counts a request by its answer. It returns false if the request was not answered.
func (p *Phase) countAnswer(s *request) bool {
	took := s.answeredAt - s.sentAt
	switch s.outcome {
	case OutcomeServed:
		p.Served++
		if took <= readObjective {
			p.InObjective++
		}
	case OutcomeRejected:
		p.Rejected++
	case OutcomeFailed:
		p.Failed++
	default:
		return false
	}
	if took > s.deadline+protocolSlack {
		p.Late++
	}
	return true
}

// nodeIndexes maps the numbers of nodes to their indexes in Fleet.nodes, which differ for nodes that joined later.
func (f *Fleet) nodeIndexes() map[int]int {
	indexes := map[int]int{}
	for i, n := range f.nodes {
		indexes[n.number] = i
	}
	return indexes
}

// eachAttempt calls do for each attempt between two times that a node accepted, with the index of the node and the
// time in seconds. The caller must hold the recorder's lock.
func (f *Fleet) eachAttempt(from, to float64, do func(index int, at float64)) {
	indexes := f.nodeIndexes()
	for _, s := range f.recorder.sequence {
		for _, a := range s.attempts {
			at := (a.arrivedAt - f.recorder.startedAt).Seconds()
			if at >= from && at < to && a.mayHaveRun {
				do(indexes[a.node], at)
			}
		}
	}
}

// attemptsBetween counts the attempts at each node between two times. The caller must hold the recorder's lock.
func (f *Fleet) attemptsBetween(from, to float64) []int {
	counts := make([]int, len(f.nodes))
	f.eachAttempt(from, to, func(index int, _ float64) { counts[index]++ })
	return counts
}

// attemptsBySecond is like attemptsBetween, but counts each full second separately. The caller must hold the recorder's
// lock.
func (f *Fleet) attemptsBySecond(from, to float64) [][]int {
	bySecond := make([][]int, max(1, int(to-from)))
	for i := range bySecond {
		bySecond[i] = make([]int, len(f.nodes))
	}
	f.eachAttempt(from, to, func(index int, at float64) {
		if second := int(at - from); second < len(bySecond) {
			bySecond[second][index]++
		}
	})
	return bySecond
}
