package fleetharness

import (
	"fmt"
	"slices"
	"time"
)

const (
	// attemptOverlap is how long the end of a connection may be on its way behind what was written after it: the kernel
	// hands packets of two connections to two processors, and on a machine full of processes one of them is late. This
	// process may be late too, and read an attempt that was cancelled behind the one that followed it. So two attempts
	// count as out at once only if both connections still stand after this span. Shorter, a busy machine shows
	// violations that no broker made; longer, a short overlap stays unseen.
	attemptOverlap = 50 * time.Millisecond
	// maxAnswerDelay is how late an answer may come on a machine that hundreds of processes share. The protocol allows
	// less; the report counts what is late by it.
	maxAnswerDelay = 500 * time.Millisecond
	// drainGrace is for how long a broker may send to a node after it was notified that the node drains.
	drainGrace = 2 * time.Second
	// drainSlack is how long a request may be on its way from the broker's decision to the node's reading of it.
	drainSlack = 50 * time.Millisecond
)

// Violation is a broken rule.
type Violation struct {
	Rule  string `json:"rule"`
	At    string `json:"at"`
	Trace string `json:"story"`
}

// addViolation records a broken rule, with the request's trace unless it is nil; r.mu is held.
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

// reportViolation is addViolation for those who do not hold r.mu.
func (r *recorder) reportViolation(rule string, s *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(rule, s)
}

// violationsSoFar returns what was broken up to now, nil for nothing.
func (r *recorder) violationsSoFar() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.violations)
}

// attemptArrived records a complete request at a node, and checks that no other attempt of it is out, and that none
// ran which must not run twice. It returns nil for a request that no client sent.
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

// checkOverlap records a violation if both connections still stand after attemptOverlap.
func (r *recorder) checkOverlap(s *request, first, second *nodeConn) {
	time.AfterFunc(attemptOverlap, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !first.ended() && !second.ended() {
			r.addViolation("two attempts out", s)
		}
	})
}

// checkDrain checks that nothing goes to a node drainGrace after its broker was notified that it drains.
func (f *Fleet) checkDrain(n *fakeNode, broker int, s *request, now time.Duration) {
	notifiedAt := f.discovery.drainNotified(n.name, broker)
	if notifiedAt > 0 && now-notifiedAt > drainGrace+drainSlack {
		f.recorder.reportViolation(n.name+" was sent to after its drain", s)
	}
}

// checkAtEnd checks what is known only once all requests have ended.
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
