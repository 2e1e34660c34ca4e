package admission

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// testSettings returns settings with two classes, of which "read" has the higher priority weight, a plan with reserved
// capacity and a plan without.
func testSettings() scheduler.Settings {
	return scheduler.Settings{
		MaxUnits:     8,
		Capabilities: scheduler.Capabilities{RetryAfter: true, MaxRetryAfter: time.Second},
		Classes: []scheduler.Class{
			{Name: "bulk", PriorityWeight: 1, LatencyObjective: 750 * time.Millisecond},
			{Name: "read", PriorityWeight: 3, LatencyObjective: 150 * time.Millisecond},
		},
		Plans: []scheduler.Plan{{Name: "reserved", ReservedRate: 100}, {Name: "spare"}},
	}
}

// admitMany sends one request each for 1,000 volumes.
func admitMany(c *Controller, now Micros, prefix string) {
	for i := range 1000 {
		c.Admit(now, 0, readRequest("reserved", fmt.Sprint(prefix, i)))
	}
}

func readRequest(plan, volume string) *Request {
	return &Request{Class: "read", Plan: plan, Volume: volume, Units: 1, Wait: 1e6}
}

// simulatedBroker serves rate requests per second in order. Its scheduling lag is the time that it needs to serve its
// queue.
type simulatedBroker struct {
	controller    *Controller
	rate          float64
	queue         float64
	now           Micros
	admitted      map[string]int // by class and plan
	rejected      map[string]int
	maxLag        Micros
	maxRetryAfter Micros
}

func newSimulatedBroker(settings Settings, rate float64) *simulatedBroker {
	return &simulatedBroker{
		controller: New(settings, testSettings()),
		rate:       rate,
		admitted:   map[string]int{},
		rejected:   map[string]int{},
	}
}

// offer advances the clock by pause and offers a request.
func (s *simulatedBroker) offer(pause Micros, r Request) {
	s.queue = max(0, s.queue-s.rate*float64(pause)/1e6)
	s.now += pause
	lag := Micros(s.queue / s.rate * 1e6)
	s.controller.RecordLag(s.now, lag)
	s.maxLag = max(s.maxLag, lag)
	name := r.Class + " " + r.Plan
	reason, retryAfter := s.controller.Admit(s.now, 0, &r)
	if reason == Admitted {
		s.admitted[name]++
		s.queue++
		return
	}
	s.rejected[name]++
	s.maxRetryAfter = max(s.maxRetryAfter, retryAfter)
}

// run offers rate requests per second. A quarter of them has the class of higher priority. A tenth comes from four
// volumes with a reserved capacity of 100 units per second each.
func (s *simulatedBroker) run(seconds, rate int) {
	clear(s.admitted)
	clear(s.rejected)
	s.maxLag = 0
	s.maxRetryAfter = 0
	for i := range seconds * rate {
		r := Request{Class: "bulk", Plan: "spare", Volume: fmt.Sprint("v", i%50), Units: 1, Wait: 1e6}
		if i%4 == 0 {
			r.Class = "read"
		}
		if i%20 < 2 {
			r.Plan = "reserved"
			r.Volume = fmt.Sprint("r", i%40)
		}
		s.offer(Micros(1_000_000/rate), r)
	}
}

// A broker is offered five times its capacity. The lag must stay within five times its target, while almost the whole
// capacity is used. Requests within reserved capacity are admitted first, then the class of higher priority. After the
// overload, the controller admits all requests again.
func TestOverload(t *testing.T) {
	s := newSimulatedBroker(Settings{TargetLag: 5000}, 10_000)
	s.run(1, 8000)
	if len(s.rejected) > 0 || s.controller.Shedding() {
		t.Fatalf("requests rejected below the capacity: %v", s.rejected)
	}
	s.run(2, 50_000) // until the allowance is stable
	s.run(4, 50_000)
	sum := 0
	for _, n := range s.admitted {
		sum += n
	}
	if sum < 36_000 || sum > 42_000 {
		t.Errorf("%d requests admitted, want 36000 to 42000 at a capacity of 40000", sum)
	}
	if s.maxLag > 25_000 {
		t.Errorf("maximum lag %d µs, want at most 25000 µs", s.maxLag)
	}
	if reserved := s.admitted["bulk reserved"] + s.admitted["read reserved"]; reserved < 1600 {
		t.Errorf("%d requests within reserved capacity admitted, want at least 1600", reserved)
	}
	if all := s.admitted["read spare"] + s.rejected["read spare"]; s.admitted["bulk spare"] > all/50 {
		t.Errorf("%d requests of the lower class admitted, want at most %d: %d of %d of the higher class rejected",
			s.admitted["bulk spare"], all/50, s.rejected["read spare"], all)
	}
	if s.maxRetryAfter <= 150_000 || s.maxRetryAfter > 1_000_000 {
		t.Errorf("maximum retry-after %d µs, want above 150000 and at most 1000000 µs", s.maxRetryAfter)
	}
	s.run(3, 8000)
	clear(s.rejected)
	s.run(1, 8000)
	if len(s.rejected) > 0 || s.controller.Shedding() {
		t.Errorf("still shedding load after the overload: %v, rejected %v", s.controller.Shedding(), s.rejected)
	}
}

// At the bound on open requests, all requests are rejected. From nine tenths of the bound on, only requests within
// reserved capacity are admitted.
func TestTooManyOpen(t *testing.T) {
	c := New(Settings{MaxOpen: 100}, testSettings())
	spare := readRequest("spare", "a")
	reserved := readRequest("reserved", "b")
	for _, step := range []struct {
		open    int
		request *Request
		want    Reason
	}{
		{89, spare, Admitted},
		{90, spare, TooManyOpen},
		{90, reserved, Admitted},
		{99, reserved, Admitted},
		{100, reserved, TooManyOpen},
	} {
		reason, retryAfter := c.Admit(1000, step.open, step.request)
		if reason != step.want || (retryAfter == 0) != (reason == Admitted) {
			t.Errorf("%d open, plan %s: %v, want %v; retry after %d µs",
				step.open, step.request.Plan, reason, step.want, retryAfter)
		}
	}
}

// A request passes six queues of a broker with a lag of 50 ms each. A request whose client gives up before 300 ms is
// rejected, and a request whose client waits longer is admitted.
func TestDeadlineTooClose(t *testing.T) {
	c := New(Settings{TargetLag: 100_000}, testSettings())
	for now := Micros(1); now < 1_000_000; now += 1000 {
		c.RecordLag(now, 50_000)
	}
	for wait, want := range map[Micros]Reason{290_000: DeadlineTooClose, 310_000: Admitted} {
		request := readRequest("spare", "a")
		request.Wait = wait
		if reason, _ := c.Admit(1_000_000, 0, request); reason != want {
			t.Errorf("wait of %d µs: %v, want %v", wait, reason, want)
		}
	}
}

// A client invents volume names. The number of tracked volumes is bounded. New volumes get no reserved capacity until
// other volumes have been idle.
func TestVolumesAreBounded(t *testing.T) {
	c := New(Settings{TargetLag: 1000, MaxVolumes: 100}, testSettings())
	now := Micros(1)
	admitMany(c, now, "")
	if len(c.volumes) != 100 || len(c.sweepOrder) != 100 {
		t.Fatalf("%d volumes tracked and %d in the sweep order, want 100 each", len(c.volumes), len(c.sweepOrder))
	}
	now += reserveIdleTime
	admitMany(c, now, "new")
	if c.volumes["new99"] == nil || len(c.volumes) != 100 {
		t.Errorf("%d volumes tracked, new99 among them: %v, want 100, true", len(c.volumes), c.volumes["new99"] != nil)
	}
}

// While load is shed, classes and plans vanish from the settings, and no call is made for a second. The controller must
// continue to work, and must stop shedding load once there is no lag.
func TestSettingsChangeWhileShedding(t *testing.T) {
	c := New(Settings{TargetLag: 1000, MaxVolumes: 100}, testSettings())
	now := Micros(1)
	admitMany(c, now, "")
	now += reserveIdleTime
	admitMany(c, now, "new")
	for range 30 {
		now += 10_001
		c.RecordLag(now, 5000)
	}
	if !c.Shedding() {
		t.Fatal("no load shed at a lag of 5 ms with a target of 1 ms")
	}
	changed := testSettings()
	changed.Classes = changed.Classes[:1]
	changed.Plans = changed.Plans[:1]
	c.ApplySettings(changed)
	now += 1_000_000
	for _, class := range []string{"bulk", "read", "unknown"} {
		request := readRequest("spare", "x")
		request.Class = class
		c.Admit(now, 0, request)
	}
	for range 400 {
		now += 10_001
		c.RecordLag(now, 0)
	}
	if c.Shedding() {
		t.Error("load still shed after 400 windows without lag")
	}
}

// Many requests are open. Requests beyond MaxOpenOverloaded are rejected only while the broker itself is the
// bottleneck. Requests that are queued for slow nodes may stay open.
func TestTooManyOpenWhileOverloaded(t *testing.T) {
	c := New(Settings{MaxOpenOverloaded: 10}, scheduler.Settings{})
	admit := func(now Micros, open int) Reason {
		reason, _ := c.Admit(now, open, &Request{Wait: 1_000_000})
		return reason
	}
	now := Micros(1)
	for range 50 {
		now += DefaultWindow
		c.RecordLag(now, OverloadLag/4)
		if reason := admit(now, 1000); reason != Admitted {
			t.Fatalf("rejected at a lag below OverloadLag: %v", reason)
		}
	}
	for range 50 {
		now += DefaultWindow
		c.RecordLag(now, 4*OverloadLag)
	}
	if admit(now, 9) != Admitted || admit(now, 10) != TooManyOpen || !c.Shedding() {
		t.Error("overloaded: want 9 open requests admitted, 10 open requests rejected, and shedding reported")
	}
	for range 2 * calmWindows {
		now += DefaultWindow
		c.RecordLag(now, 0)
	}
	if admit(now, 1000) != Admitted || c.Shedding() {
		t.Error("requests rejected or shedding reported after the end of the overload")
	}
}

func BenchmarkAdmit(b *testing.B) {
	c := New(Settings{TargetLag: 5000, MaxOpen: 1000}, testSettings())
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("volume", i)
	}
	b.ReportAllocs()
	now := Micros(0)
	for i := 0; b.Loop(); i++ {
		now += 7
		c.RecordLag(now, 6000)
		c.Admit(now, 10, readRequest("reserved", names[i%1000]))
	}
}
