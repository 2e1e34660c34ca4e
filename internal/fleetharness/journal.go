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
	at           time.Duration
	conn         *nodeConn
	ended        time.Duration // answered, or its connection seen closed; 0 before
	ran          bool          // it was not turned away
	counted      bool          // by Rig.Counts
}

// story is what became of one request.
type story struct {
	id        string
	broker    int
	write     bool
	units     float64
	sent      time.Duration
	deadline  time.Duration // a span
	answered  time.Duration // 0 for never
	verdict   string
	bare      bool // its connection was closed without an answer
	attempts  []attempt
	brokerEnd bool // its broker was killed or stopped meanwhile
}

// Breach is a broken rule.
type Breach struct {
	Rule  string `json:"rule"`
	At    string `json:"at"`
	Story string `json:"story"`
}

// journal holds all stories and lines of one run, on one time axis.
type journal struct {
	mu       sync.Mutex
	began    time.Duration
	seed     uint64
	stories  map[string]*story
	order    []*story
	breaches []Breach
	lines    []Line
	news     chan struct{} // closed with the next line, nil if nobody waits
}

// Line is a structured line of a process.
type Line struct {
	At      time.Duration     `json:"at"` // from the start
	Process string            `json:"process"`
	Text    string            `json:"msg"`
	Keys    map[string]string `json:"keys,omitempty"`
}

const (
	mostBreaches = 100
	mostLines    = 200_000
)

func (j *journal) breach(rule string, s *story) {
	if len(j.breaches) >= mostBreaches {
		return
	}
	b := Breach{Rule: rule, At: fmt.Sprintf("%.3f s", (Now() - j.began).Seconds())}
	if s != nil {
		b.Story = j.tell(s)
	}
	j.breaches = append(j.breaches, b)
}

// tell is the story of one request through every process.
func (j *journal) tell(s *story) string {
	var b strings.Builder
	at := func(t time.Duration) string { return fmt.Sprintf("%.4f", (t - j.began).Seconds()) }
	fmt.Fprintf(&b, "seed %d, request %s, write %v, %g units: sent to broker-%d at %s with %v", j.seed, s.id, s.write, s.units, s.broker, at(s.sent), s.deadline)
	for _, a := range s.attempts {
		fmt.Fprintf(&b, "; at node-%d from broker-%d at %s", a.node, a.broker, at(a.at))
		if a.ended > 0 {
			fmt.Fprintf(&b, " until %s", at(a.ended))
		}
	}
	if s.answered > 0 {
		fmt.Fprintf(&b, "; %s at %s", s.verdict, at(s.answered))
	}
	for _, l := range j.lines {
		if name := fmt.Sprintf("broker-%d", s.broker); l.Process == name && l.At+j.began > s.sent-time.Second && l.At+j.began < s.sent+s.deadline+time.Second {
			fmt.Fprintf(&b, "; %s: %s %v at %.4f", name, l.Text, l.Keys, l.At.Seconds())
		}
	}
	return b.String()
}

func (j *journal) send(s *story) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stories[s.id] = s
	j.order = append(j.order, s)
}

// overlap is how long the end of a connection may be on its way behind what was written after it: the kernel hands packets of two
// connections to two processors, and on a machine full of processes one of them is late. This process may be late too, and read
// an attempt that was called off behind the one that followed it: so both must stand open.
const overlap = 50 * time.Millisecond

// arrive notes a whole request at a node and checks that no other attempt of it is out, and none ran that must not run twice.
func (j *journal) arrive(id string, a attempt) *story {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := j.stories[id]
	if s == nil {
		j.breach("a request that no client sent: "+id, nil)
		return nil
	}
	for i := range s.attempts {
		old := &s.attempts[i]
		if old.ended == 0 && !old.conn.over() {
			conn := old.conn
			time.AfterFunc(overlap, func() {
				j.mu.Lock()
				defer j.mu.Unlock()
				if !conn.over() && !a.conn.over() {
					j.breach("two attempts out", s)
				}
			})
		}
		if s.write && old.ran {
			j.breach("an unsafe request written whole was sent again", s)
		}
	}
	a.ran = true
	s.attempts = append(s.attempts, a)
	return s
}

// leave notes the end of a story's last attempt at a node.
func (j *journal) leave(s *story, node int, ran bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range s.attempts {
		if a := &s.attempts[i]; a.node == node && a.ended == 0 {
			a.ended, a.ran = Now(), ran
		}
	}
}

func (j *journal) answer(s *story, verdict string, bare bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s.answered, s.verdict, s.bare = Now(), verdict, bare
}

func (j *journal) line(l Line) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.lines) < mostLines {
		j.lines = append(j.lines, l)
	}
	if j.news != nil {
		close(j.news)
		j.news = nil
	}
}

// begin has the axis begin at a time. Lines that came before keep their moment: they stand below 0.
func (j *journal) begin(at time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.lines {
		j.lines[i].At -= at - j.began
	}
	j.began = at
}

// heard is closed with the next line; the caller holds j.mu.
func (j *journal) heard() <-chan struct{} {
	if j.news == nil {
		j.news = make(chan struct{})
	}
	return j.news
}

// Lines waits for nothing: it returns what processes have said so far whose text is msg.
func (j *journal) said(msg string) []Line {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(j.lines), func(l Line) bool { return l.Text != msg })
}

// answerSlack is how late an answer may come on a machine that hundreds of processes share; what the protocol allows is less, and
// the report counts what is late by it.
const answerSlack = 500 * time.Millisecond

// finish checks what can only be told at the end.
func (j *journal) finish() {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, s := range j.order {
		switch {
		case s.brokerEnd, s.verdict == cut:
		case s.answered == 0 || s.verdict == "lost":
			j.breach("no final answer", s)
		case s.answered > s.sent+s.deadline+answerSlack:
			j.breach("a late answer", s)
		case s.bare:
			j.breach("a connection closed without an answer", s)
		}
		if s.verdict == "busy" && s.write && slices.ContainsFunc(s.attempts, func(a attempt) bool { return a.ran }) {
			j.breach("a refusal for a write that may have run", s)
		}
	}
}
