package conformance

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// behavior is what a fake node does with one attempt of a request.
type behavior int

const (
	serve               behavior = iota
	rejectBusy                   // answers that it is overloaded
	hang                         // takes the request whole and says nothing
	closeMidRequest              // ends the connection before the request is whole
	corruptAnswer                // runs the request, answers what cannot be read and keeps the connection
	duplicateAnswer              // answers and sends a second copy right behind
	closeAfterExecution          // runs the request and ends the connection without an answer
	trickle                      // answers piece by piece without end, where the protocol has such answers; else hangs
)

// script says what a node does with an attempt; earlier counts the attempts of the request before it.
type script func(node, id string, earlier int) behavior

// always plays one behavior for each attempt.
func always(b behavior) script {
	return func(string, string, int) behavior { return b }
}

// firstAttempt plays one behavior for the first attempt of each request and serves the later ones.
func firstAttempt(b behavior) script {
	return func(_, _ string, earlier int) behavior {
		if earlier == 0 {
			return b
		}
		return serve
	}
}

// recorder keeps what all fake nodes saw and checks it by the rules.
type recorder struct {
	mu         sync.Mutex
	changed    *sync.Cond
	script     script
	attempts   []*attempt
	effects    map[string]int       // how often each request had its effect
	drainedAt  map[string]time.Time // when the broker was notified that a node drains
	violations []string
}

// attempt is one attempt as its node saw it.
type attempt struct {
	recorder *recorder
	node, id string
	over     bool
}

func newRecorder() *recorder {
	r := &recorder{effects: map[string]int{}, drainedAt: map[string]time.Time{}}
	r.changed = sync.NewCond(&r.mu)
	r.play(always(serve))
	return r
}

// play starts a scenario: what was seen before does not count.
func (r *recorder) play(s script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
	r.attempts = nil
	r.effects = map[string]int{}
}

// waitLimit is how long a check waits for an event that is on its way over another socket.
const waitLimit = 2 * time.Second

// begin records an attempt and returns what to do with it. An earlier attempt of the same request must be over, or end
// at once: its close may still be on its way.
func (r *recorder) begin(node, id string) (*attempt, behavior) {
	r.mu.Lock()
	defer r.mu.Unlock()
	earlier := 0
	for _, a := range r.attempts {
		if a.id != id {
			continue
		}
		earlier++
		if !r.await(func() bool { return a.over }) {
			r.violation("two attempts of %s at once, at %s and %s", id, a.node, node)
		}
	}
	a := &attempt{recorder: r, node: node, id: id}
	r.attempts = append(r.attempts, a)
	r.checkDrain(node)
	r.changed.Broadcast()
	return a, r.script(node, id, earlier)
}

// checkDrain checks a message to a node by the rule on draining, with r.mu held.
func (r *recorder) checkDrain(node string) {
	at, drained := r.drainedAt[node]
	if drained && time.Since(at) > drainGrace+slack {
		r.violation("sent to %s %v after it was told to drain", node, time.Since(at))
	}
}

// message records a further message of the attempt.
func (a *attempt) message() {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.recorder.checkDrain(a.node)
}

// apply records that the request had its effect.
func (a *attempt) apply() {
	r := a.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects[a.id]++
	if r.effects[a.id] > 1 {
		r.violation("%s had its effect %d times", a.id, r.effects[a.id])
	}
}

// end records that the node has no more to do with the attempt.
func (a *attempt) end() {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.over = true
	a.recorder.changed.Broadcast()
}

// violation records a broken rule, with r.mu held.
func (r *recorder) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// await waits until condition is true, with r.mu held.
func (r *recorder) await(condition func() bool) bool {
	end := time.Now().Add(waitLimit)
	timer := time.AfterFunc(waitLimit, r.changed.Broadcast)
	defer timer.Stop()
	for !condition() && time.Now().Before(end) {
		r.changed.Wait()
	}
	return condition()
}

// awaitAttempts waits until so many attempts of a request were seen.
func (r *recorder) awaitAttempts(t *testing.T, id string, count int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.await(func() bool { return r.count(id) >= count }) {
		t.Fatalf("%s was seen %d times, not %d", id, r.count(id), count)
	}
}

// count returns the attempts of a request, with r.mu held.
func (r *recorder) count(id string) int {
	n := 0
	for _, a := range r.attempts {
		if a.id == id {
			n++
		}
	}
	return n
}

// wantAttempts checks how often a request was sent.
func (r *recorder) wantAttempts(t *testing.T, id string, want int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.count(id); n != want {
		t.Errorf("%s was sent %d times, want %d", id, n, want)
	}
}

// seen returns the attempts seen so far.
func (r *recorder) seen() []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*attempt(nil), r.attempts...)
}

// check fails the test on any broken rule. Each request of results got one final answer, in time; one that was served
// or rejected has had its effect once or never.
func (r *recorder) check(t *testing.T, results []result) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.violations {
		t.Error(v)
	}
	for _, res := range results {
		if res.err != nil {
			t.Errorf("%s got no answer: %v", res.id, res.err)
		}
		if res.elapsed > res.deadline+slack {
			t.Errorf("%s was answered after %v of %v", res.id, res.elapsed, res.deadline)
		}
		effects := r.effects[res.id]
		if res.write && res.outcome == served && effects != 1 || res.outcome == rejected && effects != 0 {
			t.Errorf("%s was %s after %d effects", res.id, res.outcome, effects)
		}
	}
}

// outcome is the kind of a final answer.
type outcome string

const (
	served   outcome = "served"
	rejected outcome = "rejected"
	failed   outcome = "failed"
)

// result is what a fake client got for one request.
type result struct {
	id       string
	write    bool
	outcome  outcome
	deadline time.Duration
	elapsed  time.Duration
	err      error
}
