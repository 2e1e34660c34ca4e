package conformance

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// behaviour is what a stand-in node does with one visit of a request.
type behaviour int

const (
	serve behaviour = iota
	turnAway
	hang     // takes the request whole and says nothing
	cutMid   // ends the connection before the request is whole
	spoil    // runs the request, answers what cannot be read and keeps the connection
	repeat   // answers and sends a second copy right behind
	cutAfter // runs the request and ends the connection without an answer
	drip     // answers piece by piece without end, where the protocol has such answers; else like hang
)

// world keeps what all stand-in nodes saw and judges it by the rules.
type world struct {
	mu       sync.Mutex
	changed  *sync.Cond
	script   func(node, id string, visit int) behaviour
	visits   []*visit
	effects  map[string]int
	drained  map[string]time.Time // when the broker was told that a node drains
	breaches []string
}

// visit is one attempt as its node saw it.
type visit struct {
	w        *world
	node, id string
	over     bool
}

func newWorld() *world {
	w := &world{effects: map[string]int{}, drained: map[string]time.Time{}}
	w.changed = sync.NewCond(&w.mu)
	w.play(func(string, string, int) behaviour { return serve })
	return w
}

// play starts a scenario: what was seen before does not count.
func (w *world) play(script func(node, id string, visit int) behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script, w.visits, w.effects = script, nil, map[string]int{}
}

// patience is how long a check waits for news that is on its way over another socket.
const patience = 2 * time.Second

// begin notes a visit and tells what to do with it. An earlier visit of the same request must be over,
// or end at once: its close may still be on its way.
func (w *world) begin(node, id string) (*visit, behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	seen := 0
	for _, v := range w.visits {
		if v.id != id {
			continue
		}
		seen++
		if !w.await(func() bool { return v.over }) {
			w.breach("two attempts of %s at once, at %s and %s", id, v.node, node)
		}
	}
	v := &visit{w: w, node: node, id: id}
	w.visits = append(w.visits, v)
	w.sent(node)
	w.changed.Broadcast()
	return v, w.script(node, id, seen)
}

// sent judges a message to a node by the rule on drains.
func (w *world) sent(node string) {
	if told, drained := w.drained[node]; drained && time.Since(told) > drainGrace+slack {
		w.breach("sent to %s %v after it was told to drain", node, time.Since(told))
	}
}

func (v *visit) step() {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	v.w.sent(v.node)
}

func (v *visit) apply() {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	if v.w.effects[v.id]++; v.w.effects[v.id] > 1 {
		v.w.breach("%s had its effect %d times", v.id, v.w.effects[v.id])
	}
}

func (v *visit) end() {
	v.w.mu.Lock()
	defer v.w.mu.Unlock()
	v.over = true
	v.w.changed.Broadcast()
}

func (w *world) breach(format string, args ...any) {
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

// await waits until fits is true, with w.mu held.
func (w *world) await(fits func() bool) bool {
	end := time.Now().Add(patience)
	timer := time.AfterFunc(patience, w.changed.Broadcast)
	defer timer.Stop()
	for !fits() && time.Now().Before(end) {
		w.changed.Wait()
	}
	return fits()
}

// awaitVisits waits until a request was seen so many times.
func (w *world) awaitVisits(t *testing.T, id string, count int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.await(func() bool { return w.count(id) >= count }) {
		t.Fatalf("%s was seen %d times, not %d", id, w.count(id), count)
	}
}

func (w *world) count(id string) int {
	n := 0
	for _, v := range w.visits {
		if v.id == id {
			n++
		}
	}
	return n
}

// check fails the test on any broken rule. Each request of finals got one final answer, in time; one that
// was served or refused has had its effect once or never.
func (w *world) check(t *testing.T, finals []final) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, b := range w.breaches {
		t.Error(b)
	}
	for _, f := range finals {
		if f.err != nil {
			t.Errorf("%s got no answer: %v", f.id, f.err)
		}
		if f.took > f.wait+slack {
			t.Errorf("%s was answered after %v of %v", f.id, f.took, f.wait)
		}
		if f.write && f.verdict == served && w.effects[f.id] != 1 || f.verdict == refused && w.effects[f.id] != 0 {
			t.Errorf("%s was %s after %d effects", f.id, f.verdict, w.effects[f.id])
		}
	}
}

type verdict string

const (
	served  verdict = "served"
	refused verdict = "refused"
	failed  verdict = "failed"
)

// final is what a stand-in client got for one request.
type final struct {
	id      string
	write   bool
	verdict verdict
	wait    time.Duration
	took    time.Duration
	err     error
}
