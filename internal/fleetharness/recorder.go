package fleetharness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// maxViolations bounds the violations that are kept: a rule that is broken once is mostly broken for each request.
	maxViolations = 100
	// maxLogLines bounds the lines that are kept, at some 200 bytes each.
	maxLogLines = 200_000
	// traceMargin is how long before and after a request its broker's log lines belong to its trace.
	traceMargin = time.Second
)

// Outcome is what a client made of an answer, as reports print it.
type Outcome string

// The outcomes of a request.
const (
	OutcomeServed   Outcome = "served"
	OutcomeRejected Outcome = "busy"
	OutcomeFailed   Outcome = "failed"
	OutcomeLost     Outcome = "lost" // no complete answer
	OutcomeCut      Outcome = "cut"  // the client did not send it completely: it is owed nothing
)

// attempt is what a node saw of a request.
type attempt struct {
	node, broker int
	arrivedAt    time.Duration
	conn         *nodeConn
	endedAt      time.Duration // answered, or its connection seen closed; 0 before
	mayHaveRun   bool          // it was not rejected
	counted      bool          // by TakeAttemptCounts
}

// request is one request's way through client, broker and nodes.
type request struct {
	id               string
	broker           int
	write            bool
	units            float64
	sentAt           time.Duration
	deadline         time.Duration // a span
	answeredAt       time.Duration // 0 for never
	outcome          Outcome
	closedUnanswered bool // its connection was closed without an answer
	attempts         []attempt
	excused          bool // its broker was killed or stopped meanwhile
}

// recorder holds all requests and log lines of one run, on one time axis.
type recorder struct {
	seed uint64

	mu         sync.Mutex // guards what follows
	startedAt  time.Duration
	requests   map[string]*request
	sequence   []*request // in the order of sending
	violations []Violation
	logs       []LogLine
	lineAdded  chan struct{} // closed with the next line; nil if nobody waits
}

func newRecorder(seed uint64) *recorder {
	return &recorder{seed: seed, startedAt: Now(), requests: map[string]*request{}}
}

// start is where the time axis begins.
func (r *recorder) start() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}

// moveStart has the time axis begin at a time. Lines that came before keep their moment: they stand below 0.
func (r *recorder) moveStart(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.logs {
		r.logs[i].At -= at - r.startedAt
	}
	r.startedAt = at
}

// addRequest records a request that is being sent.
func (r *recorder) addRequest(s *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[s.id] = s
	r.sequence = append(r.sequence, s)
}

// attemptEnded records the end of a request's last attempt at a node.
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

// requestEnded records what a client made of its answer.
func (r *recorder) requestEnded(s *request, result Outcome, closedUnanswered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.answeredAt = Now()
	s.outcome = result
	s.closedUnanswered = closedUnanswered
}

// outcomeOf returns what a client made of its answer.
func (r *recorder) outcomeOf(s *request) Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.outcome
}

// excuse marks requests that a broker's own end or stop may lose.
func (r *recorder) excuse(broker int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sequence {
		if s.broker == broker && s.answeredAt == 0 {
			s.excused = true
		}
	}
}

// describe is the trace of one request through every process; r.mu is held.
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

// DescribeUnserved returns the traces of up to so many requests of each outcome other than served.
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
