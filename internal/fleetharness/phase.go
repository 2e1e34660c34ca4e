package fleetharness

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// protocolSlack is how late after its deadline an answer may come by the protocol.
	protocolSlack = 58 * time.Millisecond
	// maxLatencyMicros is the largest latency that a histogram holds, 100 s in µs; longer ones count as this.
	maxLatencyMicros = 100_000_000
	// latencyDigits are the significant decimal digits of a latency.
	latencyDigits = 3
)

// Phase is a stretch between two events, by the time at which requests were sent.
type Phase struct {
	FromS       float64 `json:"from_s"`
	ToS         float64 `json:"to_s"`
	Sent        int     `json:"sent"`
	Served      int     `json:"served"`
	InObjective int     `json:"in_aim"`
	Rejected    int     `json:"busy"`
	Failed      int     `json:"failed"`
	Lost        int     `json:"lost"`
	// Excluded are those whose broker was ended or stopped meanwhile, or whose client broke off.
	// They count nowhere else.
	Excluded      int     `json:"broker_down"`
	Late          int     `json:"late"` // answered after the deadline and protocolSlack
	P50           int64   `json:"p50_us"`
	P99           int64   `json:"p99_us"`
	MaxOverMean   float64 `json:"fullest_over_mean"` // attempts at the node with most, over the mean
	WorstSecond   float64 `json:"worst_second"`      // the same of the worst second
	IdleNodes     int     `json:"idle_nodes"`
	WorstSecondAt string  `json:"worst_at"`
	// RandomWorstSecond is WorstSecond had each request gone to a random node of those that could be used.
	RandomWorstSecond float64 `json:"random_worst_second"`
}

// phaseReport counts the stretch between two times, in seconds.
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
			p.IdleNodes-- // it joined later
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

// countOutcomes counts what became of the requests that were sent within a phase; r.mu is held.
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

// countAnswer counts a request by its answer, and reports false if it had none.
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

// nodeIndexes are the indexes in Fleet.nodes by the nodes' numbers: one that joined later has a number of its own.
func (f *Fleet) nodeIndexes() map[int]int {
	indexes := map[int]int{}
	for i, n := range f.nodes {
		indexes[n.number] = i
	}
	return indexes
}

// eachAttempt passes on the attempts between two times that nodes accepted: the node's index, and the time in seconds;
// the recorder's lock is held.
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

// attemptsBetween counts the attempts at each node between two times; the recorder's lock is held.
func (f *Fleet) attemptsBetween(from, to float64) []int {
	counts := make([]int, len(f.nodes))
	f.eachAttempt(from, to, func(index int, _ float64) { counts[index]++ })
	return counts
}

// attemptsBySecond is attemptsBetween for each full second; the recorder's lock is held.
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
