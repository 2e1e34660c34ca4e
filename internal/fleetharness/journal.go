package fleetharness

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Now reads the clock that all processes of the machine share.
func Now() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// attempt is what a node saw of a request.
type attempt struct {
	node, broker int
	arrivedAt    time.Duration
	conn         *nodeConn
	endedAt      time.Duration // answered, or its connection seen closed; 0 before
	mayHaveRun   bool          // it was not turned away
	counted      bool          // by Rig.Counts
}

// story is what became of one request.
type request struct {
	id               string
	broker           int
	write            bool
	units            float64
	sentAt           time.Duration
	deadline         time.Duration // a span
	answeredAt       time.Duration // 0 for never
	outcome          string
	closedUnanswered bool // its connection was closed without an answer
	attempts         []attempt
	excused          bool // its broker was killed or stopped meanwhile
}

// Violation is a broken rule.
type Violation struct {
	Rule  string `json:"rule"`
	At    string `json:"at"`
	Trace string `json:"story"`
}

// journal holds all stories and lines of one run, on one time axis.
type recorder struct {
	mu         sync.Mutex
	startedAt  time.Duration
	seed       uint64
	requests   map[string]*request
	sequence   []*request
	violations []Violation
	logs       []LogLine
	lineAdded  chan struct{} // closed with the next line, nil if nobody waits
}

// LogLine is a structured line of a process.
type LogLine struct {
	At         time.Duration     `json:"at"` // from the start
	Process    string            `json:"process"`
	Message    string            `json:"msg"`
	Attributes map[string]string `json:"keys,omitempty"`
}

// hasMessage reports whether a line has a message, alone or with values behind it.
func (l LogLine) hasMessage(message string) bool {
	return l.Message == message || strings.HasPrefix(l.Message, message+" ")
}

const (
	mostBreaches = 100
	mostLines    = 200_000
)

func (j *recorder) addViolation(rule string, s *request) {
	if len(j.violations) >= mostBreaches {
		return
	}
	b := Violation{Rule: rule, At: fmt.Sprintf("%.3f s", (Now() - j.startedAt).Seconds())}
	if s != nil {
		b.Trace = j.describe(s)
	}
	j.violations = append(j.violations, b)
}

// tell is the story of one request through every process.
func (j *recorder) describe(s *request) string {
	var b strings.Builder
	at := func(t time.Duration) string { return fmt.Sprintf("%.4f", (t - j.startedAt).Seconds()) }
	fmt.Fprintf(&b, "seed %d, request %s, write %v, %g units: sent to broker-%d at %s with %v", j.seed, s.id, s.write, s.units, s.broker, at(s.sentAt), s.deadline)
	for _, a := range s.attempts {
		fmt.Fprintf(&b, "; at node-%d from broker-%d at %s", a.node, a.broker, at(a.arrivedAt))
		if a.endedAt > 0 {
			fmt.Fprintf(&b, " until %s", at(a.endedAt))
		}
	}
	if s.answeredAt > 0 {
		fmt.Fprintf(&b, "; %s at %s", s.outcome, at(s.answeredAt))
	}
	for _, l := range j.logs {
		if name := fmt.Sprintf("broker-%d", s.broker); l.Process == name && l.At+j.startedAt > s.sentAt-time.Second && l.At+j.startedAt < s.sentAt+s.deadline+time.Second {
			fmt.Fprintf(&b, "; %s: %s %v at %.4f", name, l.Message, l.Attributes, l.At.Seconds())
		}
	}
	return b.String()
}

func (j *recorder) addRequest(s *request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.requests[s.id] = s
	j.sequence = append(j.sequence, s)
}

// overlap is how long the end of a connection may be on its way behind what was written after it: the kernel hands packets of two
// connections to two processors, and on a machine full of processes one of them is late. This process may be late too, and read
// an attempt that was called off behind the one that followed it: so both must stand open.
const attemptOverlap = 50 * time.Millisecond

// arrive notes a whole request at a node and checks that no other attempt of it is out, and none ran that must not run twice.
func (j *recorder) attemptArrived(id string, a attempt) *request {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.requests[id]
	if s == nil {
		j.addViolation("a request that no client sent: "+id, nil)
		return nil
	}
	for i := range s.attempts {
		old := &s.attempts[i]
		if old.endedAt == 0 && !old.conn.ended() {
			conn := old.conn
			time.AfterFunc(attemptOverlap, func() {
				j.mu.Lock()
				defer j.mu.Unlock()
				if !conn.ended() && !a.conn.ended() {
					j.addViolation("two attempts out", s)
				}
			})
		}
		if s.write && old.mayHaveRun {
			j.addViolation("an unsafe request written whole was sent again", s)
		}
	}
	a.mayHaveRun = true
	s.attempts = append(s.attempts, a)
	return s
}

// leave notes the end of a story's last attempt at a node.
func (j *recorder) attemptEnded(s *request, node int, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range s.attempts {
		if a := &s.attempts[i]; a.node == node && a.endedAt == 0 {
			a.endedAt, a.mayHaveRun = Now(), ran
		}
	}
}

func (j *recorder) requestEnded(s *request, verdict string, bare bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.answeredAt, s.outcome, s.closedUnanswered = Now(), verdict, bare
}

func (j *recorder) addLine(l LogLine) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.logs) < mostLines {
		j.logs = append(j.logs, l)
	}
	if j.lineAdded != nil {
		close(j.lineAdded)
		j.lineAdded = nil
	}
}

// begin has the axis begin at a time. Lines that came before keep their moment: they stand below 0.
func (j *recorder) moveStart(at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.logs {
		j.logs[i].At -= at - j.startedAt
	}
	j.startedAt = at
}

// heard is closed with the next line; the caller holds j.mu.
func (j *recorder) nextLine() <-chan struct{} {
	if j.lineAdded == nil {
		j.lineAdded = make(chan struct{})
	}
	return j.lineAdded
}

// Lines waits for nothing: it returns what processes have said so far whose text is msg.
func (j *recorder) linesWith(msg string) []LogLine {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(j.logs), func(l LogLine) bool { return !l.hasMessage(msg) })
}

// answerSlack is how late an answer may come on a machine that hundreds of processes share; what the protocol allows is less, and
// the report counts what is late by it.
const maxAnswerDelay = 500 * time.Millisecond

// finish checks what can only be told at the end.
func (j *recorder) checkAtEnd() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.sequence {
		switch {
		case s.excused, s.outcome == outcomeCut:
		case s.answeredAt == 0 || s.outcome == "lost":
			j.addViolation("no final answer", s)
		case s.answeredAt > s.sentAt+s.deadline+maxAnswerDelay:
			j.addViolation("a late answer", s)
		case s.closedUnanswered:
			j.addViolation("a connection closed without an answer", s)
		}
		if s.outcome == "busy" && s.write && slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.mayHaveRun }) {
			j.addViolation("a refusal for a write that may have run", s)
		}
	}
}
