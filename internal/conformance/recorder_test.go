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
	rejectBusy                   // answers that it is overloaded, without executing the request
	hang                         // receives the whole request and does not answer
	closeMidRequest              // closes the connection before it has received the whole request
	corruptAnswer                // executes the request, sends a malformed answer and keeps the connection open
	duplicateAnswer              // answers and sends a second copy of the answer directly after it
	closeAfterExecution          // executes the request and closes the connection without an answer
	trickle                      // answers piece by piece without end if the protocol has such answers, or else hangs
)

// script chooses a node's behavior for an attempt. earlier is the number of the request's earlier attempts.
type script func(node, id string, earlier int) behavior

// always returns a script with the same behavior for each attempt.
func always(b behavior) script {
	return func(string, string, int) behavior { return b }
}

// firstAttempt returns a script with the given behavior for the first attempt of each request. Later attempts are
// served.
func firstAttempt(b behavior) script {
	return func(_, _ string, earlier int) behavior {
		if earlier == 0 {
			return b
		}
		return serve
	}
}

// recorder stores the attempts that all fake nodes received and checks the rules.
type recorder struct {
	mu         sync.Mutex
	changed    *sync.Cond
	script     script
	attempts   []*attempt
	effects    map[string]int       // number of executions of each request
	drainedAt  map[string]time.Time // when the broker was notified that a node drains
	violations []string
}

// attempt is one attempt that a node received.
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

// play starts a scenario. Earlier attempts and effects are deleted.
func (r *recorder) play(s script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
	r.attempts = nil
	r.effects = map[string]int{}
}

// waitLimit is how long a check waits for an expected event that arrives over another socket.
const waitLimit = 2 * time.Second

// begin records an attempt and returns the behavior that the node must show. Earlier attempts of the same request must
// be over, or end within waitLimit, since the close of their connections may still be in transit.
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
			r.violation("two attempts of %s are in flight at once, at %s and %s", id, a.node, node)
		}
	}
	a := &attempt{recorder: r, node: node, id: id}
	r.attempts = append(r.attempts, a)
	r.checkDrain(node)
	r.changed.Broadcast()
	return a, r.script(node, id, earlier)
}

// checkDrain checks a message to a node against the rule on draining nodes. The caller must hold r.mu.
func (r *recorder) checkDrain(node string) {
	at, drained := r.drainedAt[node]
	if drained && time.Since(at) > drainGrace+slack {
		r.violation("%s was sent a message %v after its drain began", node, time.Since(at))
	}
}

// message records another message of the attempt.
func (a *attempt) message() {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.recorder.checkDrain(a.node)
}

// apply records that the node executed the request.
func (a *attempt) apply() {
	r := a.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.effects[a.id]++
	if r.effects[a.id] > 1 {
		r.violation("%s was executed %d times", a.id, r.effects[a.id])
	}
}

// end records that the node has finished the attempt.
func (a *attempt) end() {
	a.recorder.mu.Lock()
	defer a.recorder.mu.Unlock()
	a.over = true
	a.recorder.changed.Broadcast()
}

// violation records a violated rule. The caller must hold r.mu.
func (r *recorder) violation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// await waits at most waitLimit until condition is true, and reports whether it is. The caller must hold r.mu.
func (r *recorder) await(condition func() bool) bool {
	end := time.Now().Add(waitLimit)
	timer := time.AfterFunc(waitLimit, r.changed.Broadcast)
	defer timer.Stop()
	for !condition() && time.Now().Before(end) {
		r.changed.Wait()
	}
	return condition()
}

// awaitAttempts waits until the nodes have received count attempts of a request.
func (r *recorder) awaitAttempts(t *testing.T, id string, count int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.await(func() bool { return r.count(id) >= count }) {
		t.Fatalf("%s: nodes received %d attempts, want at least %d", id, r.count(id), count)
	}
}

// count returns the number of attempts of a request. The caller must hold r.mu.
func (r *recorder) count(id string) int {
	n := 0
	for _, a := range r.attempts {
		if a.id == id {
			n++
		}
	}
	return n
}

// wantAttempts checks the number of attempts of a request.
func (r *recorder) wantAttempts(t *testing.T, id string, want int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.count(id); n != want {
		t.Errorf("%s had %d attempts, want %d", id, n, want)
	}
}

// seen returns the attempts that the nodes have received so far.
func (r *recorder) seen() []*attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*attempt(nil), r.attempts...)
}

// check fails the test for each violated rule. Each request of results must have got one final answer in time. A served
// write must have been executed once, and a rejected request must not have been executed.
func (r *recorder) check(t *testing.T, results []result) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.violations {
		t.Error(v)
	}
	for _, res := range results {
		if res.err != nil {
			t.Errorf("%s was not answered: %v", res.id, res.err)
		}
		if res.elapsed > res.deadline+slack {
			t.Errorf("%s was answered after %v, its deadline is %v", res.id, res.elapsed, res.deadline)
		}
		effects := r.effects[res.id]
		if res.write && res.outcome == served && effects != 1 || res.outcome == rejected && effects != 0 {
			t.Errorf("%s was %s and executed %d times", res.id, res.outcome, effects)
		}
	}
}

// outcome is the kind of a final answer.
type outcome string

const (
	served   outcome = "served"
	rejected outcome = "rejected"
	failed   outcome = "failed"
	refused  outcome = "refused" // the command cannot be accepted
)

// result is the answer that a fake client got to one request.
type result struct {
	id       string
	write    bool
	outcome  outcome
	deadline time.Duration
	elapsed  time.Duration
	err      error
}
