package timingwheel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// plain is the reference: a heap, in which cancelled alarms wait until they are due.
type plain []alarm

type alarm struct {
	at    int64
	order int
	id    int
}

func (h plain) Len() int { return len(h) }
func (h plain) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h plain) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *plain) Push(x any)   { *h = append(*h, x.(alarm)) }
func (h *plain) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Whatever is set, cancelled and popped in whatever order, near and far, comes out as from the heap, and not before Next.
func TestAgainstHeap(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		var w Wheel[int]
		var h plain
		handles, over := map[int]Handle{}, map[int]bool{}
		now, id := int64(random.IntN(1e9)), 0
		for range 2000 {
			switch random.IntN(5) {
			case 0, 1:
				id++
				at := now + int64(random.ExpFloat64()*float64(int64(1)<<random.IntN(40))) - int64(random.IntN(300))
				handles[id] = w.Set(at, id)
				heap.Push(&h, alarm{at, id, id})
			case 2:
				if id > 0 {
					one := 1 + random.IntN(id)
					if got := w.Cancel(handles[one]); got == over[one] {
						t.Fatalf("seed %d: cancelling gave %v, over is %v", seed, got, over[one])
					}
					over[one] = true
				}
			default:
				if next, any := w.Next(); any && random.IntN(3) > 0 {
					now = max(now, next)
				} else {
					now += int64(random.IntN(1 << random.IntN(30)))
				}
				for {
					got, at, any := w.Pop(now)
					want := 0
					for len(h) > 0 && (over[h[0].id] || h[0].at <= now) && want == 0 {
						if a := heap.Pop(&h).(alarm); !over[a.id] {
							want = a.id
							over[a.id] = true
							if any && a.at != at {
								t.Fatalf("seed %d: at %d, want %d", seed, at, a.at)
							}
						}
					}
					if got != want || any != (want > 0) {
						t.Fatalf("seed %d: %d came out, want %d", seed, got, want)
					}
					if !any {
						break
					}
				}
				for len(h) > 0 && over[h[0].id] {
					heap.Pop(&h)
				}
				if next, any := w.Next(); any != (len(h) > 0) || any && next > h[0].at {
					t.Fatalf("seed %d: next at %d, %v", seed, next, any)
				}
			}
		}
		waiting := 0
		for one := 1; one <= id; one++ {
			if !over[one] {
				waiting++
			}
		}
		if w.Len() != waiting {
			t.Fatalf("seed %d: %d wait, want %d", seed, w.Len(), waiting)
		}
	}
}

// A clock that stands still and then jumps, and 100,000 alarms of one millisecond.
func TestJump(t *testing.T) {
	var w Wheel[int]
	for i := range 100_000 {
		w.Set(5_000_000+int64(i%1000), i)
	}
	if _, _, any := w.Pop(4_999_999); any {
		t.Error("one came out early")
	}
	last := int64(0)
	for i := range 100_000 {
		_, at, any := w.Pop(3600e6)
		if !any || at < last {
			t.Fatalf("%d: at %d after %d, %v", i, at, last, any)
		}
		last = at
	}
	if w.Len() != 0 {
		t.Errorf("%d are left", w.Len())
	}
	w.Set(1, 7) // long past
	if v, _, any := w.Pop(3600e6); !any || v != 7 {
		t.Error("a passed time does not come out")
	}
}

// BenchmarkAlarm is one request's: set a deadline, cancel it soon after, with so many others waiting; against the heap,
// which keeps what is over until it is due.
func BenchmarkAlarm(b *testing.B) {
	for _, waiting := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("wheel/waiting=%d", waiting), func(b *testing.B) {
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
		})
		b.Run(fmt.Sprintf("heap/waiting=%d", waiting), func(b *testing.B) {
			var h plain
			now := int64(0)
			for i := range waiting {
				heap.Push(&h, alarm{at: now + 2_500_000 + int64(i)})
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 10
				heap.Push(&h, alarm{at: now + 10*int64(waiting)})
				for h[0].at <= now {
					heap.Pop(&h)
				}
			}
		})
	}
}
