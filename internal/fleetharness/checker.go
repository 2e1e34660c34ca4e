package fleetharness

import (
	"fmt"
	"slices"
	"time"
)

const (
	// attemptOverlap is how long two attempts of one request must both be open to count as concurrent. The kernel
	// delivers packets of two connections on two processors, so on a busy machine the end of one connection may arrive
	// later than data that was written afterwards on another. This process may also read a canceled attempt after the
	// attempt that followed it. A shorter value reports violations on a busy machine that no broker caused. A longer
	// value misses short overlaps.
	attemptOverlap = 50 * time.Millisecond
	// maxAnswerDelay is how long after the deadline an answer may arrive on a machine that hundreds of processes share.
	// The protocol allows less; the report counts answers that are late by the protocol.
	maxAnswerDelay = 500 * time.Millisecond
	// drainGrace is how long a broker may still send to a node after the broker was notified that the node drains.
	drainGrace = 2 * time.Second
	// drainSlack is the allowed time from a broker's decision to send a request until the node has read the request.
	drainSlack = 50 * time.Millisecond
)

// Violation describes a broken rule.
type Violation struct {
	Rule  string `json:"rule"`
	At    string `json:"at"`
	Trace string `json:"story"`
}

// addViolation records a broken rule, with the trace of s unless s is nil. The caller must hold r.mu.
func (r *recorder) addViolation(rule string, s *request) {
	if len(r.violations) >= maxViolations {
		return
	}
	v := Violation{Rule: rule, At: fmt.Sprintf("%.3f s", (Now() - r.startedAt).Seconds())}
	if s != nil {
		v.Trace = r.describe(s)
	}
	r.violations = append(r.violations, v)
}

// reportViolation is like addViolation, but acquires r.mu.
func (r *recorder) reportViolation(rule string, s *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(rule, s)
}

// violationsSoFar returns the violations recorded so far, nil if there are none.
func (r *recorder) violationsSoFar() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// attemptArrived records that a node has read a complete request. It checks that no other attempt of the request is
// open, and that a request that is not idempotent has not run before. It returns nil for a request that no client sent.
func (r *recorder) attemptArrived(id string, a attempt) *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.requests[id]
	if s == nil {
		r.addViolation("a request that no client sent: "+id, nil)
		return nil
	}
	for i := range s.attempts {
		old := &s.attempts[i]
		if old.endedAt == 0 && !old.conn.ended() {
			r.checkOverlap(s, old.conn, a.conn)
		}
		if s.write && old.mayHaveRun {
			r.addViolation("an unsafe request written whole was sent again", s)
		}
	}
	a.mayHaveRun = true
	s.attempts = append(s.attempts, a)
	return s
}

// checkOverlap records a violation if both connections are still open after attemptOverlap.
func (r *recorder) checkOverlap(s *request, first, second *nodeConn) {
	time.AfterFunc(attemptOverlap, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !first.ended() && !second.ended() {
			r.addViolation("two attempts out", s)
		}
	})
}

// checkDrain records a violation if a broker sends to a node more than drainGrace after the broker was notified of the
// drain.
func (f *Fleet) checkDrain(n *fakeNode, broker int, s *request, now time.Duration) {
	notifiedAt := f.discovery.drainNotified(n.name, broker)
	if notifiedAt > 0 && now-notifiedAt > drainGrace+drainSlack {
		f.recorder.reportViolation(n.name+" was sent to after its drain", s)
	}
}

// checkAtEnd checks the rules that can be judged only after all requests have ended.
func (r *recorder) checkAtEnd() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sequence {
		switch {
		case s.excused, s.outcome == OutcomeCut:
		case s.answeredAt == 0 || s.outcome == OutcomeLost:
			r.addViolation("no final answer", s)
		case s.answeredAt > s.sentAt+s.deadline+maxAnswerDelay:
			r.addViolation("a late answer", s)
		case s.closedUnanswered:
			r.addViolation("a connection closed without an answer", s)
		}
		if s.outcome == OutcomeRejected && s.write && s.mayHaveRun() {
			r.addViolation("a refusal for a write that may have run", s)
		}
	}
}

func (s *request) mayHaveRun() bool {
	return slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.mayHaveRun })
}
