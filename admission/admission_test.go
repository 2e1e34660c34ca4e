package admission

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

func settings() scheduler.Settings {
	return scheduler.Settings{MaxUnits: 8, Capabilities: scheduler.Capabilities{RetryAfter: true, MaxRetryAfter: time.Second},
		Classes: []scheduler.Class{{Name: "bulk", PriorityWeight: 1, LatencyObjective: 750 * time.Millisecond}, {Name: "read", PriorityWeight: 3, LatencyObjective: 150 * time.Millisecond}},
		Plans:   []scheduler.Plan{{Name: "reserved", ReservedRate: 100}, {Name: "spare"}}}
}

// server is a stand-in for a broker that serves so many a second, in order, and whose loop lags by its queue.
type server struct {
	d              *Controller
	rate           float64
	queue          float64
	now            Micros
	came, turned   map[string]int
	latest, oddest Micros
}

func (s *server) offer(each Micros, r Request) {
	s.queue = max(0, s.queue-s.rate*float64(each)/1e6)
	s.now += each
	lag := Micros(s.queue / s.rate * 1e6)
	s.d.RecordLag(s.now, lag)
	s.latest = max(s.latest, lag)
	name := r.Class + " " + r.Plan
	if why, after := s.d.Admit(s.now, 0, &r); why == Admitted {
		s.came[name]++
		s.queue++
	} else {
		s.turned[name]++
		s.oddest = max(s.oddest, after)
	}
}

// TestOverload offers five times what can be done: the lag comes down to its target, the capacity is used, those within
// their reserve come in, then the worthier class, and the controller opens again afterwards.
func TestOverload(t *testing.T) {
	s := &server{d: New(Settings{TargetLag: 5000}, settings()), rate: 10_000, came: map[string]int{}, turned: map[string]int{}}
	play := func(seconds, rate int) {
		clear(s.came)
		clear(s.turned)
		s.latest, s.oddest = 0, 0
		for i := range seconds * rate {
			r := Request{Class: "bulk", Plan: "spare", Volume: fmt.Sprint("v", i%50), Units: 1, Wait: 1e6}
			if i%4 == 0 {
				r.Class = "read"
			}
			if i%20 < 2 {
				r.Plan, r.Volume = "reserved", fmt.Sprint("r", i%40) // 4 volumes, of 100 a second each are reserved
			}
			s.offer(Micros(1_000_000/rate), r)
		}
	}
	play(1, 8000)
	if len(s.turned) > 0 || s.d.Shedding() {
		t.Fatalf("refused below the capacity: %v", s.turned)
	}
	play(2, 50_000) // it settles
	play(4, 50_000)
	sum := 0
	for _, n := range s.came {
		sum += n
	}
	if sum < 36_000 || sum > 42_000 {
		t.Errorf("%d came in, of 40,000 that could be served", sum)
	}
	if s.latest > 25_000 {
		t.Errorf("a lag of %d us", s.latest)
	}
	if reserved := s.came["bulk reserved"] + s.came["read reserved"]; reserved < 1600 {
		t.Errorf("%d within reserves of 1,600 came in", reserved)
	}
	if all := s.came["read spare"] + s.turned["read spare"]; s.came["bulk spare"] > all/50 {
		t.Errorf("%d of the least class came in, while of %d better ones %d were refused", s.came["bulk spare"], all, s.turned["read spare"])
	}
	if s.oddest <= 150_000 || s.oddest > 1_000_000 {
		t.Errorf("come back after %d us", s.oddest)
	}
	play(3, 8000)
	clear(s.turned)
	play(1, 8000)
	if len(s.turned) > 0 || s.d.Shedding() {
		t.Errorf("the controller does not open again: %v", s.turned)
	}
}

// The bound on open requests holds, its last tenth for those within their reserve.
func TestFull(t *testing.T) {
	d := New(Settings{MaxOpen: 100}, settings())
	spare := Request{Class: "read", Plan: "spare", Volume: "a", Units: 1, Wait: 1e6}
	reserved := Request{Class: "read", Plan: "reserved", Volume: "b", Units: 1, Wait: 1e6}
	for _, c := range []struct {
		open int
		r    Request
		why  Reason
	}{{89, spare, Admitted}, {90, spare, TooManyOpen}, {90, reserved, Admitted}, {99, reserved, Admitted}, {100, reserved, TooManyOpen}} {
		if why, after := d.Admit(1000, c.open, &c.r); why != c.why || (after == 0) != (why == Admitted) {
			t.Errorf("%d open, %s: %v, after %d", c.open, c.r.Plan, why, after)
		}
	}
}

// What cannot be served before its client leaves is refused, and only that.
func TestTooLate(t *testing.T) {
	d := New(Settings{TargetLag: 100_000}, settings())
	for now := Micros(1); now < 1_000_000; now += 1000 {
		d.RecordLag(now, 50_000)
	}
	for wait, want := range map[Micros]Reason{290_000: DeadlineTooClose, 310_000: Admitted} {
		if why, _ := d.Admit(1_000_000, 0, &Request{Class: "read", Plan: "spare", Volume: "a", Units: 1, Wait: wait}); why != want {
			t.Errorf("a wait of %d us: %v", wait, why)
		}
	}
}

// MaxVolumes are bounded: the newest have no reserve until others have been idle. Classes and plans may vanish; a clock that
// stood still for a second ends one window.
func TestBounded(t *testing.T) {
	d := New(Settings{TargetLag: 1000, MaxVolumes: 100}, settings())
	now := Micros(1)
	for i := range 1000 {
		d.Admit(now, 0, &Request{Class: "read", Plan: "reserved", Volume: fmt.Sprint(i), Units: 1, Wait: 1e6})
	}
	if len(d.volumes) != 100 || len(d.sweep) != 100 {
		t.Fatalf("%d volumes, %d to sweep", len(d.volumes), len(d.sweep))
	}
	now += forgetAfter
	for i := range 1000 {
		d.Admit(now, 0, &Request{Class: "read", Plan: "reserved", Volume: fmt.Sprint("new", i), Units: 1, Wait: 1e6})
	}
	if d.volumes["new99"] == nil || len(d.volumes) != 100 {
		t.Errorf("idle volumes are kept: %d", len(d.volumes))
	}
	for range 30 {
		now += 10_001
		d.RecordLag(now, 5000)
	}
	if !d.Shedding() {
		t.Fatal("not shut")
	}
	less := settings()
	less.Classes, less.Plans = less.Classes[:1], less.Plans[:1]
	d.ApplySettings(less)
	now += 1_000_000
	for _, class := range []string{"bulk", "read", "unheard"} {
		d.Admit(now, 0, &Request{Class: class, Plan: "spare", Volume: "x", Units: 1, Wait: 1e6})
	}
	for range 400 {
		now += 10_001
		d.RecordLag(now, 0)
	}
	if d.Shedding() {
		t.Error("shut for good")
	}
}

func BenchmarkAsk(b *testing.B) {
	d := New(Settings{TargetLag: 5000, MaxOpen: 1000}, settings())
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("volume", i)
	}
	b.ReportAllocs()
	now := Micros(0)
	for i := 0; b.Loop(); i++ {
		now += 7
		d.RecordLag(now, 6000)
		d.Admit(now, 10, &Request{Class: "read", Plan: "reserved", Volume: names[i%1000], Units: 1, Wait: 1e6})
	}
}

// What waits beyond MaxOpenOverloaded is refused only while the broker itself is the bound: held for slow nodes it may wait.
func TestCrowd(t *testing.T) {
	d := New(Settings{MaxOpenOverloaded: 10}, scheduler.Settings{})
	ask := func(now Micros, open int) Reason {
		why, _ := d.Admit(now, open, &Request{Wait: 1_000_000})
		return why
	}
	now := Micros(1)
	for range 50 {
		now += DefaultWindow
		d.RecordLag(now, OverloadLag/4)
		if why := ask(now, 1000); why != Admitted {
			t.Fatalf("refused without lag: %v", why)
		}
	}
	for range 50 {
		now += DefaultWindow
		d.RecordLag(now, 4*OverloadLag)
	}
	if ask(now, 9) != Admitted || ask(now, 10) != TooManyOpen || !d.Shedding() {
		t.Error("a crowd waits for the processor and is let in")
	}
	for range 2 * calm {
		now += DefaultWindow
		d.RecordLag(now, 0)
	}
	if ask(now, 1000) != Admitted || d.Shedding() {
		t.Error("the crowd has gone and the controller stays shut")
	}
}
