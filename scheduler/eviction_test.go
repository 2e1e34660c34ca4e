package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// limitedScheduler returns a scheduler that remembers at most maxVolumes volumes, and a function that reduces
// a request of a volume and returns the actions.
func limitedScheduler(t *testing.T, maxVolumes int) (s *Scheduler, request func(volume string) []Action) {
	t.Helper()
	s = newScheduler(t, Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{readClass()},
		Plans:   []Plan{{Name: "plan", Rate: 1e6, ReservedRate: 1e6, Weight: 1, Price: 1}},
	}, 1)
	now := time.Hour
	s.Reduce(now, []Event{
		EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{Name: "n"}}},
		VolumeLimitChanged{MaxVolumes: maxVolumes},
	})
	id := uint64(0)
	return s, func(volume string) []Action {
		id++
		now += time.Millisecond
		return s.Reduce(now, []Event{
			TimerFired{Token: tickTimer},
			Request{
				ID: id, Class: "read", Plan: "plan", Volume: volume, Key: fmt.Sprint("k", id), Units: 1,
				Brokers: 1, Remaining: time.Second,
			},
		})
	}
}

// A client that sent requests under ever new names filled the memory for as long as it went on. Volumes and
// unserved requests must stay within their bound, and a volume in steady use must not be forgotten.
func TestRequestsUnderNewNamesStayBounded(t *testing.T) {
	const maxVolumes = 64
	s, request := limitedScheduler(t, maxVolumes)
	request("steady")
	steady := s.volumes.byName["steady"]
	for i := range 50 * maxVolumes {
		request(fmt.Sprint("new", i))
		for id := range s.requests { // each client leaves at once, its request is not served
			s.Reduce(s.now, []Event{
				ClientGone{ID: id},
				AttemptEnded{ID: id, Node: "n", Outcome: Canceled, Finished: true},
			})
		}
		if i%8 == 0 {
			request("steady")
		}
		sizes := []int{len(s.volumes.list), len(s.volumes.byName), len(s.volumes.byHash), len(s.unserved)}
		for _, size := range sizes {
			if size > maxVolumes {
				t.Fatalf("after %d names: volumes listed, by name, by hash, and unserved requests are %v, want at most %d",
					i+1, sizes, maxVolumes)
			}
		}
		if active := len(s.volumes.active); active > 2*maxVolumes {
			t.Fatalf("%d volumes are active, want at most %d", active, 2*maxVolumes)
		}
	}
	if s.volumes.byName["steady"] != steady {
		t.Error("a volume in steady use was forgotten")
	}
}

// Volumes with open requests must not be forgotten. Without room, a request of a further volume must be
// rejected, and requests of known volumes accepted.
func TestNewVolumeWithoutRoomIsRejected(t *testing.T) {
	const maxVolumes = 8
	s, request := limitedScheduler(t, maxVolumes)
	for i := range maxVolumes {
		request(fmt.Sprint("v", i))
	}
	rejected := false
	for _, action := range request("further") {
		_, isReject := action.(Reject)
		rejected = rejected || isReject
	}
	if !rejected || s.volumes.byName["further"] != nil {
		t.Errorf("a request of a further volume was not rejected, or its volume is remembered")
	}
	request("v0")
	if len(s.requests) != maxVolumes+1 {
		t.Errorf("%d requests are open, want %d", len(s.requests), maxVolumes+1)
	}
	for id := range s.requests {
		s.Reduce(s.now, []Event{
			ClientGone{ID: id},
			AttemptEnded{ID: id, Node: "n", Outcome: Canceled, Finished: true},
		})
	}
	for _, v := range s.volumes.list {
		if v.openRequests != 0 {
			t.Errorf("volume %s has %d open requests, want 0", v.name, v.openRequests)
		}
	}
	request("further")
	if s.volumes.byName["further"] == nil || len(s.volumes.list) != maxVolumes {
		t.Errorf("%d volumes are remembered, want %d, the further one among them", len(s.volumes.list), maxVolumes)
	}
	s.limitVolumes(2)
	if len(s.volumes.list) != 2 {
		t.Errorf("%d volumes are remembered with a smaller bound, want 2", len(s.volumes.list))
	}
}

// planNames are the plans of forgettingScheduler, whose volumes repay a debt in 10 s, never, or within their limit.
const (
	repaidPlan  = "repaid"
	debtPlan    = "debt"
	limitedPlan = "limited"
)

// forgetting tests what volumes have after they were forgotten.
type forgetting struct {
	*testing.T
	*Scheduler
	now    Time
	lastID uint64
}

func newForgetting(t *testing.T, maxVolumes int) *forgetting {
	t.Helper()
	f := &forgetting{T: t, now: time.Hour}
	f.Scheduler = newScheduler(t, Settings{
		Brokers: 1, MeanUnits: 2, MaxUnits: 8, Capabilities: Capabilities{MaxAttempts: 3},
		Classes: []Class{readClass()},
		Plans: []Plan{
			{Name: repaidPlan, Rate: 4, ReservedRate: 4, Weight: 1, Price: 1},
			{Name: debtPlan, Rate: 4, Weight: 1, Price: 1},
			{Name: limitedPlan, Rate: 4, Weight: 1, Price: 1, Limit: 10, LimitBurst: 20},
		},
	}, 1)
	f.Reduce(f.now, []Event{VolumeLimitChanged{MaxVolumes: maxVolumes}})
	return f
}

// use sends a request of a volume, which ends at once, and returns the volume.
func (f *forgetting) use(plan, name string) *volume {
	f.Helper()
	f.lastID++
	f.Reduce(f.now, []Event{
		Request{ID: f.lastID, Class: "read", Plan: plan, Volume: name, Units: 1, Brokers: 1, Remaining: time.Second},
		ClientGone{ID: f.lastID},
	})
	v := f.volumes.byName[name]
	if v == nil {
		f.Fatalf("the request of %s was rejected", name)
	}
	return v
}

// A volume in debt that was forgotten to make room, or because it was idle, came back without its debt. It must come
// back with it, less what its rates repaid meanwhile, also if the room has changed in between.
func TestForgottenDebtComesBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		plan   string
		pause  time.Duration
		resize int
		want   float64 // tokens
	}{
		{"at once", repaidPlan, 0, 4, -40},
		{"partly repaid", repaidPlan, 5 * time.Second, 4, -20},
		{"repaid", repaidPlan, 11 * time.Second, 4, 0},
		{"without a reserved rate", debtPlan, time.Minute, 4, -40},
		{"less room", debtPlan, time.Minute, 2, -40},
		{"more room", debtPlan, time.Minute, 100, -40},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newForgetting(t, 4)
			f.use(c.plan, "debtor").tokens = -40
			for i := range 4 { // in debt too: the debtor must make room
				f.use(debtPlan, fmt.Sprint("other", i)).tokens = -90
			}
			if f.volumes.byName["debtor"] != nil {
				f.forgetVolume(f.volumes.byName["debtor"])
			}
			f.now += c.pause
			f.Reduce(f.now, []Event{VolumeLimitChanged{MaxVolumes: c.resize}})
			if v := f.use(c.plan, "debtor"); v.tokens > c.want+1e-9 || v.tokens < c.want-90 {
				t.Errorf("%v tokens, want %v or, in a shared slot, less", v.tokens, c.want)
			}
		})
	}
	f := newForgetting(t, 4)
	idle := f.use(debtPlan, "idle")
	for tick := range volumeIdleTicks + 3 {
		f.now += f.tickPeriod
		f.Reduce(f.now, []Event{TimerFired{Token: tickTimer}})
		if tick == 0 {
			idle.tokens = -40 // after the grant for the request
		}
	}
	if f.volumes.byName["idle"] != nil {
		t.Fatal("the idle volume was not forgotten")
	}
	if v := f.use(debtPlan, "idle"); v.tokens > -40 {
		t.Errorf("%v tokens of the volume that was idle, want -40", v.tokens)
	}
	if v := f.use(debtPlan, "idle too"); v.tokens < 0 {
		t.Errorf("a volume that was never seen has %v tokens", v.tokens)
	}
}

// To make room, a volume that was in debt, or whose quota or reserved bucket was not full, was forgotten if it had not
// been used for longest, although others were full. The full one that was not used for longest must be forgotten.
func TestFullVolumesAreForgottenFirst(t *testing.T) {
	const room = 6
	f := newForgetting(t, room)
	kept := map[string]*volume{
		"in debt":         f.use(debtPlan, "in debt"),
		"spent its quota": f.use(limitedPlan, "spent its quota"),
		"spent its rate":  f.use(repaidPlan, "spent its rate"),
	}
	kept["in debt"].tokens = -1
	kept["spent its rate"].reserved.tokens = -400
	f.now += time.Second
	for i := range room - len(kept) {
		f.use(debtPlan, fmt.Sprint("full", i))
		f.now += time.Millisecond
	}
	for i := range 20 {
		f.use(debtPlan, fmt.Sprint("new", i))
		f.now += time.Millisecond
		for name, v := range kept {
			if f.volumes.byName[name] != v {
				t.Errorf("after %d new volumes: the volume that %s was forgotten, although others were full", i+1, name)
			}
		}
		if i < 2 && f.volumes.byName[fmt.Sprint("full", i+1)] == nil {
			t.Errorf("full volume %d was forgotten before one that was not used for longer", i+1)
		}
	}
	f.now += 3 * time.Second // the quota is full by now
	f.use(debtPlan, "one more")
	f.use(debtPlan, "and another")
	f.use(debtPlan, "a third")
	f.use(debtPlan, "a fourth")
	if f.volumes.byName["spent its quota"] != nil {
		t.Error("the volume whose quota is full again is kept as if it were not")
	}
}

// Volumes in debt are forgotten and come back a thousand times, far more than there are slots for debts. None may come
// back with less than its debt, and the table must keep its size. A shared debt that is never repaid ends at last.
func TestSharedDebtsAreNotLost(t *testing.T) {
	const room = 8
	f := newForgetting(t, room)
	owed := map[string]float64{}
	random := rand.New(rand.NewPCG(60, 1))
	for range 1000 {
		name := fmt.Sprint("v", random.IntN(5*room))
		v := f.use(debtPlan, name)
		if v.tokens > -owed[name]+1e-9 {
			t.Fatalf("volume %s has %v tokens, but its debt was %v", name, v.tokens, owed[name])
		}
		v.tokens -= float64(random.IntN(3))
		owed[name] = -v.tokens
		f.now += time.Millisecond
	}
	if slots := len(f.debts.slots); slots != room || len(f.volumes.list) > room {
		t.Errorf("%d slots for debts and %d volumes, want %d", slots, len(f.volumes.list), room)
	}
	f.now += sharedDebtLifetime + time.Second
	if v := f.use(debtPlan, "later"); v.tokens < 0 {
		t.Errorf("a new volume has %v tokens after the lifetime of shared debts", v.tokens)
	}
}
