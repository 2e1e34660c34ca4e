package timingwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// heapTimers is the reference: a heap, in which cancelled timers wait until they are due.
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

// comparison runs a wheel and the reference side by side.
type comparison struct {
	*testing.T
	seed    uint64
	random  *rand.Rand
	wheel   Wheel[int]
	heap    heapTimers
	handles map[int]Handle
	over    map[int]bool // by id: it came out or was cancelled
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

// set adds a timer, near or far, or in the past.
func (c *comparison) set() {
	c.lastID++
	id := c.lastID
	at := c.now + int64(c.random.ExpFloat64()*float64(int64(1)<<c.random.IntN(40))) - int64(c.random.IntN(300))
	c.handles[id] = c.wheel.Set(at, id)
	heap.Push(&c.heap, heapTimer{at, id, id})
}

// cancel cancels any timer that was ever set.
func (c *comparison) cancel() {
	c.Helper()
	if c.lastID == 0 {
		return
	}
	id := 1 + c.random.IntN(c.lastID)
	if got := c.wheel.Cancel(c.handles[id]); got == c.over[id] {
		c.Fatalf("seed %d: cancelling gave %v, over is %v", c.seed, got, c.over[id])
	}
	c.over[id] = true
}

// advance lets time go by, and takes out all that is due.
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
		c.Fatalf("seed %d: next at %d, %v", c.seed, next, ok)
	}
}

// pop takes one timer out of both, and reports whether one was due.
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
			c.Fatalf("seed %d: at %d, want %d", c.seed, at, timer.at)
		}
	}
	if got != want || ok != (want > 0) {
		c.Fatalf("seed %d: %d came out, want %d", c.seed, got, want)
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

// Whatever is set, cancelled and popped in whatever order, near and far, comes out as from the heap, and not before
// Next.
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
			t.Fatalf("seed %d: %d wait, want %d", seed, c.wheel.Len(), waiting)
		}
	}
}

// The clock stands still, as while a machine is suspended, and then jumps by an hour, with 100,000 timers of one
// millisecond waiting. None may come out early, none may be lost, and they come out in order; one that is set for a
// time long past comes out next.
func TestClockJump(t *testing.T) {
	var w Wheel[int]
	for i := range 100_000 {
		w.Set(5_000_000+int64(i%1000), i)
	}
	if _, _, ok := w.Pop(4_999_999); ok {
		t.Error("one came out early")
	}
	last := int64(0)
	for i := range 100_000 {
		_, at, ok := w.Pop(3600e6)
		if !ok || at < last {
			t.Fatalf("%d: at %d after %d, %v", i, at, last, ok)
		}
		last = at
	}
	if w.Len() != 0 {
		t.Errorf("%d are left", w.Len())
	}
	w.Set(1, 7) // long past
	if v, _, ok := w.Pop(3600e6); !ok || v != 7 {
		t.Error("a passed time does not come out")
	}
}

// BenchmarkTimer is one request's: set a deadline, cancel it soon after, with so many others waiting; against the
// heap, which keeps what is over until it is due.
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
