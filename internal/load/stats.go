package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what became of a request at its client.
type Outcome int

// The outcomes. The first three are answers of the broker. With Lost the client found no connection or gave up well
// after its deadline; with Closed its connection was closed behind the request that it had sent completely.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost
	Closed
	Unsent // the client had as many connections as it may have
	outcomeCount
)

// outcomeNames are what reports print; "busy" is the protocol's word for Rejected.
var outcomeNames = [outcomeCount]string{"served", "busy", "failed", "lost", "closed", "unsent"}

// String returns the name that reports print.
func (o Outcome) String() string { return outcomeNames[o] }

// answered reports whether the broker gave a complete answer.
func (o Outcome) answered() bool { return o < Lost }

const (
	// maxLatencyMicros is the largest latency that a histogram holds, 100 s in µs: above any deadline with its grace.
	// Longer ones count as this.
	maxLatencyMicros = 100_000_000
	// latencyDigits are the significant decimal digits of a latency: an error of 0.1 %, at some 100 kB a histogram.
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// clampMicros is a latency in µs within what a histogram holds, so that recording it cannot fail.
func clampMicros(latency time.Duration) int64 {
	return max(1, min(latency.Microseconds(), maxLatencyMicros))
}

// Stats counts what became of requests. Latencies, in µs, count from the intended time of a request and are of all
// that the broker answered.
type Stats struct {
	Counts           [outcomeCount]int // by Outcome
	Late             int               // of the answered: after the deadline, counted from the sending
	Latency          *hdrhistogram.Histogram
	RejectionLatency *hdrhistogram.Histogram // of the rejected alone
}

func newStats() *Stats {
	return &Stats{Latency: newHistogram(), RejectionLatency: newHistogram()}
}

func newStatsList(n int) []*Stats {
	list := make([]*Stats, n)
	for i := range list {
		list[i] = newStats()
	}
	return list
}

func (s *Stats) add(outcome Outcome, latency time.Duration, late bool) {
	s.Counts[outcome]++
	if !outcome.answered() {
		return
	}
	if late {
		s.Late++
	}
	micros := clampMicros(latency)
	_ = s.Latency.RecordValue(micros)
	if outcome == Rejected {
		_ = s.RejectionLatency.RecordValue(micros)
	}
}

// Sent returns how many requests were to be sent.
func (s *Stats) Sent() int {
	sum := 0
	for _, n := range s.Counts {
		sum += n
	}
	return sum
}

// Result is what a run came to.
type Result struct {
	Traffic         Traffic
	StartedAt       time.Time
	All             *Stats
	ByClass         []*Stats
	ByPlan          []*Stats
	LatencyBySecond []*hdrhistogram.Histogram // of each second of the run, by intended time
	MaxSendLag      time.Duration             // the latest that a request was sent after its time
	Dials           int
}

func newResult(traffic Traffic) *Result {
	r := &Result{
		Traffic:   traffic,
		StartedAt: time.Now(),
		All:       newStats(),
		ByClass:   newStatsList(len(traffic.Classes)),
		ByPlan:    newStatsList(len(traffic.Plans)),
	}
	for range int(math.Ceil(traffic.Duration.Seconds())) {
		r.LatencyBySecond = append(r.LatencyBySecond, newHistogram())
	}
	return r
}

// add counts a request wherever it belongs.
func (r *Result) add(a Arrival, outcome Outcome, latency time.Duration, late bool) {
	r.All.add(outcome, latency, late)
	r.ByClass[a.Class].add(outcome, latency, late)
	r.ByPlan[a.Plan].add(outcome, latency, late)
	if outcome.answered() {
		second := int(a.At / time.Second)
		_ = r.LatencyBySecond[second].RecordValue(clampMicros(latency))
	}
}
