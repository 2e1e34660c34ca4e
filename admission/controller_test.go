package admission

import (
	"fmt"
	"testing"
	"time"

	"junctionwharf/scheduler"
)

// testSettings has two classes, of which "read" has the higher priority weight, and a plan with reserved capacity.
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

// admitMany asks for a thousand volumes, one request each.
func admitMany(c *Controller, now Micros, prefix string) {
	for i := range 1000 {
		c.Admit(now, 0, readRequest("reserved", fmt.Sprint(prefix, i)))
	}
}

func readRequest(plan, volume string) *Request {
	return &Request{Class: "read", Plan: plan, Volume: volume, Units: 1, Wait: 1e6}
}

// simulatedBroker serves so many requests a second, in order, and its loop lags by its queue.
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

// offer has one request come after such a pause.
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

// run offers so many requests a second, of which a quarter is of the better class, and a tenth comes from four
// volumes with reserved capacity of 100 units a second each.
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

// A broker is offered five times what it can do. The lag comes down to its target, the capacity is used, requests
// within reserved capacity are admitted, then the better class, and the controller admits everybody again afterwards.
func TestOverload(t *testing.T) {
	s := newSimulatedBroker(Settings{TargetLag: 5000}, 10_000)
	s.run(1, 8000)
	if len(s.rejected) > 0 || s.controller.Shedding() {
		t.Fatalf("rejected below the capacity: %v", s.rejected)
	}
	s.run(2, 50_000) // it settles
	s.run(4, 50_000)
	sum := 0
	for _, n := range s.admitted {
		sum += n
	}
	if sum < 36_000 || sum > 42_000 {
		t.Errorf("%d were admitted, of 40,000 that could be served", sum)
	}
	if s.maxLag > 25_000 {
		t.Errorf("a lag of %d us", s.maxLag)
	}
	if reserved := s.admitted["bulk reserved"] + s.admitted["read reserved"]; reserved < 1600 {
		t.Errorf("%d within reserved capacity of 1,600 were admitted", reserved)
	}
	if all := s.admitted["read spare"] + s.rejected["read spare"]; s.admitted["bulk spare"] > all/50 {
		t.Errorf("%d of the lowest class were admitted, while of %d better ones %d were rejected",
			s.admitted["bulk spare"], all, s.rejected["read spare"])
	}
	if s.maxRetryAfter <= 150_000 || s.maxRetryAfter > 1_000_000 {
		t.Errorf("come back after %d us", s.maxRetryAfter)
	}
	s.run(3, 8000)
	clear(s.rejected)
	s.run(1, 8000)
	if len(s.rejected) > 0 || s.controller.Shedding() {
		t.Errorf("the controller does not open again: %v", s.rejected)
	}
}

// The bound on open requests holds, its last tenth for requests within reserved capacity.
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
			t.Errorf("%d open, %s: %v, after %d", step.open, step.request.Plan, reason, retryAfter)
		}
	}
}

// Requests cross several queues of a broker that lags by 50 ms. What cannot be served before its client gives up is
// rejected, and only that.
func TestDeadlineTooClose(t *testing.T) {
	c := New(Settings{TargetLag: 100_000}, testSettings())
	for now := Micros(1); now < 1_000_000; now += 1000 {
		c.RecordLag(now, 50_000)
	}
	for wait, want := range map[Micros]Reason{290_000: DeadlineTooClose, 310_000: Admitted} {
		request := readRequest("spare", "a")
		request.Wait = wait
		if reason, _ := c.Admit(1_000_000, 0, request); reason != want {
			t.Errorf("a wait of %d us: %v", wait, reason)
		}
	}
}

// A client invents volume names. Volumes are bounded: the newest have no reserved capacity until others have been idle.
func TestVolumesAreBounded(t *testing.T) {
	c := New(Settings{TargetLag: 1000, MaxVolumes: 100}, testSettings())
	now := Micros(1)
	admitMany(c, now, "")
	if len(c.volumes) != 100 || len(c.sweepOrder) != 100 {
		t.Fatalf("%d volumes, %d to sweep", len(c.volumes), len(c.sweepOrder))
	}
	now += reserveIdleTime
	admitMany(c, now, "new")
	if c.volumes["new99"] == nil || len(c.volumes) != 100 {
		t.Errorf("idle volumes are kept: %d", len(c.volumes))
	}
}

// While load is shed, classes and plans vanish from the settings, and the clock stands still for a second. The
// controller ends one window for that, goes on, and opens once the lag is over.
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
		t.Fatal("no load is shed")
	}
	changed := testSettings()
	changed.Classes = changed.Classes[:1]
	changed.Plans = changed.Plans[:1]
	c.ApplySettings(changed)
	now += 1_000_000
	for _, class := range []string{"bulk", "read", "unheard"} {
		request := readRequest("spare", "x")
		request.Class = class
		c.Admit(now, 0, request)
	}
	for range 400 {
		now += 10_001
		c.RecordLag(now, 0)
	}
	if c.Shedding() {
		t.Error("load is shed for good")
	}
}

// Many requests are open. They are rejected beyond MaxOpenOverloaded only while the broker itself is the bottleneck:
// queued for slow nodes they may wait.
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
			t.Fatalf("rejected without lag: %v", reason)
		}
	}
	for range 50 {
		now += DefaultWindow
		c.RecordLag(now, 4*OverloadLag)
	}
	if admit(now, 9) != Admitted || admit(now, 10) != TooManyOpen || !c.Shedding() {
		t.Error("too many wait for the processor and more are admitted")
	}
	for range 2 * calmWindows {
		now += DefaultWindow
		c.RecordLag(now, 0)
	}
	if admit(now, 1000) != Admitted || c.Shedding() {
		t.Error("the overload is over and the controller stays shut")
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
