package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the result of a request from its client's point of view.
type Outcome int

// The outcomes. Served, Rejected and Failed are answers of the broker. Lost means that the client could not connect, or
// gave up well after the request's deadline. Closed means that the connection broke before the answer was complete.
const (
	Served Outcome = iota
	Rejected
	Failed
	Lost
	Closed
	Unsent // all connections that the client may open were in use
	outcomeCount
)

// outcomeNames lists the names that reports print. "busy" is the protocol's word for Rejected.
var outcomeNames = [outcomeCount]string{"served", "busy", "failed", "lost", "closed", "unsent"}

// String returns the outcome's name in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// answered reports whether the broker sent a complete answer.
func (o Outcome) answered() bool { return o < Lost }

const (
	// maxLatencyMicros is the largest latency that a histogram can record, 100 s in µs. It is above any deadline plus
	// grace. Longer latencies are recorded as this value.
	maxLatencyMicros = 100_000_000
	// latencyDigits is the number of significant decimal digits of a recorded latency. It gives an error of 0.1 % and
	// takes some 100 kB per histogram.
	latencyDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// clampMicros returns a latency in µs, limited to the range of a histogram, so that recording it cannot fail.
func clampMicros(latency time.Duration) int64 {
	return max(1, min(latency.Microseconds(), maxLatencyMicros))
}

// Stats counts the outcomes of requests. Latencies are measured in µs from the intended time of a request. They are
// recorded for all requests that the broker answered.
type Stats struct {
	Counts           [outcomeCount]int // by Outcome
	Late             int               // requests answered after the deadline, measured from the actual sending
	Latency          *hdrhistogram.Histogram
	RejectionLatency *hdrhistogram.Histogram // of rejected requests only
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

// Sent returns the number of requests with an outcome, including those that are Unsent.
func (s *Stats) Sent() int {
	sum := 0
	for _, n := range s.Counts {
		sum += n
	}
	return sum
}

// Result holds the measurements of a run.
type Result struct {
	Traffic         Traffic
	StartedAt       time.Time
	All             *Stats
	ByClass         []*Stats
	ByPlan          []*Stats
	LatencyBySecond []*hdrhistogram.Histogram // one per second of the run, by intended time
	MaxSendLag      time.Duration             // largest delay between the intended and the actual sending of a request
	Dials           int                       // number of attempts to open a connection
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

// add counts a request in the totals, in its class, in its plan and in its second.
func (r *Result) add(a Arrival, outcome Outcome, latency time.Duration, late bool) {
	r.All.add(outcome, latency, late)
	r.ByClass[a.Class].add(outcome, latency, late)
	r.ByPlan[a.Plan].add(outcome, latency, late)
	if outcome.answered() {
		second := int(a.At / time.Second)
		_ = r.LatencyBySecond[second].RecordValue(clampMicros(latency))
	}
}
