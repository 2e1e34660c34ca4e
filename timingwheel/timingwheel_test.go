package timingwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// heapTimers is the reference implementation: a heap that keeps canceled timers until they are due.
type heapTimers []heapTimer

type heapTimer struct {
	at       int64
	sequence int
	id       int
}

func (h heapTimers) Len() int { return len(h) }
func (h heapTimers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h heapTimers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *heapTimers) Push(x any)   { *h = append(*h, x.(heapTimer)) }
func (h *heapTimers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// comparison runs a wheel and the reference implementation in parallel.
type comparison struct {
	*testing.T
	seed    uint64
	random  *rand.Rand
	wheel   Wheel[int]
	heap    heapTimers
	handles map[int]Handle
	over    map[int]bool // by id: the timer has expired or was canceled
	now     int64
	lastID  int
}

func newComparison(t *testing.T, seed uint64) *comparison {
	random := rand.New(rand.NewPCG(seed, 1))
	return &comparison{
		T:       t,
		seed:    seed,
		random:  random,
		handles: map[int]Handle{},
		over:    map[int]bool{},
		now:     int64(random.IntN(1e9)),
	}
}

// set adds a timer in the near or far future, or in the past.
func (c *comparison) set() {
	c.lastID++
	id := c.lastID
	at := c.now + int64(c.random.ExpFloat64()*float64(int64(1)<<c.random.IntN(40))) - int64(c.random.IntN(300))
	c.handles[id] = c.wheel.Set(at, id)
	heap.Push(&c.heap, heapTimer{at, id, id})
}

// cancel cancels a random timer, which may have expired or been canceled already.
func (c *comparison) cancel() {
	c.Helper()
	if c.lastID == 0 {
		return
	}
	id := 1 + c.random.IntN(c.lastID)
	if got := c.wheel.Cancel(c.handles[id]); got == c.over[id] {
		c.Fatalf("seed %d: Cancel returned %v, want %v", c.seed, got, !c.over[id])
	}
	c.over[id] = true
}

// advance moves the clock forward and pops all timers that are due.
func (c *comparison) advance() {
	c.Helper()
	if next, ok := c.wheel.Next(); ok && c.random.IntN(3) > 0 {
		c.now = max(c.now, next)
	} else {
		c.now += int64(c.random.IntN(1 << c.random.IntN(30)))
	}
	for more := true; more; {
		more = c.pop()
	}
	for len(c.heap) > 0 && c.over[c.heap[0].id] {
		heap.Pop(&c.heap)
	}
	if next, ok := c.wheel.Next(); ok != (len(c.heap) > 0) || ok && next > c.heap[0].at {
		c.Fatalf("seed %d: Next returned %d, %v with %d timers in the heap", c.seed, next, ok, len(c.heap))
	}
}

// pop pops the next due timer from the wheel and from the reference, and compares them. It reports whether a timer was
// due.
func (c *comparison) pop() bool {
	c.Helper()
	got, at, ok := c.wheel.Pop(c.now)
	want := 0
	for len(c.heap) > 0 && (c.over[c.heap[0].id] || c.heap[0].at <= c.now) && want == 0 {
		timer := heap.Pop(&c.heap).(heapTimer)
		if c.over[timer.id] {
			continue
		}
		want = timer.id
		c.over[timer.id] = true
		if ok && timer.at != at {
			c.Fatalf("seed %d: timer %d expired with time %d, want %d", c.seed, want, at, timer.at)
		}
	}
	if got != want || ok != (want > 0) {
		c.Fatalf("seed %d: popped timer %d, %v, want %d", c.seed, got, ok, want)
	}
	return ok
}

func (c *comparison) waiting() int {
	waiting := 0
	for id := 1; id <= c.lastID; id++ {
		if !c.over[id] {
			waiting++
		}
	}
	return waiting
}

// Timers are set, canceled and popped in random order, near and far. They must expire in the same order as from a heap,
// and Next must not return a time after the next timer.
func TestMatchesHeap(t *testing.T) {
	for seed := range uint64(200) {
		c := newComparison(t, seed)
		for range 2000 {
			switch c.random.IntN(5) {
			case 0, 1:
				c.set()
			case 2:
				c.cancel()
			default:
				c.advance()
			}
		}
		if waiting := c.waiting(); c.wheel.Len() != waiting {
			t.Fatalf("seed %d: %d timers are set, want %d", seed, c.wheel.Len(), waiting)
		}
	}
}

// The clock stops, as while a machine is suspended, and then jumps forward by an hour. 100,000 timers have times within
// the same millisecond. No timer may expire early or be lost, and the timers must expire in order. A timer that is set
// for a time in the past expires next.
func TestClockJump(t *testing.T) {
	var w Wheel[int]
	for i := range 100_000 {
		w.Set(5_000_000+int64(i%1000), i)
	}
	if _, _, ok := w.Pop(4_999_999); ok {
		t.Error("a timer expired before its time")
	}
	last := int64(0)
	for i := range 100_000 {
		_, at, ok := w.Pop(3600e6)
		if !ok || at < last {
			t.Fatalf("timer %d: time %d after %d, %v, want times in order", i, at, last, ok)
		}
		last = at
	}
	if w.Len() != 0 {
		t.Errorf("%d timers left, want 0", w.Len())
	}
	w.Set(1, 7) // in the past
	if v, _, ok := w.Pop(3600e6); !ok || v != 7 {
		t.Errorf("timer in the past: popped %d, %v, want 7, true", v, ok)
	}
}

// BenchmarkTimer measures the timer of one request, which is set and canceled soon after, while other timers are set.
// It compares the wheel with a heap that keeps canceled timers until they are due.
func BenchmarkTimer(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("wheel/waiting=%d", waiting), func(b *testing.B) { benchmarkWheel(b, waiting) })
		b.Run(fmt.Sprintf("heap/waiting=%d", waiting), func(b *testing.B) { benchmarkHeap(b, waiting) })
	}
}

func benchmarkWheel(b *testing.B, waiting int) {
	var w Wheel[int]
	handles := make([]Handle, waiting)
	now := int64(0)
	for i := range handles {
		handles[i] = w.Set(now+2_500_000+int64(i), i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 10
		at := i % waiting
		w.Cancel(handles[at])
		handles[at] = w.Set(now+2_500_000, i)
		w.Pop(now)
	}
}

func benchmarkHeap(b *testing.B, waiting int) {
	var h heapTimers
	now := int64(0)
	for i := range waiting {
		heap.Push(&h, heapTimer{at: now + 2_500_000 + int64(i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		now += 10
		heap.Push(&h, heapTimer{at: now + 10*int64(waiting)})
		for h[0].at <= now {
			heap.Pop(&h)
		}
	}
}
