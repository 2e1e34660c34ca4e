package fleetharness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// maxViolations bounds the recorded violations. A rule that is broken once is usually broken for every request.
	maxViolations = 100
	// maxLogLines bounds the recorded log lines, which take about 200 bytes each.
	maxLogLines = 200_000
	// traceMargin is how long before and after a request the log lines of its broker are included in its trace.
	traceMargin = time.Second
)

// Outcome is how a request ended for its client. Reports print the values.
type Outcome string

// The outcomes of a request.
const (
	OutcomeServed   Outcome = "served"
	OutcomeRejected Outcome = "busy"
	OutcomeFailed   Outcome = "failed"
	OutcomeLost     Outcome = "lost" // the client received no complete answer
	OutcomeCut      Outcome = "cut"  // the client did not send the request completely, so no answer is required
)

// attempt is a request as one node received it.
type attempt struct {
	node, broker int
	arrivedAt    time.Duration
	conn         *nodeConn
	endedAt      time.Duration // when it was answered or its connection was found closed; 0 before
	mayHaveRun   bool          // the node did not reject it
	counted      bool          // TakeAttemptCounts has counted it
}

// request records the path of one request through client, broker and nodes.
type request struct {
	id               string
	broker           int
	write            bool
	units            float64
	sentAt           time.Duration
	deadline         time.Duration // relative to sentAt
	answeredAt       time.Duration // 0 if not answered
	outcome          Outcome
	closedUnanswered bool // its connection was closed without an answer
	attempts         []attempt
	excused          bool // its broker was down when it was sent or while it was pending
}

// recorder stores all requests and log lines of one run on one time axis.
type recorder struct {
	seed uint64

	mu         sync.Mutex // guards the fields below
	startedAt  time.Duration
	requests   map[string]*request
	sequence   []*request // in the order in which they were sent
	violations []Violation
	logs       []LogLine
	lineAdded  chan struct{} // closed when the next line is added; nil if no goroutine waits
}

func newRecorder(seed uint64) *recorder {
	return &recorder{seed: seed, startedAt: Now(), requests: map[string]*request{}}
}

// start returns the origin of the time axis.
func (r *recorder) start() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}

// moveStart moves the origin of the time axis. Recorded lines keep their absolute time, so their At becomes negative.
func (r *recorder) moveStart(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.logs {
		r.logs[i].At -= at - r.startedAt
	}
	r.startedAt = at
}

// addRequest records a request that is about to be sent.
func (r *recorder) addRequest(s *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[s.id] = s
	r.sequence = append(r.sequence, s)
}

// attemptEnded records the end of a request's open attempts at a node.
func (r *recorder) attemptEnded(s *request, node int, mayHaveRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range s.attempts {
		a := &s.attempts[i]
		if a.node == node && a.endedAt == 0 {
			a.endedAt = Now()
			a.mayHaveRun = mayHaveRun
		}
	}
}

// requestEnded records the outcome of a request.
func (r *recorder) requestEnded(s *request, result Outcome, closedUnanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answeredAt = Now()
	s.outcome = result
	s.closedUnanswered = closedUnanswered
}

// outcomeOf returns the outcome of a request.
func (r *recorder) outcomeOf(s *request) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.outcome
}

// excuse marks a broker's pending requests as excused, because the broker is terminated or stopped and may lose them.
func (r *recorder) excuse(broker int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sequence {
		if s.broker == broker && s.answeredAt == 0 {
			s.excused = true
		}
	}
}

// describe returns the trace of one request through all processes. The caller must hold r.mu.
func (r *recorder) describe(s *request) string {
	var b strings.Builder
	at := func(t time.Duration) string { return fmt.Sprintf("%.4f", (t - r.startedAt).Seconds()) }
	_, _ = fmt.Fprintf(&b, "seed %d, request %s, write %v, %g units: sent to %s at %s with %v",
		r.seed, s.id, s.write, s.units, brokerName(s.broker), at(s.sentAt), s.deadline)
	for _, a := range s.attempts {
		_, _ = fmt.Fprintf(&b, "; at %s from %s at %s", nodeName(a.node), brokerName(a.broker), at(a.arrivedAt))
		if a.endedAt > 0 {
			_, _ = fmt.Fprintf(&b, " until %s", at(a.endedAt))
		}
	}
	if s.answeredAt > 0 {
		_, _ = fmt.Fprintf(&b, "; %s at %s", s.outcome, at(s.answeredAt))
	}
	first := s.sentAt - traceMargin - r.startedAt
	last := s.sentAt + s.deadline + traceMargin - r.startedAt
	for _, l := range r.logs {
		if l.Process == brokerName(s.broker) && l.At > first && l.At < last {
			_, _ = fmt.Fprintf(&b, "; %s: %s %v at %.4f", l.Process, l.Message, l.Attributes, l.At.Seconds())
		}
	}
	return b.String()
}

// DescribeUnserved returns the traces of at most maxOfEach requests for each outcome other than served.
func (f *Fleet) DescribeUnserved(maxOfEach int) []string {
	r := f.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	var traces []string
	count := map[Outcome]int{}
	for _, s := range r.sequence {
		if s.outcome == OutcomeServed || s.excused || count[s.outcome] >= maxOfEach {
			continue
		}
		count[s.outcome]++
		traces = append(traces, string(s.outcome)+": "+r.describe(s))
	}
	return traces
}
